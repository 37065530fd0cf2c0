package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// copyOverhead is the time that a move takes besides the transfer: calls, and the last copy.
const copyOverhead = 30 * time.Millisecond

// Copy is a generation whose memory is to be copied off an engine.
type Copy struct {
	ID     string
	Tokens int
}

// CopyPlan returns when to begin each copy so that one follows the other, the smallest first: as many generations as
// possible are away when the engine leaves. Daemons that see the same generations make the same plan.
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
