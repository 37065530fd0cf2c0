package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous ranks the live members for a key by rendezvous hashing; all daemons with the same members agree.
// When a member joins or leaves, the first member changes only for the keys that rank this member first.
func Rendezvous(members []Member, key string) []Member {
	type weighted struct {
		member Member
		weight uint64
	}
	var live []weighted
	for _, mem := range members {
		if mem.State == StateLive {
			live = append(live, weighted{mem, xxhash.Sum64String(mem.Incarnation + "\x00" + key)})
		}
	}
	slices.SortFunc(live, func(one, other weighted) int {
		return cmp.Or(cmp.Compare(other.weight, one.weight), cmp.Compare(one.member.Incarnation, other.member.Incarnation))
	})
	ordered := make([]Member, len(live))
	for i := range live {
		ordered[i] = live[i].member
	}
	return ordered
}
