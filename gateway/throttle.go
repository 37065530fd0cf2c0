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
	if srv.learnLimit(now, id, lim, sourceAnswer) && srv.OnLimit != nil {
		go srv.OnLimit(&exchange.EndpointLimit{Endpoint: id, PerSecond: lim.PerSecond, Named: lim.Named})
	}
}

// NoteLimit records an endpoint's limit that another daemon knows, and reports whether to announce it to others.
func (srv *Server) NoteLimit(lim *exchange.EndpointLimit) bool {
	now := srv.Now()
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.learnLimit(now, lim.Endpoint, fromPeer(now, lim), sourcePeer)
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
		retry.Sleep(ctx, capacityPoll)
	}
}

// choosePermitted chooses an endpoint for which there is a permit, if it needs one.
func (srv *Server) choosePermitted(ctx context.Context, rqs *request, wrk dispatch.Work, force bool) dispatch.Choice {
	for {
		// Without a permit, the endpoint is not chosen again for minDenial at least.
		cho := srv.choose(srv.Now(), rqs, wrk, force)
		if cho.Endpoint == nil || ctx.Err() != nil || srv.permit(ctx, cho.Endpoint.ID, false) {
			return cho
		}
	}
}

// permit reports whether a request may be sent to an endpoint; if the endpoint names a limit, it takes a permit. With
// force the request is sent in any case, and counts.
func (srv *Server) permit(ctx context.Context, id string, force bool) bool {
	for {
		asked := srv.Now()
		lim, limited := srv.endpointLimit(asked, id)
		if !limited {
			return true
		}
		rep, err := srv.askPermit(ctx, &exchange.PermitRequest{EndpointLimit: lim, Force: force})
		now := srv.Now()
		if err == nil && rep.Granted && now.Sub(asked) >= permitLifetime && ctx.Err() == nil {
			continue
		}
		srv.mutex.Lock()
		defer srv.mutex.Unlock()
		if err != nil {
			srv.Throttle.Deny(now, id, permitRetry)
			return force
		}
		srv.learnLimit(now, id, fromPeer(now, &rep.EndpointLimit), sourcePeer)
		if !rep.Granted {
			srv.Throttle.Deny(now, id, max(minDenial, milliseconds(rep.WaitMS)))
		}
		return rep.Granted
	}
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
	lim, limited := srv.endpointLimit(now, req.Endpoint)
	if !limited {
		return &exchange.PermitReply{EndpointLimit: lim, Granted: true}
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	granted, wait := srv.Permits.Take(now, req.Endpoint, lim.PerSecond, req.Force)
	return &exchange.PermitReply{EndpointLimit: lim, Granted: granted, WaitMS: wait.Milliseconds()}
}

// endpointLimit returns what is known of an endpoint's limit, as a part of a message, and whether there is one.
func (srv *Server) endpointLimit(now time.Time, id string) (lim exchange.EndpointLimit, limited bool) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	known := srv.Throttle.Limit(now, id)
	return exchange.EndpointLimit{Endpoint: id, PerSecond: known.PerSecond, Named: known.Named, AgeMS: now.Sub(known.At).Milliseconds()}, known.Named
}

func fromPeer(now time.Time, lim *exchange.EndpointLimit) dispatch.RateLimit {
	return dispatch.RateLimit{PerSecond: lim.PerSecond, Named: lim.Named, At: now.Add(-milliseconds(lim.AgeMS))}
}
