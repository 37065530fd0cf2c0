package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/dispatch"
	"papayacroft/exchange"
	"papayacroft/retry"
)

const (
	// permitLifetime is how long a permit may be used. A process that was paused meanwhile asks again.
	permitLifetime = 500 * time.Millisecond
	// minDenial is the minimum time for which an endpoint is not asked for again after a denial.
	minDenial = 20 * time.Millisecond
	// maxColdAsks limits the permits for a cold endpoint that one request takes and that arrive too late to be used: the daemon
	// that hands them out is then slow, and each permit is one that another request could have used.
	maxColdAsks = 3
	// permitRetry is the time after which permits are asked for again if no daemon hands them out.
	permitRetry = 100 * time.Millisecond
	// sourceAnswer and sourcePeer are logged as the source of a limit: an answer to this daemon, or another daemon.
	sourceAnswer = "answer"
	sourcePeer   = "peer"
)

// rateLimit returns what an endpoint's answer says of its limit.
func rateLimit(now time.Time, ans Answer) dispatch.RateLimit {
	if ans.RateLimit == nil {
		return dispatch.RateLimit{At: now}
	}
	return dispatch.RateLimit{PerSecond: *ans.RateLimit, Named: true, At: now}
}

// learnLimit records the limit that an endpoint names, and reports whether to announce it to other daemons; the caller
// holds the mutex.
func (srv *Server) learnLimit(now time.Time, id string, lim dispatch.RateLimit, source string) (share bool) {
	if !srv.Throttle.Learn(id, lim) {
		return false
	}
	srv.Logger.WithFields(logrus.Fields{fieldEndpoint: id, "perSecond": lim.PerSecond, "limited": lim.Named, "source": source}).Info("limit of an endpoint changed")
	return srv.Throttle.MayShare(now, id)
}

// learnFromAnswer records what an endpoint's answer says of its limit; the caller holds the mutex.
func (srv *Server) learnFromAnswer(now time.Time, id string, ans Answer) {
	lim := rateLimit(now, ans)
	share := srv.learnLimit(now, id, lim, sourceAnswer)
	startedAt := srv.Snapshots.Snapshot().Fleet.Endpoints[id].StartedAt
	if ans.ColdLeft != nil && !ans.Misdirected {
		share = srv.learnCold(now, id, startedAt, *ans.ColdLeft, sourceAnswer) || share
	}
	if share && srv.OnLimit != nil {
		cold := srv.Balancer.Cold.Stated(now, id).Milliseconds()
		go srv.OnLimit(&exchange.EndpointLimit{Endpoint: id, PerSecond: lim.PerSecond, Named: lim.Named, ColdMS: cold, StartedAt: startedAt})
	}
}

// NoteLimit records an endpoint's limit that another daemon knows, and reports whether to announce it to others.
func (srv *Server) NoteLimit(lim *exchange.EndpointLimit) bool {
	now := srv.Now()
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	share := srv.learnLimit(now, lim.Endpoint, fromPeer(now, lim), sourcePeer)
	return srv.learnColdFromPeer(now, lim) || share
}

// awaitEndpoint chooses an endpoint for the request and takes a permit for it if it names a limit. If all endpoints are
// full or get no more requests now, it waits for waitShare of the request's target.
func (srv *Server) awaitEndpoint(ctx context.Context, rqs *request, wrk dispatch.Work, force bool) dispatch.Choice {
	if srv.Scheduler != nil {
		return srv.awaitTurn(ctx, rqs, wrk, force)
	}
	until := rqs.begun.Add(time.Duration(waitShare * float64(rqs.route.Target)))
	for {
		now := srv.Now()
		cho := srv.choosePermitted(ctx, rqs, wrk, force)
		waits := cho.Reason == dispatch.ReasonFull || cho.Reason == dispatch.ReasonLimited
		if cho.Endpoint != nil || !waits || ctx.Err() != nil || !now.Before(until) {
			return cho
		}
		// A request that gets no permit for a cold endpoint in time is refused at once.
		if cho.Reason == dispatch.ReasonLimited && now.Add(cho.NextPermit).After(until) {
			return cho
		}
		retry.Sleep(ctx, capacityPoll)
	}
}

// choosePermitted chooses an endpoint for which there is a permit, if it needs one.
func (srv *Server) choosePermitted(ctx context.Context, rqs *request, wrk dispatch.Work, force bool) dispatch.Choice {
	for {
		// Without a permit, the endpoint is not chosen again for minDenial at least.
		cho := srv.choose(srv.Now(), rqs, wrk, force)
		if cho.Endpoint == nil || ctx.Err() != nil || srv.permitRequest(ctx, rqs, cho.Endpoint) {
			return cho
		}
	}
}

// permit reports whether a request may be sent to an endpoint; if the endpoint names a limit or is cold, it takes a permit. With
// force the request is sent in any case, and counts, unless the endpoint is cold.
func (srv *Server) permit(ctx context.Context, id string, force bool) bool {
	for asks := 1; ; asks++ {
		asked := srv.Now()
		lim, cold := srv.endpointLimit(asked, id)
		if !lim.Named && cold == 0 {
			return true
		}
		lifetime := permitLifetime
		if cold > 0 {
			force, lifetime = false, dispatch.ColdPermitLifetime
		}
		rep, err := srv.askPermit(ctx, &exchange.PermitRequest{EndpointLimit: lim, Force: force, ColdPerSecond: cold})
		now := srv.Now()
		if err == nil && rep.Granted && now.Sub(asked) >= lifetime && ctx.Err() == nil {
			if cold == 0 || asks < maxColdAsks {
				continue
			}
			err = errPermitExpired
		}
		if err != nil {
			rep = nil
		}
		return srv.notePermit(now, id, rep, force)
	}
}

// notePermit records the reply to a request for a permit, nil if there was none in time, and reports whether the request may be
// sent.
func (srv *Server) notePermit(now time.Time, id string, rep *exchange.PermitReply, force bool) bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	if rep == nil {
		srv.Throttle.Deny(now, id, permitRetry)
		return force
	}
	srv.learnLimit(now, id, fromPeer(now, &rep.EndpointLimit), sourcePeer)
	srv.learnColdFromPeer(now, &rep.EndpointLimit)
	if !rep.Granted {
		srv.Throttle.Deny(now, id, max(minDenial, milliseconds(rep.WaitMS)))
	}
	return rep.Granted
}

func (srv *Server) askPermit(ctx context.Context, req *exchange.PermitRequest) (*exchange.PermitReply, error) {
	if srv.AskPermit == nil {
		return srv.GrantPermit(req), nil
	}
	return srv.AskPermit(ctx, req)
}

// GrantPermit answers a daemon that asks for a permit.
func (srv *Server) GrantPermit(req *exchange.PermitRequest) *exchange.PermitReply {
	now := srv.Now()
	if srv.NoteLimit(&req.EndpointLimit) && srv.OnLimit != nil {
		go srv.OnLimit(&req.EndpointLimit)
	}
	lim, cold := srv.endpointLimit(now, req.Endpoint)
	// The daemon that asks may know better than this one that the endpoint is cold, or not yet.
	if cold == 0 || req.ColdPerSecond > 0 && req.ColdPerSecond < cold {
		cold = req.ColdPerSecond
	}
	if !lim.Named && cold == 0 {
		return &exchange.PermitReply{EndpointLimit: lim, Granted: true}
	}
	// A process that was paused may have been replaced meanwhile without noticing.
	paused := now.Sub(srv.Snapshots.Snapshot().ResumedAt) < dispatch.SteadyTime
	steady := cold > 0 && !paused && (srv.IsSteady == nil || srv.IsSteady(dispatch.SteadyTime))
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	var granted bool
	var wait time.Duration
	switch {
	case cold == 0:
		granted, wait = srv.Permits.Take(now, req.Endpoint, lim.PerSecond, req.Force)
	case lim.Named:
		granted, wait = srv.Permits.TakeCold(now, req.Endpoint, min(cold, lim.PerSecond), srv.Balancer.Cold, steady)
	default:
		granted, wait = srv.Permits.TakeCold(now, req.Endpoint, cold, srv.Balancer.Cold, steady)
	}
	if cold > 0 {
		srv.countPermit(granted)
	}
	return &exchange.PermitReply{EndpointLimit: lim, Granted: granted, WaitMS: wait.Milliseconds()}
}

// endpointLimit returns what is known of an endpoint's limit, as a part of a message, and the rate of requests that it sustains
// if it is cold, otherwise 0. The lower one applies.
func (srv *Server) endpointLimit(now time.Time, id string) (lim exchange.EndpointLimit, coldPerSecond float64) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	known := srv.Throttle.Limit(now, id)
	lim = exchange.EndpointLimit{Endpoint: id, PerSecond: known.PerSecond, Named: known.Named, AgeMS: now.Sub(known.At).Milliseconds()}
	if coldPerSecond = srv.coldLimit(now, id); coldPerSecond > 0 {
		lim.ColdMS, lim.StartedAt = srv.Balancer.Cold.Stated(now, id).Milliseconds(), srv.Snapshots.Snapshot().Fleet.Endpoints[id].StartedAt
	}
	return lim, coldPerSecond
}

func fromPeer(now time.Time, lim *exchange.EndpointLimit) dispatch.RateLimit {
	return dispatch.RateLimit{PerSecond: lim.PerSecond, Named: lim.Named, At: now.Add(-milliseconds(lim.AgeMS))}
}
