package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayacroft/catalog"
)

const (
	// cacheFullUse is the part of an engine's memory in use from which nothing is assumed to be held: cached parts take
	// only what running requests leave. Below cacheFreeUse it is assumed to hold all that it has read.
	cacheFullUse = 0.9
	cacheFreeUse = 0.5
	// copyWeight is the weight of the tokens of a first part that an engine would read into one more copy, besides the
	// request's own delay. The engine's time for them is lost to the prompts behind and to the streams beside, and the copy
	// displaces other parts: they count as much again.
	copyWeight = 1.0
	// smallPart is the number of tokens of a first part whose copy costs nothing: they take five steps to read and a
	// fiftieth of an engine's memory. Requests that share such a part must not gather at its homes.
	smallPart = 512
	// copyDemand is the number of requests expected in demandPeriod with which one more copy than the two homes pays: one
	// later use of each copy.
	copyDemand = homeCount + 1
)

// prefixPlan is what the parts that engines hold are worth to one request, by endpoint id.
type prefixPlan struct {
	// gains is subtracted from the score; held is the number of tokens that need not be read.
	gains map[string]float64
	held  map[string]int
}

// candidate is an engine that accepts new requests of a service.
type candidate struct {
	id     string
	engine Incarnation
	state  *endpoint
}

// gain returns what is subtracted from an endpoint's score: the expected saving as a part of the target, less the cost of
// one more copy. It is 0 for a nil plan and for an endpoint that is full.
func (pln *prefixPlan) gain(id string, full bool) float64 {
	if pln == nil || full {
		return 0
	}
	return pln.gains[id]
}

// heldAt returns the number of tokens that an endpoint is expected to hold; it is 0 for a nil plan.
func (pln *prefixPlan) heldAt(id string) int {
	if pln == nil {
		return 0
	}
	return pln.held[id]
}

// planPrefix weighs what engines hold of a prompt. It returns nil if the mechanism is off or the request has no prompt to
// be read. The choice compares the result with the wait and the room at each engine, for each request anew.
func (bal *Balancer) planPrefix(now time.Time, cat *catalog.Catalog, flt catalog.FleetView, req *Request, preferred bool) *prefixPlan {
	prf, engine := bal.Prefixes, cat.Services[req.Service].Engine
	if engine == nil || len(req.Parts) == 0 || req.Prefill == 0 || req.Source != "" || !prf.IsEnabled(req.Service) {
		return nil
	}
	candidates := bal.candidates(flt, req, preferred)
	keys := partKeys(req.Parts)
	copyTokens, relief := 0, 0.0
	var homes []candidate
	if len(keys) > 1 {
		homes = homesOf(keys[0], candidates)
		prf.setHomes(now, keys[0], incarnations(homes))
		copyTokens = max(0, min(req.Parts[0].Tokens, req.Prefill)-smallPart)
		relief = bal.homesLoad(now, flt, engine, req, homes) * min(1, prf.demandFor(now, keys[0])/copyDemand)
	}
	pln := &prefixPlan{gains: map[string]float64{}, held: map[string]int{}}
	for _, one := range candidates {
		room := one.state.cacheRoom(now, engine)
		exp := prf.expect(now, one.engine, keys, req.Parts, req.Prefill)
		present := exp.first
		if slices.ContainsFunc(homes, func(hom candidate) bool { return hom.id == one.id }) {
			present = 1
		}
		saved := room * exp.weighted
		copied := copyWeight * float64(copyTokens) * (1 - room*present) * (1 - relief)
		edp := flt.Endpoints[one.id]
		pln.gains[one.id] = (saved - copied) / bal.promptRate(now, &edp) / max(req.Target, time.Second).Seconds()
		pln.held[one.id] = int(saved)
	}
	return pln
}

// promptRate returns the prompt tokens a second that an engine is expected to read.
func (bal *Balancer) promptRate(now time.Time, edp *catalog.Endpoint) float64 {
	if bal.Speeds.Enabled(edp.Service) {
		return bal.Speeds.At(now, edp).PromptRate
	}
	return prefillTokensPerSecond
}

// candidates returns the engines that accept new requests of the service, including those that the request excludes, so
// that the homes of a part don't depend on it.
func (bal *Balancer) candidates(flt catalog.FleetView, req *Request, preferred bool) []candidate {
	var all []candidate
	for id, edp := range flt.Endpoints {
		if preferred && !req.Preferred[id] {
			continue
		}
		if sta, ok := bal.eligible(flt, &edp, &Request{Service: req.Service}); ok {
			all = append(all, candidate{id: id, engine: Incarnation{Endpoint: id, StartedAt: edp.StartedAt}, state: sta})
		}
	}
	return all
}

// homesLoad returns the load of the less loaded home of a part, between 0 and 1; at 1 the homes are full.
func (bal *Balancer) homesLoad(now time.Time, flt catalog.FleetView, engine *catalog.Engine, req *Request, homes []candidate) float64 {
	least := 1.0
	for _, one := range homes {
		edp := flt.Endpoints[one.id]
		use := one.state.utilization(now, &edp, engine, req) / req.limit()
		least = min(least, max(use, one.state.firstEventDelay(now, req)/delayLimit))
	}
	return least
}

// BeginPrompt records that a prompt is about to be sent to an engine. The caller counts Held tokens less as work there,
// and passes the result to Started and End of Prefixes. It returns nil if the mechanism is off or there is no prompt to
// be read.
func (bal *Balancer) BeginPrompt(now time.Time, edp *catalog.Endpoint, engine *catalog.Engine, req *Request) *Reading {
	prf := bal.Prefixes
	if engine == nil || len(req.Parts) == 0 || req.Prefill == 0 || !prf.IsEnabled(req.Service) {
		return nil
	}
	sta := bal.endpoint(edp.ID)
	// Without a prompt of its own and with a target of a second, the expected delay is the wait for other prompts in seconds.
	wait := sta.firstEventDelay(now, &Request{Target: time.Second})
	rdg := &Reading{
		engine: Incarnation{Endpoint: edp.ID, StartedAt: edp.StartedAt}, parts: partKeys(req.Parts), sentAt: now,
		wait: time.Duration(wait * float64(time.Second)), rate: bal.promptRate(now, edp), prompt: req.Prefill,
	}
	if room := sta.cacheRoom(now, engine); room > 0 {
		rdg.expected = prf.expect(now, rdg.engine, rdg.parts, req.Parts, req.Prefill)
		rdg.Held = int(room * rdg.expected.weighted)
	}
	prf.begin(now, rdg, len(rdg.parts) > 1)
	return rdg
}

// cacheRoom returns the factor by which an engine's memory in use reduces what it is assumed to hold: 1 up to
// cacheFreeUse, and 0 from cacheFullUse on.
func (sta *endpoint) cacheRoom(now time.Time, engine *catalog.Engine) float64 {
	if engine.CapacityTokens <= 0 {
		return 1
	}
	tokens := sta.own.Tokens
	for _, per := range sta.peers {
		if now.Sub(per.at) < peerUsageLifetime {
			tokens += per.usage.Tokens
		}
	}
	use := float64(tokens) / float64(engine.CapacityTokens)
	return min(1, max(0, (cacheFullUse-use)/(cacheFullUse-cacheFreeUse)))
}

// homesOf returns the homes of a part: the candidates with the highest hashes of both. Daemons that use the same engines
// agree on them without messages, and engines that come or go change few homes.
func homesOf(part uint64, candidates []candidate) []candidate {
	type ranked struct {
		candidate
		sum uint64
	}
	var best []ranked
	for _, one := range candidates {
		own := ranked{one, mix(xxhash.Sum64String(one.id) ^ part)}
		at := 0
		for at < len(best) && best[at].sum > own.sum {
			at++
		}
		if at < homeCount {
			best = slices.Insert(best, at, own)[:min(homeCount, len(best)+1)]
		}
	}
	homes := make([]candidate, len(best))
	for i, one := range best {
		homes[i] = one.candidate
	}
	return homes
}

func incarnations(candidates []candidate) []Incarnation {
	all := make([]Incarnation, len(candidates))
	for i, one := range candidates {
		all[i] = one.engine
	}
	return all
}
