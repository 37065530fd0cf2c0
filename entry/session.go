package entry

import (
	"context"
	"sync"
	"time"

	"papayacroft/endpoint"
	"papayacroft/inventory"
)

const (
	// abandonDelay is how long a generation without a reader is kept, so that its caller can resume it.
	abandonDelay = 30 * time.Second
	// cancelMargin is added to abandonDelay, because the engine may notice later than the daemon that the reader
	// disconnected.
	cancelMargin = time.Second
	// cancelTimeout bounds one cancel call to an engine.
	cancelTimeout = 2 * time.Second
)

// sessions holds a timer for each generation whose caller disconnected; the timer cancels the generation unless the
// caller resumes it first.
type sessions struct {
	mutex   sync.Mutex
	pending map[string]*time.Timer
}

func newSessions() *sessions {
	return &sessions{pending: map[string]*time.Timer{}}
}

// abandon schedules cancel after abandonDelay, and again until it returns true or the generation's position has
// expired.
func (ses *sessions) abandon(generation string, cancel func() bool) {
	ses.schedule(generation, int(positionLifetime/abandonDelay), cancel)
}

func (ses *sessions) schedule(generation string, tries int, cancel func() bool) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	if tmr, ok := ses.pending[generation]; ok {
		tmr.Stop()
	}
	ses.pending[generation] = time.AfterFunc(abandonDelay+cancelMargin, func() {
		ses.unschedule(generation)
		if !cancel() && tries > 1 {
			ses.schedule(generation, tries-1, cancel)
		}
	})
}

// unschedule stops the pending cancellation of a generation, if there is one.
func (ses *sessions) unschedule(generation string) {
	ses.mutex.Lock()
	defer ses.mutex.Unlock()
	if tmr, ok := ses.pending[generation]; ok {
		tmr.Stop()
		delete(ses.pending, generation)
	}
}

// abandon cancels a generation whose caller disconnected: at once if the caller can't resume it, and after
// abandonDelay if it can. The engine refuses the delayed cancellation if any daemon has read the generation in the
// meantime, since the caller may have resumed through another daemon.
func (srv *Server) abandon(cal *call, gen *generation, resumable bool) {
	edp, id := gen.endpoint, gen.id
	if !resumable {
		// The cancellation counts as in flight, so that a stopping daemon waits for it.
		srv.lifecycle.inFlight.Add(1)
		go func() {
			defer srv.lifecycle.inFlight.Add(-1)
			srv.cancel(cal, edp, id, 0)
		}()
		return
	}
	srv.sessions.abandon(id, func() bool { return srv.cancel(cal, edp, id, abandonDelay) })
}

// cancel asks the engine to cancel a generation that has had no reader for the time unreadFor. It returns false if
// the generation may still run.
func (srv *Server) cancel(cal *call, edp *inventory.Endpoint, id string, unreadFor time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	err := srv.Endpoints.Cancel(ctx, target(edp), id, unreadFor)
	if err == nil {
		cal.logger.WithField("generation", id).Info("generation cancelled")
		return true
	}
	cal.logger.WithError(err).WithField("generation", id).Info("generation not cancelled")
	edpErr, ok := endpoint.AsError(err)
	return ok && edpErr.Reason == endpoint.ReasonUnknownID
}
