package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// AssignedMembers returns the members that may send work to an endpoint, chosen by rendezvous hashing: the count
// members with the highest hashes, or all members if there are not more than count. Daemons with the same member list
// compute the same result, so the assigned members can report their load there to each other. If every daemon sent
// work to every engine, load reports could not reach all of them in time to take recent sends into account.
func AssignedMembers(endpoint string, members []string, count int) []string {
	if len(members) <= count {
		return members
	}
	type ranked struct {
		name string
		sum  uint64
	}
	order := make([]ranked, len(members))
	for i, name := range members {
		order[i] = ranked{name, xxhash.Sum64String(name + "\x00" + endpoint)}
	}
	slices.SortFunc(order, func(one, other ranked) int {
		return cmp.Or(cmp.Compare(other.sum, one.sum), cmp.Compare(one.name, other.name))
	})
	assigned := make([]string, count)
	for i := range assigned {
		assigned[i] = order[i].name
	}
	return assigned
}
