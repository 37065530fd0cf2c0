package dispatch

import (
	"math"
	"time"

	"papayacroft/catalog"
)

// Begin counts a request that is about to be sent to an endpoint.
func (bal *Balancer) Begin(id string, wrk Work) *Flight {
	sta := bal.endpoint(id)
	sta.own.Flights++
	sta.own.Tokens += wrk.Tokens
	sta.own.Prefill += wrk.Prefill
	return &Flight{Endpoint: id, Work: wrk}
}

// Started records the first event of a request: its prompt has been computed.
func (bal *Balancer) Started(flt *Flight) {
	bal.endpoint(flt.Endpoint).own.Prefill -= flt.Work.Prefill
	flt.Work.Prefill = 0
}

// End removes a request that has ended from the counts of its endpoint.
func (bal *Balancer) End(flt *Flight) {
	sta := bal.endpoint(flt.Endpoint)
	sta.own.Flights--
	sta.own.Tokens -= flt.Work.Tokens
	sta.own.Prefill -= flt.Work.Prefill
}

// Reported records a load report of an endpoint.
func (bal *Balancer) Reported(now time.Time, id string, running, waiting int) {
	sta := bal.endpoint(id)
	changedAt := sta.report.changedAt
	if changedAt.IsZero() || running != sta.report.Running || waiting != sta.report.Waiting {
		changedAt = now
	}
	sta.report = Report{Running: running, Waiting: waiting, At: now, ownFlights: sta.own.Flights, changedAt: changedAt}
}

// Succeeded counts an answer of an endpoint.
func (bal *Balancer) Succeeded(now time.Time, id string) {
	sta := bal.endpoint(id)
	sta.decay(now)
	sta.successes++
}

// Failed counts a failure of an endpoint. If no connection to it could be opened (unreachable), it is tried last for
// the next unreachablePause.
func (bal *Balancer) Failed(now time.Time, id string, unreachable bool) {
	sta := bal.endpoint(id)
	sta.decay(now)
	sta.failures++
	if unreachable {
		sta.avoidUntil = now.Add(unreachablePause)
	}
}

// SetPeerUsage records the usage that another daemon reports, by endpoint. Endpoints that are not in the report keep
// their recorded usage; a zero usage removes it.
func (bal *Balancer) SetPeerUsage(now time.Time, name string, usage map[string]Usage) {
	for id, usg := range usage {
		sta := bal.endpoint(id)
		pace := usg.Pace
		usg.Pace = nil
		usg.Flights, usg.Tokens, usg.Prefill = max(0, usg.Flights), max(0, usg.Tokens), max(0, usg.Prefill)
		switch {
		case usg == (Usage{}):
			delete(sta.peers, name)
		case sta.peers == nil:
			sta.peers = map[string]peerUsage{name: {usage: usg, at: now}}
		default:
			sta.peers[name] = peerUsage{usage: usg, at: now}
		}
		if pace != nil {
			bal.Speeds.SetPeer(now, name, id, *pace, sta.flights(now))
		}
	}
}

// UsageAt returns the usage of an endpoint by this daemon.
func (bal *Balancer) UsageAt(id string) Usage {
	if sta, ok := bal.endpoints[id]; ok {
		return sta.own
	}
	return Usage{}
}

// LocalUsage returns the usage by this daemon of each endpoint at which it has requests in flight.
func (bal *Balancer) LocalUsage() map[string]Usage {
	own := map[string]Usage{}
	for id, sta := range bal.endpoints {
		if sta.own.Flights > 0 {
			own[id] = sta.own
		}
	}
	return own
}

// Ages returns the ages of the oldest endpoint report and of the oldest peer usage that Choose still uses.
func (bal *Balancer) Ages(now time.Time) (report, peer time.Duration) {
	for _, sta := range bal.endpoints {
		if age := now.Sub(sta.report.At); age < reportLifetime {
			report = max(report, age)
		}
		for _, per := range sta.peers {
			if age := now.Sub(per.at); age < peerUsageLifetime {
				peer = max(peer, age)
			}
		}
	}
	return report, peer
}

// Forget removes the state of endpoints that are not in the fleet and at which this daemon has no requests in flight.
// It also removes expired usage of peers.
func (bal *Balancer) Forget(now time.Time, flt catalog.FleetView) {
	for id, sta := range bal.endpoints {
		if _, listed := flt.Endpoints[id]; !listed && sta.own.Flights == 0 {
			delete(bal.endpoints, id)
		}
		for name, per := range sta.peers {
			if now.Sub(per.at) >= peerUsageLifetime {
				delete(sta.peers, name)
			}
		}
	}
}

// endpoint returns the state of an endpoint, and creates it if there is none.
func (bal *Balancer) endpoint(id string) *endpoint {
	sta, ok := bal.endpoints[id]
	if !ok {
		sta = &endpoint{serial: bal.Serial}
		bal.endpoints[id] = sta
	}
	return sta
}

// decay reduces the counts of failures and successes by the time since the last call.
func (sta *endpoint) decay(now time.Time) {
	if elapsed := now.Sub(sta.countedAt); elapsed > 0 && !sta.countedAt.IsZero() {
		factor := math.Exp2(-float64(elapsed) / float64(failureHalfLife))
		sta.failures *= factor
		sta.successes *= factor
	}
	sta.countedAt = now
}

// failureShare returns the recent share of failed requests, computed as if one more request had succeeded:
// a single failure without a success thus gives a share of one half.
func (sta *endpoint) failureShare(now time.Time) float64 {
	sta.decay(now)
	return sta.failures / (sta.failures + sta.successes + 1)
}
