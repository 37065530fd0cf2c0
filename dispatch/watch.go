package dispatch

import (
	"time"

	"papayacroft/catalog"
)

// Watch follows one stream at one engine for the samples of Speeds.
type Watch struct {
	edp    catalog.Endpoint
	sentAt time.Time
	// prompts is the number of prompt tokens that the engine had to read before the first event; 0 after a copy.
	prompts float64
	// lastAt is when the latest event came; zero if the next interval is no sample.
	lastAt time.Time
	// events is the number of events so far.
	events int
}

// Watch begins to follow a stream that is about to be sent to an engine; it has to be called before Begin.
func (bal *Balancer) Watch(now time.Time, edp *catalog.Endpoint, wrk Work) *Watch {
	wch := &Watch{edp: *edp, sentAt: now}
	if wrk.Prefill > 0 {
		wch.prompts = bal.endpoint(edp.ID).pending(now, bal.Speeds.At(now, edp).PromptRate) + float64(wrk.Prefill)
	}
	return wch
}

// Skip makes the interval until the next event no sample: it says nothing about the engine.
func (wch *Watch) Skip() {
	wch.lastAt = time.Time{}
}

// Observe records that events with a number of tokens have arrived together. A pauseTarget of 0 means that none is late.
func (bal *Balancer) Observe(now time.Time, wch *Watch, events, tokens int, pauseTarget time.Duration) {
	defer func() { wch.lastAt, wch.events = now, wch.events+events }()
	if !bal.Speeds.Enabled(wch.edp.Service) || events <= 0 || tokens <= 0 {
		return
	}
	eng := bal.Speeds.engine(wch.edp.ID, wch.edp.Service, wch.edp.StartedAt)
	if eng == nil {
		return
	}
	if wch.events == 0 {
		if elapsed := now.Sub(wch.sentAt).Seconds(); wch.prompts >= minPromptSample && elapsed > 0 {
			eng.perPrompt.add(now, paceHalfLife, elapsed/wch.prompts, wch.prompts)
		}
		return
	}
	if wch.lastAt.IsZero() {
		return
	}
	gap, weight := now.Sub(wch.lastAt), float64(tokens)
	sta := bal.endpoint(wch.edp.ID)
	eng.perToken.add(now, paceHalfLife, min(gap.Seconds()/weight, maxSample), weight)
	eng.running.add(now, paceHalfLife, float64(sta.flights(now)), weight)
	late := 0.0
	if pauseTarget > 0 && gap > pauseTarget {
		late = 1 / float64(events)
	}
	eng.late.add(now, pauseHalfLife, late, float64(events))
	eng.position.add(now, pauseHalfLife, float64(wch.events), float64(events))
	if sta.pending(now, bal.Speeds.At(now, &wch.edp).PromptRate) > 0 {
		eng.lateBeside.add(now, pauseHalfLife, late, float64(events))
	}
}
