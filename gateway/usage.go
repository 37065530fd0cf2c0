package gateway

import (
	"context"
	"errors"
	"time"

	"papayacroft/dispatch"
)

func (srv *Server) begin(id string, wrk dispatch.Work) *dispatch.Flight {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	flt := srv.Balancer.Begin(id, wrk)
	if wrk.Tokens > 0 && srv.OnWork != nil {
		srv.OnWork(id)
	}
	return flt
}

// LocalUsage returns this daemon's work at endpoints, by endpoint id.
func (srv *Server) LocalUsage() map[string]dispatch.Usage {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	own := srv.Balancer.LocalUsage()
	for id, usg := range own {
		usg.Pace = srv.Balancer.Speeds.OwnPace(srv.Now(), id)
		own[id] = usg
	}
	return own
}

// UsageAt returns this daemon's work at an endpoint.
func (srv *Server) UsageAt(endpoint string) dispatch.Usage {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	usg := srv.Balancer.UsageAt(endpoint)
	usg.Pace = srv.Balancer.Speeds.OwnPace(srv.Now(), endpoint)
	return usg
}

// SetPeerUsage records another daemon's work at endpoints.
func (srv *Server) SetPeerUsage(now time.Time, peer string, usage map[string]dispatch.Usage) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if srv.Scheduler != nil && srv.Balancer.Relieves(peer, usage) {
		srv.WakeQueue()
	}
	srv.Balancer.SetPeerUsage(now, peer, usage)
}

func (srv *Server) started(flt *dispatch.Flight) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Balancer.Started(flt)
	srv.WakeQueue()
}

func (srv *Server) end(flt *dispatch.Flight) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Balancer.End(flt)
	srv.Balancer.Prefixes.End(srv.Now(), flt.Reading)
	if flt.Work.Tokens > 0 && srv.OnWork != nil {
		srv.OnWork(flt.Endpoint)
	}
	srv.WakeQueue()
}

// noteSendError records a failure of the endpoint if it gave no answer. It records none if the caller disconnected or
// if the deadline passed before the connection was made: a daemon that was frozen has many such requests at once, and
// they say nothing about the endpoint.
func (srv *Server) noteSendError(ctx context.Context, id string, err error) {
	var sendErr *SendError
	if !errors.As(err, &sendErr) {
		return
	}
	if isNotSentByChoice(err) {
		return
	}
	if cause := context.Cause(ctx); errors.Is(cause, context.Canceled) || errors.Is(cause, errCondemned) || !sendErr.Sent && ctx.Err() != nil {
		return
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Balancer.Failed(srv.Now(), id, !sendErr.Sent)
}

// noteLimit counts an answer that exceeded a limit; it returns false for other errors.
func (srv *Server) noteLimit(err error) bool {
	limit := exceededLimit(err)
	if limit == "" {
		return false
	}
	srv.Metrics.limits.WithLabelValues(limit).Inc()
	return true
}

// noteUnreadable counts the figures of a load report that could not be read.
func (srv *Server) noteUnreadable(lod *Load) {
	for _, figure := range lod.Unreadable {
		srv.Metrics.unreadable.WithLabelValues(figure).Inc()
	}
}

// noteFailure records that an endpoint failed in the middle of a stream.
func (srv *Server) noteFailure(id string) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Balancer.Failed(srv.Now(), id, false)
}

func (srv *Server) noteAnswer(id string, ans Answer, ok bool) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	now := srv.Now()
	srv.learnFromAnswer(now, id, ans)
	if ans.Load != nil {
		srv.noteUnreadable(ans.Load)
		srv.Balancer.Reported(now, id, ans.Load.Running, ans.Load.Waiting)
		srv.learnSlowness(now, id, ans.Load)
		srv.WakeQueue()
	}
	if ok {
		srv.Balancer.Succeeded(now, id)
	} else {
		srv.Balancer.Failed(now, id, false)
	}
}
