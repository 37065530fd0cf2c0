package dispatch

import (
	"math"
	"time"

	"papayacroft/catalog"
)

const (
	// minLeavingRate and maxLeavingRate bound the expected number of times that an engine leaves per second. Below the lower
	// one the time for which a stream runs would hardly matter, although engines also end without notice; above the upper
	// one a stream of 10 s would be expected to move more than once wherever it runs.
	minLeavingRate = 0.02
	maxLeavingRate = 0.1
	// leavingHalfLife is the half-life of the counts; waves of leaving engines come every few seconds.
	leavingHalfLife = 30 * time.Second
	// priorExposure is the weight in engine seconds of minLeavingRate, so that one engine that leaves just after the daemon's
	// start does not set the rate.
	priorExposure = 100
)

// LeavingRates learns how often the endpoints of each service leave, from the marks of leaving in the fleet view.
type LeavingRates struct {
	services map[string]*leavingRate
	// known are the endpoints of the fleet view, counted those whose leaving has been counted, with its start time.
	known   map[string]catalog.Endpoint
	counted map[string]int64
	at      time.Time
	changes int64
}

// leavingRate has the counts of a service, which decay by leavingHalfLife.
type leavingRate struct {
	// endpoints is the number of endpoints that are ready, exposure their time in seconds, left the number that have left.
	endpoints      int
	exposure, left float64
}

// NewLeavingRates returns rates without any endpoint.
func NewLeavingRates() *LeavingRates {
	return &LeavingRates{services: map[string]*leavingRate{}, known: map[string]catalog.Endpoint{}, counted: map[string]int64{}}
}

// Rate returns the expected number of times per second that an endpoint of the service leaves.
func (lvr *LeavingRates) Rate(service string) float64 {
	rte, ok := lvr.services[service]
	if !ok {
		return minLeavingRate
	}
	rate := (rte.left + minLeavingRate*priorExposure) / (rte.exposure + priorExposure)
	return min(max(rate, minLeavingRate), maxLeavingRate)
}

// Update counts the time of the endpoints since the last call and the marks that are new in the fleet view.
func (lvr *LeavingRates) Update(now time.Time, flt catalog.FleetView) {
	elapsed := max(0, now.Sub(lvr.at))
	if lvr.at.IsZero() {
		elapsed = 0
	}
	lvr.at = now
	factor := math.Exp2(-float64(elapsed) / float64(leavingHalfLife))
	for _, rte := range lvr.services {
		rte.left *= factor
		rte.exposure = rte.exposure*factor + float64(rte.endpoints)*elapsed.Seconds()
	}
	if flt.Changes == lvr.changes {
		return
	}
	lvr.changes = flt.Changes
	for id, mrk := range flt.Leaving {
		edp, known := lvr.known[id]
		if at, done := lvr.counted[id]; !known || done && at >= mrk.StartedAt {
			continue
		}
		lvr.counted[id] = mrk.StartedAt
		lvr.service(edp.Service).left++
	}
	lvr.recount(flt)
}

// recount takes over the endpoints of the fleet view.
func (lvr *LeavingRates) recount(flt catalog.FleetView) {
	for id := range lvr.counted {
		if _, ok := flt.Leaving[id]; !ok {
			delete(lvr.counted, id)
		}
	}
	listed := map[string]int{}
	lvr.known = flt.Endpoints
	for id, edp := range flt.Endpoints {
		if _, leaving := flt.Leaving[id]; !leaving {
			listed[edp.Service]++
		}
	}
	for service := range listed {
		lvr.service(service)
	}
	for service, rte := range lvr.services {
		rte.endpoints = listed[service]
	}
}

func (lvr *LeavingRates) service(name string) *leavingRate {
	rte, ok := lvr.services[name]
	if !ok {
		rte = &leavingRate{}
		lvr.services[name] = rte
	}
	return rte
}
