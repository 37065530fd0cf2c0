package dispatch

import (
	"time"

	"papayacroft/catalog"
)

// barringRanks orders the reasons why an endpoint may not get a request at present, whatever its load: a choice without an
// endpoint has the highest one.
var barringRanks = map[Reason]int{ReasonNoEndpoint: 0, ReasonEvacuated: 1, ReasonLimited: 2}

// barred returns the reason why an eligible endpoint may not get the request at present, or an empty one.
func (bal *Balancer) barred(now time.Time, flt catalog.FleetView, edp *catalog.Endpoint, req *Request) Reason {
	switch {
	case flt.Evacuations.Has(edp.FailureDomain):
		return ReasonEvacuated
	// A copy can't wait: its engine leaves.
	case req.Source == "" && bal.Throttle.Denied(now, edp.ID):
		return ReasonLimited
	}
	return ""
}

// bar records why an endpoint was not considered.
func (cho *Choice) bar(why Reason) {
	if cho.Considered == 0 && barringRanks[why] > barringRanks[cho.Reason] {
		cho.Reason = why
	}
}
