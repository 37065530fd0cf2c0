// Package dispatch decides which endpoint serves a request, which requests wait and which are turned away.
// It does no input or output; its callers serialize the calls and pass the present time.
package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"papayacroft/catalog"
)

const (
	// usageLifetime is how long the load that a peer told counts after its last word.
	usageLifetime = 8 * time.Second
	// reportLifetime is how long an endpoint's own word on its load counts.
	reportLifetime = 2 * time.Second
	// failureHalfLife is how fast failures are forgotten.
	failureHalfLife = 3 * time.Second
	// unreachablePause is how long an endpoint that took no connection is tried last.
	unreachablePause = time.Second
	// unreachablePenalty puts such an endpoint behind all others; it is still tried before a request is refused.
	unreachablePenalty = 10.0
	// failureWeight makes an endpoint that fails each request as unattractive as one with that many times its slots busy.
	failureWeight = 3.0
	// distancePenalty prefers endpoints of the same failure domain while the loads are about equal.
	distancePenalty = 0.04
	// copyPenalty prefers destinations in the failure domain of the source, where a copy takes half as long.
	// All generations of a leaving engine share its link, and there is hardly time for all of them.
	copyPenalty = 0.6
	// coldPenalty prefers endpoints that have not just started.
	coldPenalty = 0.3
	// memoryLimit is the part of an engine's memory that expected generations may fill.
	memoryLimit = 0.95
	// prefillTokensPerSecond is how fast an engine reads prompts beside running generations:
	// a chunk of 112 tokens in each step of about 15 ms.
	prefillTokensPerSecond = 7000
	// briefLimit is how far brief requests may fill an engine, as they are gone before the others have grown.
	briefLimit = 1.08
	// delayLimit is the expected time to the first event, as a part of its target, above which an engine is full:
	// a generation that begins late is worth a sixth, and takes the place of one that could begin in time.
	delayLimit = 0.8
	// memoryWeight weighs the use of memory against the wait for the first event as a part of its target.
	memoryWeight = 0.3
)

// Reason says why no endpoint was chosen.
type Reason string

// The reasons.
const (
	ReasonNoEndpoint Reason = "noEndpoint"
	ReasonFull       Reason = "full"
)

// Request is what a decision needs to know of a request.
type Request struct {
	Service string
	Work
	// Target is the time to the first event that is on time; 0 for plain services.
	Target time.Duration
	// Source is the failure domain of the engine that a generation is copied from; empty for new requests.
	Source string
	// Excluded endpoints are not considered.
	Excluded map[string]bool
	// Preferred endpoints are considered first, the others if none of them takes work; nil prefers none.
	Preferred map[string]bool
	// Force chooses the best endpoint also if all are full.
	Force bool
	// Brief requests end soon and may fill an engine a little more.
	Brief bool
}

func (req *Request) limit() float64 {
	if req.Brief {
		return briefLimit
	}
	return 1
}

// Choice is the outcome of a decision.
type Choice struct {
	Endpoint *catalog.Endpoint
	Reason   Reason
	// Score is the endpoint's rating; lower values are better.
	Score float64
	// Considered is the number of endpoints that take work.
	Considered int
}

// Work is what a request asks of an engine; it is zero for plain services.
type Work struct {
	// Tokens is the memory that the request is expected to need in the end.
	Tokens int
	// Prefill is the number of prompt tokens that the engine reads before the first event.
	Prefill int
}

// Flight is a request at an endpoint.
type Flight struct {
	Endpoint string
	Work     Work
}

// Usage is the work that a daemon has at an endpoint.
type Usage struct {
	Flights int `json:"flights"`
	Tokens  int `json:"tokens,omitempty"`
	// Prefill is the number of prompt tokens of the flights without a first event.
	Prefill int `json:"prefill,omitempty"`
}

// Report is an endpoint's own word on its load.
type Report struct {
	Running, Waiting int
	At               time.Time
	// own is the number of this daemon's flights when the report came.
	own int
}

// Desk keeps what a daemon knows of the endpoints' load and health.
type Desk struct {
	FailureDomain string

	endpoints map[string]*endpoint
}

type endpoint struct {
	own Usage
	// peers has what other daemons told of their work there.
	peers      map[string]peerUsage
	report     Report
	failures   float64
	successes  float64
	countedAt  time.Time
	avoidUntil time.Time
}

type peerUsage struct {
	usage Usage
	at    time.Time
}

// NewDesk returns a desk that knows nothing yet.
func NewDesk() *Desk {
	return &Desk{endpoints: map[string]*endpoint{}}
}

// Choose rates the endpoints that take work and returns the best.
func (dsk *Desk) Choose(now time.Time, rnd *rand.Rand, cat *catalog.Catalog, flt catalog.FleetView, req *Request) Choice {
	if req.Preferred != nil && cat.Services[req.Service].Engine != nil {
		if choice := dsk.choose(now, rnd, cat, flt, req, true); choice.Considered > 0 {
			return choice
		}
	}
	return dsk.choose(now, rnd, cat, flt, req, false)
}

func (dsk *Desk) choose(now time.Time, rnd *rand.Rand, cat *catalog.Catalog, flt catalog.FleetView, req *Request, preferred bool) Choice {
	choice := Choice{Reason: ReasonNoEndpoint, Score: math.Inf(1)}
	engine := cat.Services[req.Service].Engine
	for id, edp := range flt.Endpoints {
		sta, ok := dsk.eligible(flt, &edp, req)
		if !ok || preferred && !req.Preferred[id] {
			continue
		}
		choice.Considered++
		score, full := dsk.rate(now, sta, &edp, engine, req)
		if full && !req.Force {
			if choice.Endpoint == nil {
				choice.Reason = ReasonFull
			}
			continue
		}
		if score += rnd.Float64() * distancePenalty / 2; score < choice.Score {
			choice.Endpoint, choice.Score = &edp, score
		}
	}
	if choice.Endpoint != nil {
		choice.Reason = ""
	}
	return choice
}

// eligible reports whether an endpoint takes the request at any load.
func (dsk *Desk) eligible(flt catalog.FleetView, edp *catalog.Endpoint, req *Request) (*endpoint, bool) {
	if edp.Service != req.Service || edp.State != catalog.StateReady || req.Excluded[edp.ID] {
		return nil, false
	}
	if _, leaving := flt.Leaving[edp.ID]; leaving {
		return nil, false
	}
	return dsk.endpoint(edp.ID), true
}

// rate scores an endpoint, lower is better, and reports whether it is full.
func (dsk *Desk) rate(now time.Time, sta *endpoint, edp *catalog.Endpoint, engine *catalog.Engine, req *Request) (score float64, full bool) {
	use := sta.use(now, edp, engine, req)
	score, full = use, use > req.limit()
	if engine != nil {
		delay := sta.firstDelay(now, req)
		score, full = memoryWeight*use+delay, full || delay > delayLimit
	}
	score += failureWeight * sta.failureShare(now)
	switch {
	case req.Source != "" && edp.FailureDomain != req.Source:
		score += copyPenalty
	case req.Source == "" && edp.FailureDomain != dsk.FailureDomain:
		score += distancePenalty
	}
	if now.Before(edp.WarmAt) {
		score += coldPenalty
	}
	if now.Before(sta.avoidUntil) {
		score += unreachablePenalty
	}
	return score, full
}

// use is the part of the endpoint's capacity that is taken with the request on it; 1 is full.
func (sta *endpoint) use(now time.Time, edp *catalog.Endpoint, engine *catalog.Engine, req *Request) float64 {
	flights, tokens := sta.own.Flights, sta.own.Tokens
	for _, per := range sta.peers {
		if now.Sub(per.at) < usageLifetime {
			flights += per.usage.Flights
			tokens += per.usage.Tokens
		}
	}
	if now.Sub(sta.report.At) < reportLifetime {
		// The report counts all daemons' work at its time; what this daemon began since comes on top.
		flights = max(flights, sta.report.Running+sta.report.Waiting+sta.own.Flights-sta.report.own)
	}
	use := float64(flights+1) / float64(edp.Slots)
	if engine != nil && engine.CapacityTokens > 0 {
		use = max(use, float64(tokens+req.Tokens)/(memoryLimit*float64(engine.CapacityTokens)))
	}
	return use
}

// firstDelay is the expected time to the first event as a part of its target.
// New engines are empty and get the requests of all daemons at once: their prompts are read one after the other,
// and only the daemons' own counts show that in time.
func (sta *endpoint) firstDelay(now time.Time, req *Request) float64 {
	pending := float64(sta.own.Prefill)
	for _, per := range sta.peers {
		if age := now.Sub(per.at); age < usageLifetime {
			pending += max(0, float64(per.usage.Prefill)-prefillTokensPerSecond*age.Seconds())
		}
	}
	return (pending + float64(req.Prefill)) / prefillTokensPerSecond / max(req.Target, time.Second).Seconds()
}

// Begin counts a request that is sent to an endpoint.
func (dsk *Desk) Begin(id string, wrk Work) *Flight {
	sta := dsk.endpoint(id)
	sta.own.Flights++
	sta.own.Tokens += wrk.Tokens
	sta.own.Prefill += wrk.Prefill
	return &Flight{Endpoint: id, Work: wrk}
}

// Started notes the first event of a flight.
func (dsk *Desk) Started(flt *Flight) {
	dsk.endpoint(flt.Endpoint).own.Prefill -= flt.Work.Prefill
	flt.Work.Prefill = 0
}

// End counts a request that has ended at an endpoint.
func (dsk *Desk) End(flt *Flight) {
	sta := dsk.endpoint(flt.Endpoint)
	sta.own.Flights--
	sta.own.Tokens -= flt.Work.Tokens
	sta.own.Prefill -= flt.Work.Prefill
}

// Reported takes in an endpoint's own word on its load.
func (dsk *Desk) Reported(now time.Time, id string, running, waiting int) {
	sta := dsk.endpoint(id)
	sta.report = Report{Running: running, Waiting: waiting, At: now, own: sta.own.Flights}
}

// Succeeded counts an answer.
func (dsk *Desk) Succeeded(now time.Time, id string) {
	sta := dsk.endpoint(id)
	sta.decay(now)
	sta.successes++
}

// Failed counts a failure; an endpoint that took no connection is left alone for a while.
func (dsk *Desk) Failed(now time.Time, id string, unreachable bool) {
	sta := dsk.endpoint(id)
	sta.decay(now)
	sta.failures++
	if unreachable {
		sta.avoidUntil = now.Add(unreachablePause)
	}
}

// Peer takes in the work that another daemon has at some endpoints.
func (dsk *Desk) Peer(now time.Time, name string, usage map[string]Usage) {
	for id, usg := range usage {
		sta := dsk.endpoint(id)
		if usg == (Usage{}) {
			delete(sta.peers, name)
			continue
		}
		if sta.peers == nil {
			sta.peers = map[string]peerUsage{}
		}
		sta.peers[name] = peerUsage{usage: usg, at: now}
	}
}

// Work returns the work of this daemon at an endpoint.
func (dsk *Desk) Work(id string) Usage {
	if sta, ok := dsk.endpoints[id]; ok {
		return sta.own
	}
	return Usage{}
}

// Own returns the work of this daemon by endpoint.
func (dsk *Desk) Own() map[string]Usage {
	own := map[string]Usage{}
	for id, sta := range dsk.endpoints {
		if sta.own.Flights > 0 {
			own[id] = sta.own
		}
	}
	return own
}

// Ages returns the age of the oldest report of an endpoint and of the oldest word of a peer that count in decisions.
func (dsk *Desk) Ages(now time.Time) (report, peer time.Duration) {
	for _, sta := range dsk.endpoints {
		if age := now.Sub(sta.report.At); age < reportLifetime {
			report = max(report, age)
		}
		for _, per := range sta.peers {
			if age := now.Sub(per.at); age < usageLifetime {
				peer = max(peer, age)
			}
		}
	}
	return report, peer
}

// Forget drops what is known of endpoints that are not listed and have no work.
func (dsk *Desk) Forget(now time.Time, flt catalog.FleetView) {
	for id, sta := range dsk.endpoints {
		if _, listed := flt.Endpoints[id]; !listed && sta.own.Flights == 0 {
			delete(dsk.endpoints, id)
		}
		for name, per := range sta.peers {
			if now.Sub(per.at) >= usageLifetime {
				delete(sta.peers, name)
			}
		}
	}
}

func (dsk *Desk) endpoint(id string) *endpoint {
	sta, ok := dsk.endpoints[id]
	if !ok {
		sta = &endpoint{}
		dsk.endpoints[id] = sta
	}
	return sta
}

func (sta *endpoint) decay(now time.Time) {
	if elapsed := now.Sub(sta.countedAt); elapsed > 0 && !sta.countedAt.IsZero() {
		factor := math.Exp2(-float64(elapsed) / float64(failureHalfLife))
		sta.failures *= factor
		sta.successes *= factor
	}
	sta.countedAt = now
}

// failureShare is the share of failures of late, taken as if one more request had succeeded.
func (sta *endpoint) failureShare(now time.Time) float64 {
	sta.decay(now)
	return sta.failures / (sta.failures + sta.successes + 1)
}

// String describes the choice for the log.
func (cho Choice) String() string {
	if cho.Endpoint == nil {
		return fmt.Sprintf("%s of %d endpoints", cho.Reason, cho.Considered)
	}
	return fmt.Sprintf("score %.2f, best of %d endpoints", cho.Score, cho.Considered)
}
