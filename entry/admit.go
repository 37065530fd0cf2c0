package entry

import (
	"context"
	"time"

	"papayacroft/admission"
	"papayacroft/inventory"
	"papayacroft/routing"
)

// admitted is what a generation holds at one engine until it ends: its admission ticket and its in-flight entry in
// the tracker.
type admitted struct {
	ticket *admission.Ticket
	flight *routing.Flight
	// stop cancels the release at the end of the request's context, because the relay then releases the admission. It
	// returns false if that release has already started.
	stop func() bool
}

// admit waits until an engine has room for the generation and returns that engine.
func (srv *Server) admit(ctx context.Context, cal *call, gen *generation, waitUntil time.Time) (*inventory.Endpoint, *Refusal) {
	// An admission that is still held belongs to an earlier start that failed.
	srv.endAdmission(gen, false)
	tkt := &admission.Ticket{
		Request: gen.routing, Rank: cal.snapshot.Index.Rank(gen.class),
		Worth: cal.snapshot.Index.Configuration.Classes[gen.class].Worth, MaxTokens: gen.body.MaxTokens, Deadline: waitUntil,
	}
	out, ok := srv.submitAndWait(ctx, srv.engines, tkt)
	if !ok {
		return nil, cancelledRefusal(ctx)
	}
	cal.logDecision(tkt.Request, out.Decision, out.Waited)
	if out.Decision.Endpoint == nil {
		return nil, notRun(out.Decision.Code, "%s", out.Decision.Reason)
	}
	adm := &admitted{ticket: tkt, flight: out.Flight}
	adm.stop = context.AfterFunc(ctx, func() { srv.releaseAdmission(adm, false) })
	gen.admission = adm
	return out.Decision.Endpoint, nil
}

// admitCall waits until the pool of a plain service accepts another call, and returns the routing decision.
// The call counts as in flight until the request's context ends.
func (srv *Server) admitCall(ctx context.Context, cal *call, req routing.Request) routing.Decision {
	cls := cal.snapshot.Index.Configuration.Classes[req.Class]
	tkt := &admission.Ticket{
		Request: req, Rank: cal.snapshot.Index.Rank(req.Class), Worth: cls.Worth,
		Deadline: srv.Now().Add(time.Duration(cls.Deadline)),
	}
	out, ok := srv.submitAndWait(ctx, srv.services, tkt)
	if !ok {
		ref := cancelledRefusal(ctx)
		return routing.Decision{Code: ref.Code, Reason: ref.Message}
	}
	cal.logDecision(req, out.Decision, out.Waited)
	if edp := out.Decision.Endpoint; edp != nil {
		context.AfterFunc(ctx, func() { srv.answered(tkt, edp.Name) })
	}
	return out.Decision
}

// answered records that the endpoint has finished the call and dispatches waiting calls.
func (srv *Server) answered(tkt *admission.Ticket, name string) {
	srv.services.mutex.Lock()
	srv.services.controller.ServiceCallEnded(tkt, name)
	srv.services.mutex.Unlock()
	srv.services.wake(srv.Now(), srv.view())
}

// observeStart records that an engine runs the generation, so that the admission is held until observeEnd instead of
// until the end of the request's context.
func (srv *Server) observeStart(gen *generation) {
	if gen.admission != nil {
		if !gen.admission.stop() {
			gen.admission = nil
		}
		return
	}
	if !gen.resumed {
		return
	}
	// Another request started the generation, so this daemon does not know the prompt. The tokens generated so far
	// stand in for the engine memory that it uses.
	tkt := &admission.Ticket{Request: routing.Request{Class: gen.class, Model: gen.model}}
	flt := srv.Tracker.Begin(srv.Now(), gen.endpoint.Name, gen.next, 0)
	gen.admission = &admitted{ticket: tkt, flight: flt, stop: func() bool { return true }}
}

// observeToken records one delivered token and renews the memory reservation when the flight asks for it.
func (srv *Server) observeToken(gen *generation) {
	if adm := gen.admission; adm != nil && adm.flight.Token(srv.Now()) && !gen.resumed {
		srv.engines.controller.Progress(srv.Now(), adm.ticket, adm.flight)
	}
}

// observeEnd releases the admission once this daemon no longer follows the generation.
func (srv *Server) observeEnd(gen *generation, _ string) {
	srv.endAdmission(gen, gen.complete && !gen.resumed)
}

// endAdmission releases the admission of a generation, if it holds one.
func (srv *Server) endAdmission(gen *generation, completed bool) {
	adm := gen.admission
	gen.admission = nil
	if adm == nil {
		return
	}
	adm.stop()
	srv.releaseAdmission(adm, completed)
}

// releaseAdmission returns an admission's memory reservation and dispatches waiting requests, which may now fit.
func (srv *Server) releaseAdmission(adm *admitted, completed bool) {
	srv.engines.mutex.Lock()
	srv.engines.controller.Ended(srv.Now(), adm.ticket, adm.flight, completed)
	srv.engines.mutex.Unlock()
	srv.engines.wake(srv.Now(), srv.view())
}
