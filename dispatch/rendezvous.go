package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Users returns the members that send work to an endpoint: those with the highest hashes, all if there are few.
// Members that know the same members choose alike, so each endpoint's users can tell each other of all its work;
// if every daemon used every engine, none could know in time what the others have just sent.
func Users(endpoint string, members []string, count int) []string {
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
	users := make([]string, count)
	for i := range users {
		users[i] = order[i].name
	}
	return users
}
