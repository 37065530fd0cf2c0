package dispatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Assignment assigns endpoints to members by rendezvous hashing: an endpoint belongs to the members with the highest
// hashes of both. Daemons with the same members compute the same result, and few endpoints change hands when a member
// comes or goes.
type Assignment struct {
	members []string
	sums    []uint64
}

// NewAssignment returns an assignment to the members, of which there must be at least one.
func NewAssignment(members []string) *Assignment {
	asg := &Assignment{members: members, sums: make([]uint64, len(members))}
	for i, name := range members {
		asg.sums[i] = xxhash.Sum64String(name)
	}
	return asg
}

// Assigned returns the count members that an endpoint belongs to, or all members if there are not more. If every daemon
// sent work to every engine, load reports could not reach all of them in time to take recent sends into account.
func (asg *Assignment) Assigned(endpoint string, count int) []string {
	if len(asg.members) <= count {
		return asg.members
	}
	type ranked struct {
		sum    uint64
		member int
	}
	sum := xxhash.Sum64String(endpoint)
	best := make([]ranked, 0, count+1)
	for i, own := range asg.sums {
		one := ranked{mix(own ^ sum), i}
		if len(best) == count && one.sum <= best[count-1].sum {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, one, func(old, new ranked) int { return cmp.Compare(new.sum, old.sum) })
		best = slices.Insert(best, at, one)[:min(count, len(best)+1)]
	}
	assigned := make([]string, len(best))
	for i, one := range best {
		assigned[i] = asg.members[one.member]
	}
	return assigned
}

// Precedes reports whether one member comes before another in the order of those that an endpoint belongs to.
func Precedes(endpoint, one, other string) bool {
	sum := xxhash.Sum64String(endpoint)
	return mix(xxhash.Sum64String(one)^sum) > mix(xxhash.Sum64String(other)^sum)
}

// mix is the finalizer of SplitMix64: it spreads a change of any bit over all bits.
func mix(sum uint64) uint64 {
	sum = (sum ^ sum>>30) * 0xbf58476d1ce4e5b9
	sum = (sum ^ sum>>27) * 0x94d049bb133111eb
	return sum ^ sum>>31
}
