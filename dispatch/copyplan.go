package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// copyOverhead is the time that a move takes in addition to the main transfer: for its calls and for the final copy.
const copyOverhead = 30 * time.Millisecond

// Copy is a generation whose memory is to be copied from a leaving engine to another one.
type Copy struct {
	ID     string
	Tokens int
}

// CopyPlan returns the delay after which to start each copy. The copies run one after the other, the smallest first, so
// that as many generations as possible have been copied when the engine leaves. The plan depends only on its arguments:
// daemons with the same list of generations compute the same plan without messages.
func CopyPlan(copies []Copy, duration func(tokens int) time.Duration) map[string]time.Duration {
	order := slices.Clone(copies)
	slices.SortFunc(order, func(one, other Copy) int {
		return cmp.Or(cmp.Compare(one.Tokens, other.Tokens), cmp.Compare(one.ID, other.ID))
	})
	starts := make(map[string]time.Duration, len(order))
	at := time.Duration(0)
	for _, one := range order {
		starts[one.ID] = at
		at += duration(one.Tokens) + copyOverhead
	}
	return starts
}
