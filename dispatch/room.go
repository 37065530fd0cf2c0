package dispatch

import (
	"math"
	"slices"
	"time"

	"papayacroft/catalog"
)

const leftShare = 0.8

const (
	// safestWeight is the weight of the share of failures for requests that go to the endpoint that is least likely to fail: a
	// difference of 5% outweighs that between an idle and a full endpoint.
	safestWeight = 20.0
	// minTakeUp keeps the expected wait finite while nothing is known to end at any engine.
	minTakeUp = 1.0
	// usualUsers is the number of daemons that use an engine.
	usualUsers = 16
	// longestPermitWait is the wait for a permit if no endpoint has a limit above 0.
	longestPermitWait = time.Minute
	// leftShare is the part of the time left until the target that the computation of prompts may take: with many running requests an
	// engine is slower than prefillTokensPerSecond. firstEventMargin is for the steps from the prompt to the first event.
	firstEventMargin = 100 * time.Millisecond
	// aheadTime is the prompts, as the time to compute them, that may wait at an engine before one that waited here.
	aheadTime = 500 * time.Millisecond
	// idleMargin is above 1, so that rounding doesn't make an idle engine full.
	idleMargin = 1.01
)

// pendingSerial returns the prompt tokens that the engine still has to compute for the requests of all daemons. What the peers reported
// is computed in the order of the reports. Subtracting the time since its report from each of them makes an engine with prompts of
// several daemons look idle: in a replayed burst, short streams were sent there without a wait and got their first event 1.8 s later.
func (sta *endpoint) pendingSerial(now time.Time) float64 {
	reports := make([]peerUsage, 0, usualUsers)
	for _, per := range sta.peers {
		if per.usage.Prefill > 0 && now.Sub(per.at) < peerUsageLifetime {
			reports = append(reports, per)
		}
	}
	slices.SortFunc(reports, func(one, two peerUsage) int { return one.at.Compare(two.at) })
	pending, at := 0.0, time.Time{}
	for _, per := range reports {
		pending = max(0, pending-prefillTokensPerSecond*per.at.Sub(at).Seconds()) + float64(per.usage.Prefill)
		at = per.at
	}
	if pending > 0 {
		pending = max(0, pending-prefillTokensPerSecond*now.Sub(at).Seconds())
	}
	return float64(sta.own.Prefill) + pending
}

// Relieves reports whether the usage that another daemon reports is lower at some endpoint than the one it reported before.
func (bal *Balancer) Relieves(name string, usage map[string]Usage) bool {
	for id, usg := range usage {
		old := bal.endpoint(id).peers[name].usage
		if usg.Flights < old.Flights || usg.Tokens < old.Tokens || usg.Prefill < old.Prefill {
			return true
		}
	}
	return false
}

// shortage is what a request lacks at an endpoint, by kind of capacity; values of 0 or less mean that it fits.
type shortage struct {
	slots, tokens, prompt float64
}

// shortage returns what a request lacks at an endpoint with another load added. Prompt capacity is in prompt tokens.
func (sta *endpoint) shortage(now time.Time, edp *catalog.Endpoint, engine *catalog.Engine, req *Request, added Usage) shortage {
	flights, tokens := sta.load(now)
	lack := shortage{slots: float64(flights+added.Flights+1) - req.limit()*float64(edp.Slots), tokens: math.Inf(-1), prompt: math.Inf(-1)}
	if engine == nil {
		return lack
	}
	if engine.CapacityTokens > 0 {
		lack.tokens = float64(tokens+added.Tokens+req.Tokens) - req.limit()*memoryLimit*float64(engine.CapacityTokens)
	}
	longest := req.maxDelay() * max(req.Target, time.Second).Seconds() * prefillTokensPerSecond
	lack.prompt = sta.pending(now, prefillTokensPerSecond) + float64(added.Prefill+req.Prefill) - longest
	return lack
}

// wait returns when capacity for the request is free, if requests at the endpoint run for the given time on average.
func (lack shortage) wait(now time.Time, sta *endpoint, run time.Duration) time.Duration {
	flights, tokens := sta.load(now)
	seconds := 0.0
	if lack.slots > 0 {
		seconds = max(seconds, lack.slots*run.Seconds()/float64(max(1, flights)))
	}
	if lack.tokens > 0 {
		seconds = max(seconds, lack.tokens*run.Seconds()/float64(max(1, tokens)))
	}
	if lack.prompt > 0 {
		seconds = max(seconds, lack.prompt/prefillTokensPerSecond)
	}
	return time.Duration(seconds * float64(time.Second))
}

// Delays reports whether a request that starts at an endpoint now would delay another one that waits and goes before it.
// runs is the time for which the request is expected to run, usualRun that of requests in general. The request delays the other
// one unless, for each kind of capacity, both fit or the request frees it before the other one is expected to start there.
func (bal *Balancer) Delays(now time.Time, cat *catalog.Catalog, flt catalog.FleetView, edp *catalog.Endpoint, req, first *Request, runs, usualRun time.Duration) bool {
	sta, ok := bal.eligible(flt, edp, first)
	if !ok {
		return false
	}
	engine := cat.Services[edp.Service].Engine
	begins := sta.shortage(now, edp, engine, first, Usage{}).wait(now, sta, usualRun)
	both := sta.shortage(now, edp, engine, first, Usage{Flights: 1, Tokens: req.Tokens, Prefill: req.Prefill})
	read := time.Duration((sta.pending(now, prefillTokensPerSecond) + float64(req.Prefill)) / prefillTokensPerSecond * float64(time.Second))
	return (both.slots > 0 || both.tokens > 0) && runs > begins || both.prompt > 0 && read > begins
}

// FitsBeside reports whether a request fits at an engine beside others that are not sent yet. target is the lowest target for the first
// event of all of them.
func (bal *Balancer) FitsBeside(now time.Time, cat *catalog.Catalog, edp *catalog.Endpoint, req *Request, others Usage, target time.Duration) bool {
	engine := cat.Services[edp.Service].Engine
	if engine == nil {
		return true
	}
	lowest := *req
	if target > 0 {
		lowest.Target = min(req.Target, target)
	}
	lack := bal.endpoint(edp.ID).shortage(now, edp, engine, &lowest, others)
	return lack.slots <= 0 && lack.tokens <= 0 && lack.prompt <= 0
}

// LargestWork returns the memory in tokens of the largest request that an empty engine is not full for.
func LargestWork(engine *catalog.Engine) int {
	if engine == nil || engine.CapacityTokens <= 0 {
		return math.MaxInt
	}
	return int(memoryLimit * float64(engine.CapacityTokens))
}

// PromptTime returns the time in which an engine computes a number of prompt tokens.
func PromptTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerSecond * float64(time.Second))
}

// DelayWithin returns the MaxDelay of a request whose target is up in the given time: the first event is expected in time, and
// an idle engine is never full for it. Prompts wait here rather than at the engine, where a later, more urgent one can't overtake them;
// aheadTime of them keep the engine busy.
func DelayWithin(req *Request, left time.Duration) float64 {
	target := max(req.Target, time.Second).Seconds()
	alone := idleMargin * PromptTime(req.Prefill).Seconds()
	longest := min(delayLimit*target, leftShare*(left-firstEventMargin).Seconds(), alone+aheadTime.Seconds())
	return max(alone, longest) / target
}

// FitsWherever reports whether a request fits at each endpoint at which another one of its service fits.
func (req *Request) FitsWherever(other *Request) bool {
	longest := func(one *Request) float64 {
		return one.maxDelay()*max(one.Target, time.Second).Seconds() - PromptTime(one.Prefill).Seconds()
	}
	return req.Tokens <= other.Tokens && longest(req) >= longest(other) && req.limit() >= other.limit() && len(req.Excluded) == 0
}

// TakeUp returns the tokens a second that the engines of a service take up, if requests run there for the given time on average;
// 0 if none gets requests at present. An engine takes up what ends there and what it has free, but not more than it can compute prompts,
// and a cold one no more requests than permits are handed out for; those in front are taken to be as large as this one.
func (bal *Balancer) TakeUp(now time.Time, cat *catalog.Catalog, flt catalog.FleetView, req *Request, run time.Duration) float64 {
	svc := cat.Services[req.Service]
	engine := svc.Engine
	all, preferred := 0.0, 0.0
	for id, edp := range flt.Endpoints {
		sta, ok := bal.eligible(flt, &edp, req)
		if !ok || bal.barred(now, flt, &edp, req) != "" {
			continue
		}
		rate := minTakeUp
		if engine != nil {
			_, tokens := sta.load(now)
			free := max(0, memoryLimit*float64(engine.CapacityTokens)-float64(tokens))
			rate = max(rate, min(prefillTokensPerSecond, free+float64(tokens)/max(run, minRun).Seconds()))
		}
		if bal.Cold.Left(now, &flt.Evacuations, &edp, &svc) > 0 {
			rate = min(rate, svc.ColdPerSecond*float64(max(1, req.Tokens)))
		}
		all += rate
		if req.Preferred[id] {
			preferred += rate
		}
	}
	if preferred > 0 {
		return preferred
	}
	return all
}

// minRun limits the rate at which work is expected to end.
const minRun = 100 * time.Millisecond

// NextRoom returns the time after which the first endpoint is expected to have capacity for a request without any event: when the
// prompts that other daemons sent there are computed, or when it may be asked for a permit again.
func (bal *Balancer) NextRoom(now time.Time, cat *catalog.Catalog, flt catalog.FleetView, req *Request) time.Duration {
	first := longestPermitWait
	for id, edp := range flt.Endpoints {
		sta, ok := bal.eligible(flt, &edp, req)
		if !ok || req.Preferred != nil && !req.Preferred[id] && cat.Services[req.Service].Engine != nil {
			continue
		}
		lack := sta.shortage(now, &edp, cat.Services[edp.Service].Engine, req, Usage{})
		if lack.slots > 0 || lack.tokens > 0 {
			continue
		}
		if lack.prompt > 0 {
			first = min(first, PromptTime(int(lack.prompt)))
		} else if bal.Throttle.Denied(now, id) {
			first = min(first, bal.Throttle.denied[id].Sub(now))
		}
	}
	return first
}

// PermitWait returns the time until a request is expected to get a permit for an endpoint of its service after a number of
// others, while all of them are denied.
func (bal *Balancer) PermitWait(now time.Time, cat *catalog.Catalog, flt catalog.FleetView, req *Request, others int) time.Duration {
	svc := cat.Services[req.Service]
	wait, perSecond, limited := longestPermitWait, 0.0, false
	for id, edp := range flt.Endpoints {
		if _, ok := bal.eligible(flt, &edp, req); !ok || bal.barred(now, flt, &edp, req) != ReasonLimited {
			continue
		}
		wait = min(wait, bal.Throttle.denied[id].Sub(now))
		lim := bal.Throttle.Limit(now, id)
		rate := lim.PerSecond
		if bal.Cold.Left(now, &flt.Evacuations, &edp, &svc) > 0 && (!lim.Named || svc.ColdPerSecond < rate) {
			lim.Named, rate = true, svc.ColdPerSecond
		}
		perSecond, limited = perSecond+rate, limited || lim.Named
	}
	switch {
	case !limited:
		return wait
	case perSecond <= 0:
		return longestPermitWait
	}
	return min(longestPermitWait, wait+time.Duration(float64(others)/perSecond*float64(time.Second)))
}
