package dispatch

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayacroft/catalog"
)

// waitingLifetime is how long the waiting work that a peer reported counts.
const waitingLifetime = time.Second

// LatePriority is the priority that requests count with once they have missed their target, so that they don't keep others from being
// on time. It is lower than that of any route.
const LatePriority = 1 << 20

// WaitingTokens is the memory in tokens that the requests waiting at a daemon need, by service and priority; 0 is the highest
// priority.
type WaitingTokens map[string]map[int]int

// maxUnbounded limits the waiting tokens of a service whose engines' memory is not known, so that sums don't overflow.
const maxUnbounded = math.MaxInt32

// Bounded returns the tokens that a daemon can have waiting, of what it reports: none below 0, and no more than so many of the largest
// requests that fit an engine.
func (tokens WaitingTokens) Bounded(cat *catalog.Catalog, requests int) WaitingTokens {
	bounded := WaitingTokens{}
	for service, priorities := range tokens {
		most := maxUnbounded
		if cat != nil {
			if largest := LargestWork(cat.Services[service].Engine); largest < most/requests {
				most = largest * requests
			}
		}
		for priority, count := range priorities {
			if count <= 0 {
				continue
			}
			if bounded[service] == nil {
				bounded[service] = map[int]int{}
			}
			bounded[service][priority] = min(count, most)
		}
	}
	return bounded
}

// Waiting is what other daemons reported of the requests that wait there.
type Waiting struct {
	peers map[string]peerWaiting
}

// peerWaiting is what one daemon reported, and when it was received.
type peerWaiting struct {
	tokens WaitingTokens
	at     time.Time
}

// NewWaiting returns a record without reports.
func NewWaiting() *Waiting {
	return &Waiting{peers: map[string]peerWaiting{}}
}

// Set replaces the report of a daemon and reports whether less waits there than it said before.
func (wtg *Waiting) Set(now time.Time, name string, tokens WaitingTokens) (less bool) {
	for service, old := range wtg.peers[name].tokens {
		for priority := range old {
			less = less || tokens[service][priority] < old[priority]
		}
	}
	if len(tokens) == 0 {
		delete(wtg.peers, name)
		return less
	}
	wtg.peers[name] = peerWaiting{tokens: tokens, at: now}
	return less
}

// Above returns what waits at peers for a service with a higher priority than the given one, at least one request at each of them, and
// the least tokens that wait at one peer, which no single request exceeds there. With users, only the daemons named there count.
func (wtg *Waiting) Above(now time.Time, service string, priority int, users []string) (sum Usage, least int) {
	for name, per := range wtg.peers {
		if now.Sub(per.at) >= waitingLifetime || users != nil && !slices.Contains(users, name) {
			continue
		}
		own := 0
		for one, tokens := range per.tokens[service] {
			if one < priority {
				own += tokens
			}
		}
		if own == 0 {
			continue
		}
		sum.Flights++
		// Most of the tokens of a request are its prompt.
		sum.Tokens, sum.Prefill = sum.Tokens+own, sum.Prefill+own
		if least == 0 || own < least {
			least = own
		}
	}
	return sum, least
}

// Services returns the services for which requests that can be on time wait at peers. Peers without a share use no engine that this
// daemon uses; nil shares mean that all of them do.
func (wtg *Waiting) Services(now time.Time, shares map[string]float64) map[string]bool {
	services := map[string]bool{}
	for name, per := range wtg.peers {
		if now.Sub(per.at) >= waitingLifetime || shares != nil && shares[name] <= 0 {
			continue
		}
		for service, tokens := range per.tokens {
			for priority := range tokens {
				if priority < LatePriority {
					services[service] = true
				}
			}
		}
	}
	return services
}

// Before returns the number of peers at which requests of a service and priority wait and which go before a daemon at an endpoint. The
// order is different at each endpoint and in each turnSlice, and the same for all daemons. With users, only the daemons named there count.
func (wtg *Waiting) Before(now time.Time, service string, priority int, users []string, endpoint, name string) int {
	count, own := 0, turnHash(now, endpoint, name)
	for peer, per := range wtg.peers {
		if now.Sub(per.at) >= waitingLifetime || per.tokens[service][priority] == 0 || users != nil && !slices.Contains(users, peer) {
			continue
		}
		if turnHash(now, endpoint, peer) < own {
			count++
		}
	}
	return count
}

// turnSlice is the time for which the order of the daemons at an endpoint stays the same: with one order for all time, the second
// daemon got no turn in 18 s beside a busy one. Clocks differ by some milliseconds; a daemon in the wrong slice costs one turn only.
const turnSlice = time.Second

func turnHash(now time.Time, endpoint, name string) uint64 {
	return xxhash.Sum64String(endpoint + "\x00" + name + "\x00" + strconv.FormatInt(now.UnixNano()/int64(turnSlice), 10))
}

// Backlog returns the tokens of a service that wait at peers with the given or a higher priority, weighted by the part of its
// waiting work that each peer may send to engines that this daemon uses; shares has these parts, nil means all.
func (wtg *Waiting) Backlog(now time.Time, service string, priority int, shares map[string]float64) float64 {
	sum := 0.0
	for name, per := range wtg.peers {
		if now.Sub(per.at) >= waitingLifetime {
			continue
		}
		share := 1.0
		if shares != nil {
			share = shares[name]
		}
		for one, tokens := range per.tokens[service] {
			if one <= priority {
				sum += share * float64(tokens)
			}
		}
	}
	return sum
}

// Forget removes expired reports.
func (wtg *Waiting) Forget(now time.Time) {
	for name, per := range wtg.peers {
		if now.Sub(per.at) >= waitingLifetime {
			delete(wtg.peers, name)
		}
	}
}
