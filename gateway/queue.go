package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/admission"
	"papayacroft/catalog"
	"papayacroft/dispatch"
	"papayacroft/retry"
	"papayacroft/scheduler"
)

const (
	// retriedShare is the part of a stream route's timeout below which the time that a caller allows shows that it was refused
	// before and has come back.
	retriedShare = 0.97
	// plainWaitShare is the part of its target for which a call waits for a plain endpoint with a free slot.
	plainWaitShare = 1.0 / 3
	// queueFallback is the longest time between two passes over waiting requests. Every event that frees capacity starts one.
	queueFallback = 100 * time.Millisecond
	// minQueuePause is the shortest time between two passes that no event has caused.
	minQueuePause = 5 * time.Millisecond
	// passSpacing is the shortest time between two passes. Each takes about 1 ms with a full queue, and events come in bursts.
	passSpacing = 2 * time.Millisecond
	// preemptionPauses is the pause between two events, as a multiple of the pause target, above which a stream may have been
	// preempted.
	preemptionPauses = 4
)

// The values of the label outcome of the counter of queue outcomes.
const (
	queueSent           = "sent"
	queueRefusedAtOnce  = "refusedAtOnce"
	queueRefusedLater   = "refusedLater"
	queueLeft           = "left"
	queueForced         = "forced"
	fieldWaited         = "waited"
	fieldPriorityLogged = "priority"
)

// Sharing is how the engines are divided between the daemons.
type Sharing struct {
	// Users are the daemons that use each engine, and Shares the part of its engines that each other daemon has in common with
	// this one.
	Users  map[string][]string
	Shares map[string]float64
}

// turn is a request that waits in the queue.
type turn struct {
	*scheduler.Ticket
	outcome chan scheduler.Outcome
}

// RunQueue gives waiting requests their turn after each event that may have freed capacity, until the context is cancelled.
func (srv *Server) RunQueue(ctx context.Context) {
	if srv.Scheduler == nil {
		return
	}
	timer := time.NewTimer(srv.passQueue())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-srv.wakes:
		case <-timer.C:
		}
		timer.Reset(srv.passQueue())
		retry.Sleep(ctx, passSpacing)
	}
}

// WakeQueue makes RunQueue look at the waiting requests; it does not block.
func (srv *Server) WakeQueue() {
	if srv.Scheduler == nil || srv.queued.Load() == 0 {
		return
	}
	select {
	case srv.wakes <- struct{}{}:
	default:
	}
}

// passQueue gives waiting requests their turn and returns the time until the next pass, if no event comes before.
func (srv *Server) passQueue() time.Duration {
	var vew *scheduler.View
	if srv.queued.Load() > 0 {
		vew = srv.queueView()
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	now, wait := srv.Now(), queueFallback
	switch {
	case vew == nil && srv.Scheduler.Queue.Len() > 0:
		// A request has begun to wait since the number of waiting ones was read; it did not know when this pass would end.
		wait = minQueuePause
	case vew != nil:
		srv.settle(srv.Scheduler.Pass(now, newRand(), vew))
		if next := srv.Scheduler.NextAt; !next.IsZero() {
			wait = min(queueFallback, max(minQueuePause, next.Sub(now)))
		}
	}
	srv.passDue = now.Add(wait)
	return wait
}

// StopQueue refuses all waiting requests, and from now on those that would have to wait.
func (srv *Server) StopQueue() {
	if srv.Scheduler == nil {
		return
	}
	vew := srv.queueView()
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.settle(srv.Scheduler.Stop(srv.Now(), newRand(), vew))
}

// settle hands outcomes to the requests that wait for them; the caller holds the mutex.
func (srv *Server) settle(outcomes []scheduler.Outcome) {
	for i := range outcomes {
		out := &outcomes[i]
		if out.Flight != nil && out.Flight.Work.Tokens > 0 && srv.OnWork != nil {
			srv.OnWork(out.Flight.Endpoint)
		}
		// The channel has room for the one outcome of a ticket.
		out.Ticket.Value.(*turn).outcome <- *out
	}
	srv.noteQueue()
}

// noteQueue records the number of waiting requests, and announces a change of the waiting work; the caller holds the mutex.
func (srv *Server) noteQueue() {
	before, now := srv.queued.Load(), int64(srv.Scheduler.Queue.Len())
	srv.queued.Store(now)
	if srv.OnWaiting != nil && before+now > 0 {
		srv.OnWaiting()
	}
}

func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (srv *Server) queueView() *scheduler.View {
	snp := srv.Snapshots.Snapshot()
	vew := &scheduler.View{Catalog: snp.Catalog, Fleet: snp.Fleet}
	if srv.OwnEngines != nil {
		vew.Preferred = srv.OwnEngines()
	}
	if srv.Sharing != nil {
		shr := srv.Sharing()
		vew.Users, vew.Shares = shr.Users, shr.Shares
	}
	return vew
}

// awaitTurn waits in the queue until an endpoint has capacity for the request, and takes a permit for it if it names a limit. The
// request's work counts at the endpoint from then on. A plain call is sent to the least loaded endpoint after plainWaitShare of its
// target.
func (srv *Server) awaitTurn(ctx context.Context, rqs *request, wrk dispatch.Work, plain bool) dispatch.Choice {
	for {
		out := srv.awaitOutcome(ctx, rqs, srv.newTicket(rqs, wrk, plain))
		cho := out.Choice
		rqs.despitePause, rqs.retryAfter = cho.DespitePause, out.RetryAfter
		if cho.NextPermit > 0 || cho.PausedFor > 0 {
			// The endpoint has said when there is capacity.
			rqs.retryAfter = 0
		}
		switch {
		case cho.Endpoint == nil && plain && cho.Reason != dispatch.ReasonNoEndpoint && ctx.Err() == nil:
			return srv.choosePermitted(ctx, rqs, wrk, true)
		case cho.Endpoint == nil:
			return cho
		}
		rqs.granted, rqs.charged = &out, out.Ticket
		granted := srv.permitRequest(ctx, rqs, cho.Endpoint)
		srv.noteAsked(out.Ticket)
		if granted {
			return cho
		}
		srv.releaseGranted(rqs)
		if ctx.Err() != nil {
			return dispatch.Choice{Reason: dispatch.ReasonLimited}
		}
	}
}

// noteAsked lets the other waiting requests ask for a permit.
func (srv *Server) noteAsked(tkt *scheduler.Ticket) {
	srv.mutex.Lock()
	asked := srv.Scheduler.Asked(tkt)
	srv.mutex.Unlock()
	if asked {
		srv.WakeQueue()
	}
}

// newTicket returns the ticket of a request. Its target counts from the caller's first attempt.
func (srv *Server) newTicket(rqs *request, wrk dispatch.Work, plain bool) *scheduler.Ticket {
	rou := rqs.route
	tkt := &scheduler.Ticket{
		Organisation: rqs.organisation, Route: rou.Name, Priority: rqs.rank, Deadline: rqs.deadline, Runs: rqs.runs, Plain: plain,
		Resent: rqs.sends > 0,
		Request: dispatch.Request{
			Service: rqs.service, Work: wrk, Target: rou.Target, Excluded: rqs.excluded, Brief: rou.Resumable, Safest: srv.wantsSafest(rqs),
			Parts: promptParts(rqs.Parts),
		},
	}
	if plain {
		if longest := rqs.begun.Add(time.Duration(plainWaitShare * float64(rou.Target))); longest.Before(tkt.Deadline) {
			tkt.Deadline = longest
		}
		return tkt
	}
	spent := time.Duration(0)
	if rqs.isRetried() {
		tkt.Retried, spent = true, rou.Timeout-rqs.Deadline
	}
	if rou.Target > 0 {
		tkt.TargetAt = rqs.begun.Add(rou.Target - spent)
	}
	return tkt
}

// isRetried reports whether the caller of a stream was refused before.
func (rqs *request) isRetried() bool {
	rou := rqs.route
	return rou.Kind == catalog.KindStream && rqs.Deadline > 0 && rqs.Deadline < time.Duration(retriedShare*float64(rou.Timeout))
}

// wantsSafest reports whether the request goes to the endpoint that is least likely to fail: a call that was sent before and may not
// be sent once more.
func (srv *Server) wantsSafest(rqs *request) bool {
	return srv.Scheduler != nil && rqs.sends > 0 && rqs.route.Kind == catalog.KindIdempotent
}

// awaitOutcome puts a ticket into the queue and waits for its outcome, or until the context ends.
func (srv *Server) awaitOutcome(ctx context.Context, rqs *request, tkt *scheduler.Ticket) scheduler.Outcome {
	trn := &turn{Ticket: tkt, outcome: make(chan scheduler.Outcome, 1)}
	tkt.Value = trn
	vew := srv.queueView()
	srv.mutex.Lock()
	srv.settle(srv.Scheduler.Submit(srv.Now(), newRand(), vew, tkt))
	next := srv.Scheduler.NextAt
	early := !next.IsZero() && next.Before(srv.passDue)
	srv.mutex.Unlock()
	if early {
		// RunQueue sets its timer for the new request.
		srv.WakeQueue()
	}
	var out scheduler.Outcome
	select {
	case out = <-trn.outcome:
	case <-ctx.Done():
		out = srv.leaveQueue(trn)
	}
	srv.logWait(rqs, &out)
	return out
}

// leaveQueue removes a request whose context has ended. If it was just given its turn, its work at the endpoint is taken back.
func (srv *Server) leaveQueue(trn *turn) scheduler.Outcome {
	srv.mutex.Lock()
	out, waited := srv.Scheduler.Leave(srv.Now(), trn.Ticket)
	if waited {
		srv.noteQueue()
	}
	srv.mutex.Unlock()
	if !waited {
		out = <-trn.outcome
		if out.Flight != nil {
			srv.noteAsked(trn.Ticket)
			srv.takeBack(&out)
		}
	}
	out.Choice, out.Flight = dispatch.Choice{Reason: reasonLeft}, nil
	return out
}

// reasonLeft means that the caller has left or the deadline has passed.
const reasonLeft dispatch.Reason = "left the queue"

// logWait records the end of a wait. Requests that were sent without a wait are only counted.
func (srv *Server) logWait(rqs *request, out *scheduler.Outcome) {
	name := queueRefusedLater
	switch {
	case out.Choice.Endpoint != nil:
		name = queueSent
	case out.Choice.Reason == reasonLeft:
		name = queueLeft
	case out.Ticket.Plain && out.Choice.Reason != dispatch.ReasonNoEndpoint:
		name = queueForced
	case out.AtOnce:
		name = queueRefusedAtOnce
	}
	met := srv.Metrics.queue
	met.outcomes.WithLabelValues(name).Inc()
	if out.Waited == 0 && name == queueSent {
		return
	}
	met.waits.Observe(out.Waited.Seconds())
	rqs.logger.WithFields(logrus.Fields{
		"position": out.Position, fieldWaited: out.Waited, fieldOutcome: name, "reason": out.Choice.Reason, fieldPriorityLogged: rqs.rank,
		"overtaken": out.Overtaken, "retried": out.Ticket.Retried,
	}).Info("request waited")
}

// beginGranted counts a request that is about to be sent to an endpoint, unless it has been counted when it got its turn.
func (srv *Server) beginGranted(rqs *request, id string, wrk dispatch.Work) *dispatch.Flight {
	if rqs.granted == nil {
		return srv.begin(id, wrk)
	}
	flt := rqs.granted.Flight
	rqs.granted = nil
	return flt
}

// releaseGranted takes back the work of a request that got its turn but was not sent.
func (srv *Server) releaseGranted(rqs *request) {
	if rqs.granted != nil {
		srv.end(rqs.granted.Flight)
		rqs.granted = nil
		srv.refund(rqs)
	}
}

// refund takes back what the request's organisation was charged for a send that has run nowhere.
func (srv *Server) refund(rqs *request) {
	if rqs.charged == nil {
		return
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Scheduler.Refund(srv.Now(), rqs.charged)
	rqs.charged = nil
}

// takeBack ends the work of a request that got its turn but was not sent.
func (srv *Server) takeBack(out *scheduler.Outcome) {
	srv.end(out.Flight)
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Scheduler.Refund(srv.Now(), out.Ticket)
}

// expect returns the work of a stream that is to be sent.
func (srv *Server) expect(rqs *request) dispatch.Work {
	wrk := expectedWork(rqs)
	if srv.Scheduler == nil {
		return wrk
	}
	engine := srv.Snapshots.Snapshot().Catalog.Services[rqs.service].Engine
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	wrk, rqs.runs = srv.Scheduler.Expect(engine, rqs.service, rqs.route.Name, rqs.PromptTokens, rqs.LengthHint, rqs.MaxTokens, wrk.Tokens-wrk.Prefill)
	return wrk
}

// noteEnded tells the scheduler of a stream that has ended.
func (one *run) noteEnded(complete bool) {
	srv := one.server
	if srv.Scheduler == nil || one.sends == 0 || one.charged == nil {
		return
	}
	now := srv.Now()
	engine := srv.Snapshots.Snapshot().Catalog.Services[one.service].Engine
	end := &scheduler.Ended{
		Organisation: one.organisation, Service: one.service, Route: one.route.Name, Reserved: one.work, Hint: one.LengthHint,
		Prompt: one.PromptTokens, Output: engine.EventTokens(one.events), Ran: now.Sub(one.sentAt), Complete: complete,
		Whole: one.sends == 1 && one.LastEvent == "",
	}
	if !one.firstAt.IsZero() {
		end.First = one.firstAt.Sub(one.sentAt)
	}
	end.Preempted = one.route.PauseTarget > 0 && one.pause > preemptionPauses*one.route.PauseTarget
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Scheduler.Finished(now, end)
}

// WaitingTokens returns the work that waits here, by service and priority.
func (srv *Server) WaitingTokens() dispatch.WaitingTokens {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Scheduler.WaitingTokens(srv.Now())
}

// SetPeerWaiting records the work that waits at another daemon.
func (srv *Server) SetPeerWaiting(now time.Time, peer string, tokens dispatch.WaitingTokens) {
	tokens = tokens.Bounded(srv.Snapshots.Snapshot().Catalog, admission.DefaultCapacity)
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if srv.Scheduler.Waiting.Set(now, peer, tokens) {
		srv.WakeQueue()
	}
}
