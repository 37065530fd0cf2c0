package dispatch

import (
	"time"

	"papayacroft/catalog"
)

// barringRanks orders the reasons why an endpoint may not get a request at present, whatever its load: a choice without an
// endpoint has the highest one.
var barringRanks = map[Reason]int{ReasonNoEndpoint: 0, ReasonEvacuated: 1, ReasonPaused: 2, ReasonLimited: 3}

// barred returns the reason why an eligible endpoint may not get the request at present, or an empty one.
func (bal *Balancer) barred(now time.Time, flt catalog.FleetView, edp *catalog.Endpoint, req *Request) Reason {
	switch {
	case flt.Evacuations.Has(edp.FailureDomain):
		return ReasonEvacuated
	case bal.isPaused(now, edp, req):
		return ReasonPaused
	// A copy can't wait: its engine leaves.
	case req.Source == "" && bal.Throttle.Denied(now, edp.ID):
		return ReasonLimited
	}
	return ""
}

// coldCopyPenalty ranks cold endpoints with a limit behind all others as destinations of copies: the generation is paused
// until there is a permit.
const coldCopyPenalty = 10.0

// coldScore returns what a cold endpoint's score gains.
func (bal *Balancer) coldScore(now time.Time, evs *catalog.Evacuations, edp *catalog.Endpoint, svc *catalog.Service, req *Request) float64 {
	switch left := bal.Cold.Left(now, evs, edp, svc); {
	case left > 0 && req.Source != "":
		return coldCopyPenalty
	case left > 0 || now.Before(edp.WarmAt):
		return coldPenalty
	}
	return 0
}

// notePermit records the time until the next permit for a cold endpoint; the shortest one counts.
func (cho *Choice) notePermit(wait time.Duration) {
	if cho.NextPermit == 0 || wait < cho.NextPermit {
		cho.NextPermit = max(wait, time.Millisecond)
	}
}

// bar records why an endpoint was not considered, and until when if its pause or the lack of permits for a cold one is the reason.
func (bal *Balancer) bar(cho *Choice, why Reason, now time.Time, evs *catalog.Evacuations, edp *catalog.Endpoint, svc *catalog.Service) {
	if cho.Considered == 0 && barringRanks[why] > barringRanks[cho.Reason] {
		cho.Reason = why
	}
	switch {
	case why == ReasonPaused:
		bal.notePause(cho, now, edp)
	case why == ReasonLimited && bal.Cold.Left(now, evs, edp, svc) > 0:
		cho.notePermit(bal.Throttle.NextPermit(now, edp.ID))
	}
}
