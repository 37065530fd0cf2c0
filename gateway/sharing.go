package gateway

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayacroft/dispatch"
)

// engineUsers is the number of daemons that send generations to one engine. They tell each other at once;
// With 8 the engines of one daemon were full at times while others had room.
const engineUsers = 16

// sharing divides the engines between the daemons.
type sharing struct {
	signature uint64
	// users has the daemons that use each engine, and own the engines that this daemon uses; own is nil for all.
	users map[string][]string
	own   map[string]bool
}

// newSharing divides the engines of a snapshot; it returns the old division if nothing changed.
func newSharing(old *sharing, snp *Snapshot, name string, members []string) *sharing {
	signature := xxhash.Sum64String(name)
	for _, one := range members {
		signature += xxhash.Sum64String(one)
	}
	for id, edp := range snp.Fleet.Endpoints {
		if snp.Catalog != nil && snp.Catalog.Services[edp.Service].Engine != nil {
			signature ^= xxhash.Sum64String(id)
		}
	}
	if old != nil && old.signature == signature {
		return old
	}
	shr := &sharing{signature: signature, users: map[string][]string{}}
	if len(members) > engineUsers {
		shr.own = map[string]bool{}
	}
	for id, edp := range snp.Fleet.Endpoints {
		if snp.Catalog == nil || snp.Catalog.Services[edp.Service].Engine == nil {
			continue
		}
		shr.users[id] = dispatch.Users(id, members, engineUsers)
		if shr.own != nil && slices.Contains(shr.users[id], name) {
			shr.own[id] = true
		}
	}
	return shr
}
