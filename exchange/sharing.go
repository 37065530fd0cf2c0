package exchange

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayacroft/control"
	"papayacroft/dispatch"
)

// engineUsers is the number of daemons that send generations to one engine; they notify each other of each change of
// their work there. With 8, the engines of one daemon were full at times while other engines had free capacity.
const engineUsers = 16

// sharing is the assignment of engines to the daemons that use them.
type sharing struct {
	signature uint64
	// users has the daemons that use each engine. own has the engines that this daemon uses; nil means all engines.
	users map[string][]string
	own   map[string]bool
}

// newSharing assigns the engines of a snapshot to the members; it returns the old assignment if nothing has changed.
func newSharing(old *sharing, snp *control.Snapshot, name string, members []string) *sharing {
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
		shr.users[id] = dispatch.AssignedMembers(id, members, engineUsers)
		if shr.own != nil && slices.Contains(shr.users[id], name) {
			shr.own[id] = true
		}
	}
	return shr
}

// ShareEngines assigns the engines of a snapshot to the daemons that answer.
func (exc *Exchange) ShareEngines(snp *control.Snapshot) {
	exc.sharing.Store(newSharing(exc.sharing.Load(), snp, exc.Name, exc.Members()))
}

// OwnEngines returns the engines that this daemon uses; nil means all engines.
func (exc *Exchange) OwnEngines() map[string]bool {
	if shr := exc.sharing.Load(); shr != nil {
		return shr.own
	}
	return nil
}
