package main

import (
	"math/rand/v2"
	"time"

	"papayacroft/admission"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/routing"
)

// node simulates an entry daemon. Nodes exchange no state; each sees the other nodes' requests only through the load
// that the endpoints report.
type node struct {
	sim            *simulation
	number         int
	policy         policy
	index          *inventory.Index
	rnd            *rand.Rand
	tracker        *routing.Tracker
	engines        *admission.Controller
	services       *admission.Controller
	roundRobinTurn int
	byTicket       map[*admission.Ticket]*request
}

func newNode(sim *simulation, number int, pol policy, idx *inventory.Index, rnd *rand.Rand) *node {
	nod := &node{sim: sim, number: number, policy: pol, index: idx, rnd: rnd, tracker: routing.NewTracker(), byTicket: map[*admission.Ticket]*request{}}
	nod.services = admission.NewController(nod.tracker)
	nod.engines = admission.NewController(nod.tracker)
	nod.engines.ObservePreemptions()
	for _, ctl := range []*admission.Controller{nod.engines, nod.services} {
		ctl.FixedLevel, ctl.Queue.Unfair = pol.fixedLevel, pol.unfair
		if pol.noAgeing {
			ctl.Queue.Ageing = 0
		}
	}
	return nod
}

func (nod *node) view() routing.View {
	return routing.View{
		Index: nod.index, Statuses: nod.tracker, FailureDomain: domainName(nod.number),
		Sample: nod.policy.sample, MemoryMargin: nod.policy.memoryMargin, Disabled: nod.policy.without,
	}
}

// poll reads the load report of each engine that has not crashed and dispatches queued requests.
func (nod *node) poll(now time.Duration) {
	for _, eng := range nod.sim.engines {
		if !eng.crashed {
			nod.tracker.Report(nod.sim.clock(now), eng.name, eng.report(now))
		}
	}
	nod.dispatch(now, nod.engines)
	nod.dispatch(now, nod.services)
}

// arrive handles a request from a caller, or a generation that has to restart because its engine crashed.
func (nod *node) arrive(now time.Duration, req *request) {
	switch {
	case nod.policy.choose != nil:
		nod.baseline(now, req)
	case req.class.plain && nod.policy.noWindow:
		nod.callAt(nod.decide(now, req), req, nil)
	default:
		tkt := nod.ticket(now, req)
		nod.byTicket[tkt] = req
		nod.handle(now, nod.controller(req).Submit(nod.sim.clock(now), nod.rnd, nod.view(), tkt))
	}
}

func (nod *node) controller(req *request) *admission.Controller {
	if req.class.plain {
		return nod.services
	}
	return nod.engines
}

func (nod *node) ticket(now time.Duration, req *request) *admission.Ticket {
	return &admission.Ticket{
		Request: nod.routingRequest(req), Rank: req.class.rank, Worth: req.class.worth,
		MaxTokens: maxOutputTokens, Deadline: nod.sim.clock(now + req.class.deadline),
	}
}

func (nod *node) routingRequest(req *request) routing.Request {
	rrq := routing.Request{
		ID: req.id, Team: inventory.TeamRef{Organisation: orgName(req.organisation), Team: "team"},
		Class: req.class.name, PromptTokens: req.prompt, PrefixDigest: req.prefix, Excluded: req.excluded,
	}
	if rrq.Pool = "desk"; !req.class.plain {
		rrq.Pool, rrq.Model = "", "model"
	}
	return rrq
}

func (nod *node) decide(now time.Duration, req *request) string {
	dec := routing.Decide(nod.sim.clock(now), nod.rnd, nod.view(), nod.routingRequest(req))
	return dec.Endpoint.Name
}

func (nod *node) dispatch(now time.Duration, ctl *admission.Controller) {
	if ctl.Queue.Len() > 0 {
		nod.handle(now, ctl.Dispatch(nod.sim.clock(now), nod.rnd, nod.view()))
	}
}

// handle executes the admission controller's decisions: it refuses requests or sends them to endpoints.
func (nod *node) handle(now time.Duration, outcomes []admission.Outcome) {
	for _, out := range outcomes {
		req := nod.byTicket[out.Ticket]
		delete(nod.byTicket, out.Ticket)
		switch {
		case out.Decision.Endpoint == nil:
			req.refused, req.doneAt = true, now
		case req.class.plain:
			nod.callAt(out.Decision.Endpoint.Name, req, out.Ticket)
		default:
			nod.startAt(out.Decision.Endpoint.Name, req, out.Ticket, out.Flight)
		}
	}
}

// baseline sends a request immediately to the endpoint that the baseline policy chooses, among those that have not
// failed in the last 2 s and on which the request has not failed before.
func (nod *node) baseline(now time.Duration, req *request) {
	var names []string
	count, name := engineCount, engineName
	if req.class.plain {
		count, name = serviceCount, serviceName
	}
	for i := range count {
		failedAt := nod.tracker.Status(name(i)).FailedAt
		if (failedAt.IsZero() || nod.sim.clock(now).Sub(failedAt) > 2*time.Second) && !req.excluded[name(i)] {
			names = append(names, name(i))
		}
	}
	chosen := nod.policy.choose(nod, names, nod.rnd)
	if req.class.plain {
		nod.callAt(chosen, req, nil)
		return
	}
	nod.startAt(chosen, req, nil, nod.tracker.Begin(nod.sim.clock(now), chosen, req.prompt, 0))
}

func (nod *node) callAt(name string, req *request, tkt *admission.Ticket) {
	svc := nod.findService(name)
	delay := latency(nod.number, svc.domain)
	nod.tracker.Sent(name, 0)
	nod.sim.after(delay, func(time.Duration) {
		svc.call(req, func(_ time.Duration, lod endpoint.Load) {
			nod.sim.after(delay, func(now time.Duration) { nod.answered(now, name, req, tkt, lod) })
		})
	})
}

func (nod *node) answered(now time.Duration, name string, req *request, tkt *admission.Ticket, lod endpoint.Load) {
	req.doneAt = now
	req.stall = now - req.arrival - req.work
	nod.tracker.Finished(name)
	nod.tracker.Report(nod.sim.clock(now), name, lod)
	if tkt != nil {
		nod.services.ServiceCallEnded(tkt, name)
		nod.dispatch(now, nod.services)
	}
}

func (nod *node) startAt(name string, req *request, tkt *admission.Ticket, flt *routing.Flight) {
	eng := nod.findEngine(name)
	gen := &generation{req: req, priority: nod.priority(req)}
	gen.onToken = func(now time.Duration, done bool) { nod.token(now, req, tkt, flt, done) }
	gen.onLost = func(time.Duration) {
		nod.sim.after(lossDetectionTime, func(now time.Duration) { nod.lost(now, name, req, tkt, flt) })
	}
	delay := latency(nod.number, eng.domain)
	nod.sim.after(delay, func(time.Duration) {
		if !eng.start(gen) {
			nod.sim.after(refusalDetectionTime, func(now time.Duration) { nod.lost(now, name, req, tkt, flt) })
			return
		}
		nod.sim.after(delay, func(now time.Duration) {
			nod.tracker.Report(nod.sim.clock(now), name, eng.report(now))
			nod.dispatch(now, nod.engines)
		})
	})
}

// priority returns the priority by which the engine schedules and preempts the request's generation.
func (nod *node) priority(req *request) int {
	if nod.policy.worthPriority {
		return int(req.class.worth)
	}
	return req.class.rank
}

func (nod *node) token(now time.Duration, req *request, tkt *admission.Ticket, flt *routing.Flight, done bool) {
	nod.sim.observeToken(now, req)
	due := flt.Token(nod.sim.clock(now))
	switch {
	case done && tkt != nil:
		nod.engines.Ended(nod.sim.clock(now), tkt, flt, true)
		req.doneAt = now
		nod.dispatch(now, nod.engines)
	case done:
		flt.End(nod.sim.clock(now))
		req.doneAt = now
	case due && tkt != nil:
		nod.engines.Progress(nod.sim.clock(now), tkt, flt)
	}
}

// lost restarts a generation on another engine after its engine crashed or refused it.
func (nod *node) lost(now time.Duration, name string, req *request, tkt *admission.Ticket, flt *routing.Flight) {
	nod.tracker.Failed(nod.sim.clock(now), name)
	if tkt != nil {
		nod.engines.Ended(nod.sim.clock(now), tkt, flt, false)
	} else {
		flt.End(nod.sim.clock(now))
	}
	req.excluded[name] = true
	req.tokens, req.onTime = 0, 0
	nod.arrive(now, req)
}

func (nod *node) findEngine(name string) *engine {
	for _, eng := range nod.sim.engines {
		if eng.name == name {
			return eng
		}
	}
	return nil
}

func (nod *node) findService(name string) *service {
	for _, svc := range nod.sim.services {
		if svc.name == name {
			return svc
		}
	}
	return nil
}
