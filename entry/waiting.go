package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"papayacroft/admission"
	"papayacroft/routing"
)

// waitQueue serializes the calls of an admission controller and passes its outcomes to the requests that wait for
// them.
type waitQueue struct {
	mutex      sync.Mutex
	controller *admission.Controller
	rnd        *rand.Rand
	waiters    map[*admission.Ticket]chan admission.Outcome
}

func newWaitQueue(ctl *admission.Controller) *waitQueue {
	return &waitQueue{
		controller: ctl, rnd: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		waiters: map[*admission.Ticket]chan admission.Outcome{},
	}
}

// BuildAdmission sets up the waiting queues for engines and for plain services; the tracker must be set before.
func (srv *Server) BuildAdmission() {
	srv.engines = newWaitQueue(admission.NewController(srv.Tracker))
	srv.engines.controller.ObservePreemptions()
	srv.services = newWaitQueue(admission.NewController(srv.Tracker))
}

// Waiting returns the number of requests that wait for engines.
func (srv *Server) Waiting() int {
	srv.engines.mutex.Lock()
	defer srv.engines.mutex.Unlock()
	return srv.engines.controller.Queue.Len()
}

// DispatchWaiting dispatches the waiting requests that endpoints now have room for. It is called for each load report,
// and at intervals because endpoint failures expire without a report.
func (srv *Server) DispatchWaiting() {
	srv.engines.wake(srv.Now(), srv.view())
	srv.services.wake(srv.Now(), srv.view())
}

func (wtr *waitQueue) wake(now time.Time, vew routing.View) {
	wtr.mutex.Lock()
	defer wtr.mutex.Unlock()
	if wtr.controller.Queue.Len() > 0 {
		wtr.deliver(wtr.controller.Dispatch(now, wtr.rnd, vew))
	}
}

func (wtr *waitQueue) deliver(outcomes []admission.Outcome) {
	for _, out := range outcomes {
		wtr.waiters[out.Ticket] <- out
		delete(wtr.waiters, out.Ticket)
	}
}

// submitAndWait submits a ticket and waits for its outcome; ok is false if the caller disconnected first.
func (srv *Server) submitAndWait(ctx context.Context, wtr *waitQueue, tkt *admission.Ticket) (out admission.Outcome, ok bool) {
	result := make(chan admission.Outcome, 1)
	wtr.mutex.Lock()
	wtr.waiters[tkt] = result
	wtr.deliver(wtr.controller.Submit(srv.Now(), wtr.rnd, srv.view(), tkt))
	wtr.mutex.Unlock()
	deadline := time.NewTimer(tkt.Deadline.Sub(srv.Now()))
	defer deadline.Stop()
	for {
		select {
		case out := <-result:
			return out, true
		case <-deadline.C:
			wtr.wake(srv.Now(), srv.view())
			// The timer can fire before srv.Now reaches the deadline; the queue must then be checked again.
			deadline.Reset(fullPause)
		case <-ctx.Done():
			return wtr.withdraw(tkt, result)
		}
	}
}

// withdraw removes a ticket from the queue, or returns its outcome if the controller has already decided it.
func (wtr *waitQueue) withdraw(tkt *admission.Ticket, result chan admission.Outcome) (admission.Outcome, bool) {
	wtr.mutex.Lock()
	defer wtr.mutex.Unlock()
	if wtr.controller.Cancel(tkt) {
		delete(wtr.waiters, tkt)
		return admission.Outcome{}, false
	}
	return <-result, true
}
