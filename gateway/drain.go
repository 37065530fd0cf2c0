package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

const (
	// drainingRetry is the Retry-After of a draining daemon; the retry is expected to reach another daemon.
	drainingRetry = 20 * time.Millisecond
	// lateStreamTime is the time after the stop signal from which streams that may be resumed are refused too, unless they
	// fit. No stream that a caller sends more than 3 s after the signal may be broken off; the difference allows for a signal
	// that is delivered late.
	lateStreamTime = 2800 * time.Millisecond
	// lastRequestTime is the time left before the process ends below which a draining daemon refuses new requests,
	// unless their route has a shorter timeout: a short stream on a busy engine takes 2.5 s.
	lastRequestTime = 3 * time.Second
	// usualFirstEvent is the typical time to the first event of a generation.
	usualFirstEvent = 500 * time.Millisecond
)

// End ends the requests in flight that have no answer yet, so that their callers get one. Streams go on.
func (srv *Server) End() {
	srv.endAll()
}

// logUnfinished logs the streams that the end of the process breaks off.
func (srv *Server) logUnfinished(now time.Time) {
	for _, one := range srv.streams.all() {
		one.mutex.Lock()
		events := one.events
		one.mutex.Unlock()
		one.logger.WithFields(logrus.Fields{fieldEvents: events, fieldElapsed: now.Sub(one.begun)}).Warn("stream broken off at the end of the drain notice")
	}
}

// startDrain records the time of the stop signal.
func (srv *Server) startDrain(now time.Time) {
	srv.drainBegan.Store(&now)
}

// drainingSince returns the time of the stop signal; the zero time if the daemon has not received it.
func (srv *Server) drainingSince() time.Time {
	if began := srv.drainBegan.Load(); began != nil {
		return *began
	}
	return time.Time{}
}

// drainElapsed returns the time since the stop signal, and false if the daemon has not received it.
func (srv *Server) drainElapsed(now time.Time) (time.Duration, bool) {
	since := srv.drainingSince()
	return now.Sub(since), !since.IsZero()
}

// refuseDraining refuses requests that may not complete before the daemon stops: late in a drain all of them, before that
// those that must not be broken off, and at first the streams that can't be resumed, unless a retry would miss their target.
// A retry reaches another daemon of the failure domain, or a daemon of another failure domain as soon as the load
// balancer has taken this one out.
func (srv *Server) refuseDraining(now time.Time, rqs *request) *refusal {
	elapsed, draining := srv.drainElapsed(now)
	if !draining {
		return nil
	}
	rou := rqs.route
	left, longest := srv.DrainNotice-elapsed, rqs.deadline.Sub(now)
	// New connections reach other daemons by unreadyTime, so a caller that is refused then finds one of them.
	mustFit := elapsed >= unreadyTime && !rou.Repeatable()
	// At the end of the drain, a call without an answer still gets one, but a stream that has begun is broken off.
	mustFit = mustFit || elapsed >= lateStreamTime && rou.Kind == catalog.KindStream
	if left < longest && (mustFit || left < lastRequestTime) {
		return notRun(drainingRetry, "this daemon is about to end")
	}
	if rou.Kind != catalog.KindStream || rou.Resumable {
		return nil
	}
	wait := drainingRetry
	if srv.HasNeighbour == nil || !srv.HasNeighbour() {
		wait = max(wait, unreadyTime-elapsed)
	}
	if wait+usualFirstEvent > rou.Target {
		return nil
	}
	return notRun(wait, "this daemon is stopping")
}
