package exchange

import (
	"slices"

	"papayacroft/catalog"
	"papayacroft/control"
)

// engineUsers is the number of daemons that send generations to one engine; they notify each other of each change of
// their work there. With 8, the engines of one daemon were full at times while other engines had free capacity.
const engineUsers = 16

// sharing is the assignment of engines to the daemons that use them.
type sharing struct {
	// roster, endpoints and catalog are what it was made from.
	roster    *roster
	endpoints int64
	catalog   *catalog.Catalog
	// users has the daemons that use each engine. own has the engines that this daemon uses; nil means all engines.
	users map[string][]string
	own   map[string]bool
	// shares has, for each other daemon, the part of its engines that are in own.
	shares map[string]float64
}

// newSharing assigns the engines of a snapshot to the members; it returns the old assignment if nothing has changed. While
// the members are the same, an engine keeps its users: with hundreds of daemons, assigning all engines again whenever one
// of them comes or goes takes most of a daemon's processor time.
func newSharing(old *sharing, snp *control.Snapshot, name string, ros *roster) *sharing {
	if old != nil && old.roster == ros && old.endpoints == snp.Fleet.Changes && old.catalog == snp.Catalog {
		return old
	}
	shr := &sharing{roster: ros, endpoints: snp.Fleet.Changes, catalog: snp.Catalog, users: map[string][]string{}}
	if len(ros.members) > engineUsers {
		shr.own = map[string]bool{}
	}
	for id, edp := range snp.Fleet.Endpoints {
		if snp.Catalog == nil || snp.Catalog.Services[edp.Service].Engine == nil {
			continue
		}
		var users []string
		known := false
		if old != nil && old.roster == ros {
			users, known = old.users[id]
		}
		if !known {
			users = ros.assignment.Assigned(id, engineUsers)
		}
		shr.users[id] = users
		if shr.own != nil && slices.Contains(shr.users[id], name) {
			shr.own[id] = true
		}
	}
	shr.shares = shr.commonShares()
	return shr
}

// ShareEngines assigns the engines of a snapshot to the daemons that answer.
func (exc *Exchange) ShareEngines(snp *control.Snapshot) {
	exc.sharing.Store(newSharing(exc.sharing.Load(), snp, exc.Name, exc.roster()))
}

// OwnEngines returns the engines that this daemon uses; nil means all engines.
func (exc *Exchange) OwnEngines() map[string]bool {
	if shr := exc.sharing.Load(); shr != nil {
		return shr.own
	}
	return nil
}

// Rank returns how many answering daemons precede this one in the succession of a topic's reader, successors at most.
func (exc *Exchange) Rank(topic string) int {
	if rank := slices.Index(exc.roster().assignment.Assigned(topic, successors), exc.Name); rank >= 0 {
		return rank
	}
	return successors
}

// Assigned returns the one daemon that is responsible for an endpoint among those that answer.
func (exc *Exchange) Assigned(endpoint string) string {
	return exc.roster().assignment.Assigned(endpoint, 1)[0]
}
