// Package dispatch chooses the endpoint that serves a request, limits repeats, plans the copies of generations off a
// leaving engine and refuses requests that crash endpoints. It does no input or output; its callers serialize the calls
// and pass the current time.
package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"papayacroft/catalog"
)

const (
	// peerUsageLifetime is how long the load last reported by a peer is used. It is dropped when the peer has sent
	// no update for this long.
	peerUsageLifetime = 8 * time.Second
	// reportLifetime is how long a load report of an endpoint is used.
	reportLifetime = 2 * time.Second
	// failureHalfLife is the half-life of the counts of failures and successes.
	failureHalfLife = 3 * time.Second
	// unreachablePause is how long an endpoint is tried last after a connection to it could not be opened.
	unreachablePause = time.Second
	// unreachablePenalty ranks an unreachable endpoint behind all others; it is still tried before a request is refused.
	unreachablePenalty = 10.0
	// failureWeight is the weight of the share of failed requests: an endpoint that fails every request scores like one
	// with failureWeight times as many requests as slots.
	failureWeight = 3.0
	// distancePenalty is added for endpoints in another failure domain than the daemon's, so that an endpoint of the
	// daemon's domain is chosen while the loads are about equal.
	distancePenalty = 0.04
	// copyPenalty is added for destinations of a copy outside of the source's failure domain, as a copy inside the
	// domain takes half as long. All generations of a leaving engine share its link, and there is hardly time to copy
	// all of them.
	copyPenalty = 0.6
	// coldPenalty is added for endpoints that have just started and are still slow.
	coldPenalty = 0.3
	// memoryLimit is the part of an engine's memory that the expected sizes of its generations may fill.
	memoryLimit = 0.95
	// prefillTokensPerSecond is how fast an engine computes prompts while it also decodes running generations:
	// a chunk of 112 tokens in each step of about 15 ms.
	prefillTokensPerSecond = 7000
	// briefLimit is the utilization up to which brief requests may fill an engine. It is above 1 because a brief request
	// ends and releases its memory before the other generations reach their expected sizes.
	briefLimit = 1.08
	// delayLimit is the expected time to the first event, as a part of its target, above which an engine is full:
	// a generation that starts late has a sixth of its worth, and takes the place of one that could start in time.
	delayLimit = 0.8
	// memoryWeight is the weight of the utilization in an engine's score; the expected time to the first event, as a
	// part of its target, has a weight of 1.
	memoryWeight = 0.3
)

// Reason is why no endpoint was chosen.
type Reason string

// The reasons why no endpoint was chosen.
const (
	// ReasonNoEndpoint means that no endpoint accepts new requests of the service.
	ReasonNoEndpoint Reason = "noEndpoint"
	// ReasonFull means that there are such endpoints, but all of them are full.
	ReasonFull Reason = "full"
	// ReasonLimited means that there are such endpoints, but they have named limits and get no more requests now.
	ReasonLimited Reason = "limited"
	// ReasonEvacuated means that all such endpoints are in failure domains that are evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonPaused means that there are such endpoints, but they have asked for a pause.
	ReasonPaused Reason = "paused"
)

// Request holds the properties of a request that the choice of an endpoint depends on.
type Request struct {
	Service string
	Work
	// Target is the time within which the first event should arrive; 0 for plain services.
	Target time.Duration
	// Source is the failure domain of the engine from which a generation is copied; empty for new requests.
	Source string
	// Excluded endpoints are not considered.
	Excluded map[string]bool
	// Preferred holds the engines to consider first. The other engines are considered only if no preferred one accepts
	// new requests, not if the preferred ones are full. If it is nil, all engines are considered.
	Preferred map[string]bool
	// Force makes Choose return the best endpoint even if all are full.
	Force bool
	// MaxDelay replaces delayLimit if it is above 0, for requests that have waited.
	MaxDelay float64
	// Safest makes the endpoint's share of failures outweigh its load.
	Safest bool
	// Veto, if set, reports that an endpoint that is not full must not be chosen because of other waiting requests.
	Veto func(edp *catalog.Endpoint) bool
	// Brief marks a request that is expected to end soon; it may fill an engine up to briefLimit.
	Brief bool
	// Parts are the parts of the prompt in order; the last one belongs to the request or its session.
	Parts []Part

	// despitePause makes endpoints eligible that have asked for a pause.
	despitePause bool
}

// limit returns the utilization above which an endpoint is full for the request.
func (req *Request) limit() float64 {
	if req.Brief {
		return briefLimit
	}
	return 1
}

// maxDelay returns the expected time to the first event, as a part of its target, above which an engine is full.
func (req *Request) maxDelay() float64 {
	if req.MaxDelay > 0 {
		return req.MaxDelay
	}
	return delayLimit
}

// Choice is the result of Choose: an endpoint, or the reason why there is none.
type Choice struct {
	Endpoint *catalog.Endpoint
	Reason   Reason
	// Score is the score of the chosen endpoint; lower values are better.
	Score float64
	// Considered is the number of endpoints that accept new requests of the service, full ones included.
	Considered int
	// Forecast is what a stream is expected to meet at the chosen engine; zero for plain services.
	Forecast Forecast
	// Second is the id of the second-best endpoint that is not full, and SecondScore its score; empty if there is none.
	Second      string
	SecondScore float64
	// Held is the number of prompt tokens that the chosen endpoint is expected to hold.
	Held int
	// NextPermit is the time until the next permit for a cold endpoint, if the reason is ReasonLimited; 0 if there is no cold
	// one among those that get no more requests now.
	NextPermit time.Duration
	// PausedFor is the time until the first pause of an endpoint is over, if the reason is ReasonPaused.
	PausedFor time.Duration
	// DespitePause is true if the endpoint has asked for a pause, and there is no other for a request with Force.
	DespitePause bool
}

// Work is the load that a request puts on an engine; it is zero for plain services.
type Work struct {
	// Tokens is the memory in tokens that the request is expected to hold when it ends.
	Tokens int
	// Prefill is the number of prompt tokens that the engine computes before the first event.
	Prefill int
	// Output is the number of tokens that the request is expected to generate from now on.
	Output int
}

// Flight is a request in flight at an endpoint.
type Flight struct {
	Endpoint string
	Work     Work
	// Reading is the prompt that the request has sent; nil if it is not recorded.
	Reading *Reading
}

// Usage sums up the requests that a daemon has in flight at an endpoint.
type Usage struct {
	Flights int `json:"flights"`
	Tokens  int `json:"tokens,omitempty"`
	// Prefill is the number of prompt tokens of the requests that have had no event yet.
	Prefill int `json:"prefill,omitempty"`
	// Pace is what the daemon's streams show of the engine's speed; nil if that is not known.
	Pace *Pace `json:"pace,omitempty"`
}

// Report is a load report of an endpoint; it counts the requests of all daemons.
type Report struct {
	Running, Waiting int
	// At is when the report was received.
	At time.Time
	// ownFlights is the number of requests that this daemon had in flight there when it received the report.
	ownFlights int
	// changedAt is when the figures last differed from those before.
	changedAt time.Time
}

// Balancer tracks the load and the failures of each endpoint and chooses endpoints by them.
type Balancer struct {
	// FailureDomain is the failure domain of the daemon.
	FailureDomain string
	// Throttle knows the endpoints that name a limit.
	Throttle *Throttle
	// Speeds knows how fast engines run.
	Speeds *Speeds
	// Prefixes knows which parts of prompts engines hold.
	Prefixes *Prefixes
	// Cold knows the endpoints that are cold.
	Cold *Cold
	// Serial makes the prompts of all peers at an engine count as computed one after the other, not at the same time; see
	// pendingSerial. It must be set before the first use.
	Serial bool

	endpoints map[string]*endpoint
}

// endpoint is the state of one endpoint.
type endpoint struct {
	// own sums up the requests of this daemon.
	own Usage
	// peers holds the usage that the other daemons last reported, by the name of the daemon.
	peers  map[string]peerUsage
	report Report
	// slowness is how slow the endpoint's machine is, as it last stated at slownessAt; 0 if it has never stated that.
	slowness   float64
	slownessAt time.Time
	// failures and successes are counts that decay by failureHalfLife; countedAt is when they last decayed.
	failures  float64
	successes float64
	countedAt time.Time
	// avoidUntil is the time until which the endpoint counts as unreachable.
	avoidUntil time.Time
	// pause is the one that the endpoint asked for last.
	pause pause
	// serial is Balancer.Serial.
	serial bool
}

// peerUsage is the usage that another daemon reported, and when the report was received.
type peerUsage struct {
	usage Usage
	at    time.Time
}

// NewBalancer returns a balancer without any recorded load or failure.
func NewBalancer() *Balancer {
	return &Balancer{
		Throttle: NewThrottle(), Speeds: NewSpeeds(), Prefixes: NewPrefixes(), Cold: NewCold(), endpoints: map[string]*endpoint{},
	}
}

// Choose scores the endpoints that accept new requests of the service and returns the best one that is not full.
// The preference for some endpoints applies to engines only. An endpoint that has asked for a pause is chosen with Force only, and
// if there is no other.
func (bal *Balancer) Choose(now time.Time, rnd *rand.Rand, cat *catalog.Catalog, flt catalog.FleetView, req *Request) Choice {
	choice := bal.choosePreferred(now, rnd, cat, flt, req)
	if choice.Endpoint != nil || choice.PausedFor == 0 || !req.Force {
		return choice
	}
	despite := *req
	despite.despitePause = true
	if second := bal.choosePreferred(now, rnd, cat, flt, &despite); second.Endpoint != nil {
		second.DespitePause = true
		return second
	}
	return choice
}

// choosePreferred chooses among the preferred engines if one of them accepts new requests, otherwise among all endpoints.
func (bal *Balancer) choosePreferred(now time.Time, rnd *rand.Rand, cat *catalog.Catalog, flt catalog.FleetView, req *Request) Choice {
	if req.Preferred != nil && cat.Services[req.Service].Engine != nil {
		if choice := bal.choose(now, rnd, cat, flt, req, true); choice.Considered > 0 {
			return choice
		}
	}
	return bal.choose(now, rnd, cat, flt, req, false)
}

// choose chooses among all eligible endpoints, or among the preferred ones only.
// It adds a small random amount to each score to break ties.
func (bal *Balancer) choose(now time.Time, rnd *rand.Rand, cat *catalog.Catalog, flt catalog.FleetView, req *Request, preferred bool) Choice {
	choice := Choice{Reason: ReasonNoEndpoint, Score: math.Inf(1)}
	service := cat.Services[req.Service]
	engine := service.Engine
	pln := bal.planPrefix(now, cat, flt, req, preferred)
	for id, edp := range flt.Endpoints {
		sta, ok := bal.eligible(flt, &edp, req)
		if !ok || preferred && !req.Preferred[id] {
			continue
		}
		if why := bal.barred(now, flt, &edp, req); why != "" {
			bal.bar(&choice, why, now, &flt.Evacuations, &edp, &service)
			continue
		}
		choice.Considered++
		score, full := bal.rate(now, sta, &edp, engine, req)
		score += bal.coldScore(now, &flt.Evacuations, &edp, &service, req)
		if full && !req.Force {
			if choice.Endpoint == nil {
				choice.Reason = ReasonFull
			}
			continue
		}
		choice.offer(&edp, score-pln.gain(id, full)+rnd.Float64()*distancePenalty/2)
	}
	if choice.Endpoint != nil {
		choice.Reason, choice.Held = "", pln.heldAt(choice.Endpoint.ID)
		if engine != nil {
			choice.Forecast = bal.forecast(now, bal.endpoint(choice.Endpoint.ID), choice.Endpoint, engine, req)
		}
	}
	return choice
}

// eligible reports whether an endpoint may serve the request, whatever its load, and returns the endpoint's state.
func (bal *Balancer) eligible(flt catalog.FleetView, edp *catalog.Endpoint, req *Request) (*endpoint, bool) {
	if edp.Service != req.Service || edp.State != catalog.StateReady || req.Excluded[edp.ID] {
		return nil, false
	}
	if _, leaving := flt.Leaving[edp.ID]; leaving {
		return nil, false
	}
	return bal.endpoint(edp.ID), true
}

// rate returns the score of an endpoint, lower values being better, and whether the endpoint is full.
func (bal *Balancer) rate(now time.Time, sta *endpoint, edp *catalog.Endpoint, engine *catalog.Engine, req *Request) (score float64, full bool) {
	use := sta.utilization(now, edp, engine, req)
	score, full = use*sta.slowFactor(now), use > req.limit()
	if engine != nil {
		fct := bal.forecast(now, sta, edp, engine, req)
		score, full = memoryWeight*use+fct.score(), full || fct.full
	}
	score += failureWeight * sta.failureShare(now)
	if req.Safest {
		score += safestWeight * sta.failureShare(now)
	}
	switch {
	case req.Source != "" && edp.FailureDomain != req.Source:
		score += copyPenalty
	case req.Source == "" && edp.FailureDomain != bal.FailureDomain:
		score += distancePenalty
	}
	if now.Before(sta.avoidUntil) {
		score += unreachablePenalty
	}
	return score, full || req.Veto != nil && req.Veto(edp)
}

// utilization returns the part of the endpoint's capacity that is in use once the request is added: the greater of the
// parts of its slots and of its memory. At 1 the endpoint is full.
func (sta *endpoint) utilization(now time.Time, edp *catalog.Endpoint, engine *catalog.Engine, req *Request) float64 {
	flights, tokens := sta.load(now)
	use := float64(flights+1) / float64(edp.Slots)
	if engine != nil && engine.CapacityTokens > 0 {
		use = max(use, float64(tokens+req.Tokens)/(memoryLimit*float64(engine.CapacityTokens)))
	}
	return use
}

// load returns the requests of all daemons at the endpoint, and the memory in tokens that they are expected to need.
func (sta *endpoint) load(now time.Time) (flights, tokens int) {
	tokens = sta.own.Tokens
	for _, per := range sta.peers {
		if now.Sub(per.at) < peerUsageLifetime {
			tokens += per.usage.Tokens
		}
	}
	return sta.flights(now), tokens
}

// firstEventDelay returns the expected time to the first event as a part of its target.
// All daemons send requests to a new, empty engine at once, and it computes their prompts one after the other.
// Only the counts that the daemons send to each other show this in time; the engine's reports come too late.
func (sta *endpoint) firstEventDelay(now time.Time, req *Request) float64 {
	pending := sta.pending(now, prefillTokensPerSecond)
	return (pending + float64(req.Prefill)) / prefillTokensPerSecond / max(req.Target, minTarget).Seconds()
}

// String describes the choice for log messages and for refusals.
func (cho Choice) String() string {
	if cho.Endpoint == nil {
		return fmt.Sprintf("%s of %d endpoints", cho.Reason, cho.Considered)
	}
	return fmt.Sprintf("score %.2f, best of %d endpoints", cho.Score, cho.Considered)
}
