package exchange

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayacroft/control"
)

const (
	// maxNeighbours is the number of other daemons up to which each daemon is a neighbour of all others.
	maxNeighbours = 16
	// relayWidth is the number of daemons to which one daemon sends a broadcast itself; these relay it to the others.
	relayWidth = 8
)

// ring arranges the daemons in a circle by the hash of their names. Daemons with the same list derive the same ring, so
// each has the same few partners over time and keeps few connections, however many daemons there are.
type ring struct {
	// following are the addresses of the other daemons, in the order of the ring from this daemon on.
	following []string
}

// newRing arranges this daemon and its peers.
func newRing(name string, peers map[string]control.Peer) *ring {
	type position struct {
		sum           uint64
		name, address string
	}
	positions := []position{{sum: xxhash.Sum64String(name), name: name}}
	for one, per := range peers {
		positions = append(positions, position{xxhash.Sum64String(one), one, per.Address})
	}
	slices.SortFunc(positions, func(one, other position) int {
		return cmp.Or(cmp.Compare(one.sum, other.sum), cmp.Compare(one.name, other.name))
	})
	self := slices.IndexFunc(positions, func(pos position) bool { return pos.name == name })
	rng := &ring{following: make([]string, 0, len(peers))}
	for i := 1; i < len(positions); i++ {
		rng.following = append(rng.following, positions[(self+i)%len(positions)].address)
	}
	return rng
}

// neighbours returns the daemons that this one gossips with: all others in a small fleet, otherwise those at distances
// 1, 2, 4 and so on, so that news crosses the ring in a logarithmic number of steps.
func (rng *ring) neighbours() []string {
	if len(rng.following) <= maxNeighbours {
		return rng.following
	}
	var addresses []string
	for distance := 1; distance <= len(rng.following); distance *= 2 {
		addresses = append(addresses, rng.following[distance-1])
	}
	return addresses
}

// relayGroups divides the addressees of a broadcast among relayWidth relays. The first of each group relays to the rest.
func relayGroups(addresses []string) [][]string {
	count := min(len(addresses), relayWidth)
	groups := make([][]string, count)
	for i := range groups {
		begin, end := i*len(addresses)/count, (i+1)*len(addresses)/count
		groups[i] = addresses[begin:end]
	}
	return groups
}
