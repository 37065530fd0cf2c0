package gateway

import (
	"maps"
	"time"

	"papayacroft/dispatch"
)

const (
	// Callers abandon a stream after a gap between events of minPatience, patienceTargets times the route's target or
	// patiencePauses times its longest pause that is on time, whichever is longest. patienceMargin comes on top.
	minPatience     = 2 * time.Second
	patienceTargets = 4
	patiencePauses  = 8
	patienceMargin  = 500 * time.Millisecond
	// silenceLimit is the time without events after which a resumable stream is continued at another engine, if its attempts
	// and the budget allow it; firstEventTimeout allows more until the first event.
	silenceLimit = 1200 * time.Millisecond
)

// silenceWatch closes the link of a stream without events: after the callers' patience, and before that if the stream can
// be continued at another engine.
type silenceWatch struct {
	patience       time.Duration
	stall, silence *time.Timer
}

func (one *run) watchSilence() *silenceWatch {
	wat := &silenceWatch{patience: one.patience()}
	wat.stall = one.link.CloseWhenSilent(wat.patience, func() bool { return true })
	if one.route.Resumable && one.sends < one.route.Attempts {
		wat.silence = one.link.CloseWhenSilent(max(silenceLimit, one.firstEventTimeout()), one.server.giveUp(one.request, one.endpoint.ID, one.work))
	}
	return wat
}

// progress starts the times anew.
func (wat *silenceWatch) progress() {
	wat.stall.Reset(wat.patience)
	if wat.silence != nil {
		wat.silence.Reset(silenceLimit)
	}
}

func (wat *silenceWatch) stop() {
	wat.stall.Stop()
	if wat.silence != nil {
		wat.silence.Stop()
	}
}

// patience returns the time without events after which the callers have left, with a margin.
func (one *run) patience() time.Duration {
	return max(minPatience, patienceTargets*one.route.Target, patiencePauses*one.route.PauseTarget) + patienceMargin
}

// firstEventTimeout returns the time limit for an engine's first event; it is 0 once an event has arrived.
func (one *run) firstEventTimeout() time.Duration {
	if one.events > 0 {
		return 0
	}
	return one.route.Timeout / 2
}

// giveUp returns a function that decides, once an endpoint is silent, whether to give it up: only if there is another
// endpoint and a retry is left, which it takes from the budget. The endpoint may be slow but sound.
func (srv *Server) giveUp(rqs *request, id string, wrk dispatch.Work) func() bool {
	excluded := maps.Clone(rqs.excluded)
	excluded[id] = true
	return func() bool {
		cho := srv.decide(srv.Now(), &dispatch.Request{Service: rqs.service, Work: wrk, Target: rqs.route.Target, Excluded: excluded, Force: true})
		if cho.DespitePause {
			return false
		}
		if cho.Endpoint == nil || !srv.spend(rqs) {
			return false
		}
		rqs.prepaid.Store(true)
		return true
	}
}
