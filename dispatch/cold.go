package dispatch

import (
	"time"

	"papayacroft/catalog"
)

const (
	// defaultColdOverage and defaultColdSlack are the bound of a cold endpoint unless the settings name another one.
	defaultColdOverage = 1.5
	defaultColdSlack   = 5
	// liftMargin is the time after which each endpoint has written its entry again: it does so every 1.2 s.
	liftMargin = 1500 * time.Millisecond
	// coldBurst is the number of permits for a cold endpoint that may be handed out at once. While two daemons hand out
	// permits, the second one adds one permit, so that a slack of less than coldBurst + 2 allows one only.
	coldBurst = 2
	// ColdPermitLifetime is how long a permit for a cold endpoint may be used: permits that are used late come on top of those
	// of the next second.
	ColdPermitLifetime = 100 * time.Millisecond
	// coldNewsMargin is well above the time that a message between daemons takes.
	coldNewsMargin = 500 * time.Millisecond
	// SteadyTime is for how long a daemon must have been the one that hands out the permits of an endpoint to do so at the full
	// rate at once.
	SteadyTime = settleTime
	// minColdRate keeps a bound that allows no request at all from stopping an endpoint for ever.
	minColdRate = 0.05
)

// Cold knows which endpoints are cold: those sustain only a part of their usual rate of requests.
type Cold struct {
	// Overage and Slack are the bound of a cold endpoint: in each second it may get its rate times Overage and Slack requests
	// more, from all daemons together.
	Overage, Slack float64

	stated map[string]coldStatement
}

// coldStatement is what an endpoint said last in an answer of how long it is cold.
type coldStatement struct {
	startedAt int64
	at, until time.Time
	// sharedUntil is the time of warming that other daemons know.
	sharedUntil time.Time
}

// NewCold returns a Cold with the default bound, to which no endpoint has said anything.
func NewCold() *Cold {
	return &Cold{Overage: defaultColdOverage, Slack: defaultColdSlack, stated: map[string]coldStatement{}}
}

// Learn records that an endpoint said that it is cold for a time; 0 means that it is warm. It reports whether the endpoint was
// not known to be cold by its answers.
func (cld *Cold) Learn(now time.Time, id string, startedAt int64, left time.Duration) (turnedCold bool) {
	old := cld.stated[id]
	std := coldStatement{startedAt: startedAt, at: now, until: now.Add(left)}
	if old.startedAt == startedAt {
		std.sharedUntil = old.sharedUntil
	}
	cld.stated[id] = std
	wasCold := old.startedAt == startedAt && now.Before(old.until)
	return left > 0 && !wasCold
}

// IsNews reports whether other daemons take an endpoint for warm much before the end of the time that it stated.
func (cld *Cold) IsNews(now time.Time, id string) bool {
	std := cld.stated[id]
	return std.until.After(now) && std.until.Sub(std.sharedUntil) > coldNewsMargin
}

// Shared records that the time stated by an endpoint has been sent to the other daemons.
func (cld *Cold) Shared(id string) {
	std := cld.stated[id]
	std.sharedUntil = std.until
	cld.stated[id] = std
}

// Stated returns for how long an endpoint is cold by its answers.
func (cld *Cold) Stated(now time.Time, id string) time.Duration {
	return max(0, cld.stated[id].until.Sub(now))
}

// Left returns for how long an endpoint is cold: by its entry, by its answers, or because it may have been cold when the
// evacuation of its failure domain was lifted and nothing written since says otherwise. It returns 0 for endpoints whose
// service has no rate for cold ones.
func (cld *Cold) Left(now time.Time, evs *catalog.Evacuations, edp *catalog.Endpoint, svc *catalog.Service) time.Duration {
	if svc.ColdPerSecond <= 0 {
		return 0
	}
	until := edp.WarmAt
	said, known := cld.stated[edp.ID]
	known = known && said.startedAt == edp.StartedAt
	if known && said.until.After(until) {
		until = said.until
	}
	lifted := evs.LiftedAt(edp.FailureDomain)
	if known && said.at.After(lifted) || edp.ReadAt.After(lifted) {
		lifted = time.Time{}
	}
	if !lifted.IsZero() {
		if assumed := lifted.Add(svc.ColdTime + liftMargin); assumed.After(until) {
			until = assumed
		}
	}
	return max(0, until.Sub(now))
}

// Forget drops what endpoints said that are not in the fleet any more.
func (cld *Cold) Forget(flt *catalog.FleetView) {
	for id := range cld.stated {
		if _, listed := flt.Endpoints[id]; !listed {
			delete(cld.stated, id)
		}
	}
}

// burst returns the number of permits for a cold endpoint that may be handed out at once.
func (cld *Cold) burst() int {
	if cld.Slack >= coldBurst+2 {
		return coldBurst
	}
	return 1
}

// rate returns the rate at which permits for a cold endpoint are handed out: its own one, unless the bound would be exceeded in
// a second in which two daemons hand out permits and some permits are used late. The second daemon does so at settleShare of
// the rate and without a burst.
func (cld *Cold) rate(perSecond float64) float64 {
	allowed := perSecond*cld.Overage + cld.Slack
	window := time.Second + ColdPermitLifetime
	return max(minColdRate, min(perSecond, (allowed-float64(cld.burst()+1))/((1+settleShare)*window.Seconds())))
}
