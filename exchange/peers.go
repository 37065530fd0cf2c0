package exchange

import (
	"slices"
	"time"

	"papayacroft/control"
	"papayacroft/dispatch"
)

const (
	// minPeerPause and maxPeerPause limit the exponential back-off for a peer that does not answer.
	minPeerPause = 300 * time.Millisecond
	maxPeerPause = 5 * time.Second
)

// peerFailure is the back-off state of a peer that did not answer.
type peerFailure struct {
	pause time.Duration
	until time.Time
}

// roster is the list of the daemons that answer, and what is derived from it.
type roster struct {
	// peerChanges and failureChanges are the states of Snapshot.PeerChanges and Exchange.failureChanges it was made from.
	peerChanges, failureChanges int64
	answering                   map[string]control.Peer
	// members are the names of this daemon and of those that answer, sorted.
	members    []string
	assignment *dispatch.Assignment
	ring       *ring
	madeAt     time.Time
}

// roster returns the list of the daemons that answer; it is made again only after a change.
func (exc *Exchange) roster() *roster {
	snp := exc.Control.Snapshot()
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if ros := exc.lastRoster; ros != nil && ros.peerChanges == snp.PeerChanges && ros.failureChanges == exc.failureChanges {
		return ros
	}
	ros := &roster{
		peerChanges: snp.PeerChanges, failureChanges: exc.failureChanges,
		madeAt: exc.Now(), answering: make(map[string]control.Peer, len(snp.Peers)), members: []string{exc.Name},
	}
	for name, per := range snp.Peers {
		if exc.failures[per.Address] == nil {
			ros.answering[name] = per
			ros.members = append(ros.members, name)
		}
	}
	slices.Sort(ros.members)
	ros.assignment = dispatch.NewAssignment(ros.members)
	ros.ring = newRing(exc.Name, ros.answering)
	exc.lastRoster = ros
	return ros
}

// noteAnswer records the result of a call to a peer: a failure doubles the peer's back-off, a success ends it.
func (exc *Exchange) noteAnswer(address string, err error) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	fai, known := exc.failures[address]
	switch {
	case err == nil && !known:
		return
	case err == nil:
		delete(exc.failures, address)
		exc.failureChanges++
		return
	case !known:
		fai = &peerFailure{pause: minPeerPause}
		exc.failures[address] = fai
		exc.failureChanges++
		exc.Logger.WithError(err).WithField("peer", address).Info("peer does not answer")
	}
	fai.until = exc.Now().Add(fai.pause)
	fai.pause = min(2*fai.pause, maxPeerPause)
}

// heard ends the back-off of a peer that sent a message.
func (exc *Exchange) heard(name string) {
	if per, known := exc.Control.Snapshot().Peers[name]; known {
		exc.noteAnswer(per.Address, nil)
	}
}

// silentPeer returns a peer that did not answer and whose back-off is over, if there is one.
func (exc *Exchange) silentPeer(now time.Time) (address string, ok bool) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	for address, fai := range exc.failures {
		if now.After(fai.until) {
			return address, true
		}
	}
	return "", false
}

// backsOff reports whether a peer did not answer and its back-off is not over.
func (exc *Exchange) backsOff(address string, now time.Time) bool {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	fai, failed := exc.failures[address]
	return failed && !now.After(fai.until)
}

// Answering returns the peers whose last call did not fail, by name; callers must not modify it.
func (exc *Exchange) Answering() map[string]control.Peer {
	return exc.roster().answering
}

// Members returns the sorted names of this daemon and of the peers that answer; callers must not modify it.
func (exc *Exchange) Members() []string {
	return exc.roster().members
}

// IsSteady reports whether the daemons that answer have been the same for a time.
func (exc *Exchange) IsSteady(dur time.Duration) bool {
	return exc.Now().Sub(exc.roster().madeAt) >= dur
}

// HasNeighbour reports whether another daemon of the same failure domain answers and is not draining.
func (exc *Exchange) HasNeighbour() bool {
	for _, per := range exc.Answering() {
		if per.FailureDomain == exc.FailureDomain && !per.Draining {
			return true
		}
	}
	return false
}
