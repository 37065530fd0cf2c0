package exchange

import (
	"math/rand/v2"
	"time"

	"papayacroft/control"
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

// noteAnswer records the result of a call to a peer: a failure doubles the peer's back-off, a success ends it.
func (exc *Exchange) noteAnswer(address string, err error) {
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	if err == nil {
		delete(exc.failures, address)
		return
	}
	fai, ok := exc.failures[address]
	if !ok {
		fai = &peerFailure{pause: minPeerPause}
		exc.failures[address] = fai
		exc.Logger.WithError(err).WithField("peer", address).Info("peer does not answer")
	}
	fai.until = exc.Now().Add(fai.pause)
	fai.pause = min(2*fai.pause, maxPeerPause)
}

// addresses returns the addresses of up to count random peers, without those in back-off.
func (exc *Exchange) addresses(count int) []string {
	snp := exc.Control.Snapshot()
	addresses := make([]string, 0, len(snp.Peers))
	now := exc.Now()
	exc.mutex.Lock()
	for _, per := range snp.Peers {
		if fai, ok := exc.failures[per.Address]; !ok || now.After(fai.until) {
			addresses = append(addresses, per.Address)
		}
	}
	exc.mutex.Unlock()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// Answering returns the peers whose last call did not fail, by name.
func (exc *Exchange) Answering() map[string]control.Peer {
	answering := map[string]control.Peer{}
	exc.mutex.Lock()
	defer exc.mutex.Unlock()
	for name, per := range exc.Control.Snapshot().Peers {
		if exc.failures[per.Address] == nil {
			answering[name] = per
		}
	}
	return answering
}

// Members returns the names of this daemon and of the peers that answer.
func (exc *Exchange) Members() []string {
	names := []string{exc.Name}
	for name := range exc.Answering() {
		names = append(names, name)
	}
	return names
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
