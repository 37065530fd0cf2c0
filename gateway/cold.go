package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/exchange"
	"papayacroft/retry"
)

// copyPermitWait is how long a generation whose memory was copied to a cold engine waits for a permit to go on there. The
// callers abandon a stream after minPatience at the earliest.
const copyPermitWait = 1500 * time.Millisecond

var errPermitExpired = errors.New("the permit for the cold endpoint has expired, or there was none")

// coldLimit returns the number of requests a second that an endpoint sustains if it is cold; otherwise 0. The caller holds the
// mutex.
func (srv *Server) coldLimit(now time.Time, id string) float64 {
	snp := srv.Snapshots.Snapshot()
	edp, listed := snp.Fleet.Endpoints[id]
	if !listed || snp.Catalog == nil {
		return 0
	}
	svc := snp.Catalog.Services[edp.Service]
	if srv.Balancer.Cold.Left(now, &snp.Fleet.Evacuations, &edp, &svc) <= 0 {
		return 0
	}
	return svc.ColdPerSecond
}

// isColdLimited reports whether an endpoint is cold and may be sent requests with a permit only.
func (srv *Server) isColdLimited(now time.Time, id string) bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.coldLimit(now, id) > 0
}

// coldCount returns the number of cold endpoints of services that state a rate for those.
func (srv *Server) coldCount(snp *control.Snapshot) int {
	if snp.Catalog == nil {
		return 0
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	count, now := 0, srv.Now()
	for id := range snp.Fleet.Endpoints {
		if srv.coldLimit(now, id) > 0 {
			count++
		}
	}
	return count
}

// countPermit counts the answer to a request for a permit for a cold endpoint.
func (srv *Server) countPermit(granted bool) {
	outcome := "denied"
	if granted {
		outcome = "granted"
	}
	srv.Metrics.permits.WithLabelValues(outcome).Inc()
}

// learnCold records for how long an endpoint says that it is cold, and reports whether to announce it to other daemons; the
// caller holds the mutex.
func (srv *Server) learnCold(now time.Time, id string, startedAt int64, left time.Duration, source string) (share bool) {
	edp, listed := srv.Snapshots.Snapshot().Fleet.Endpoints[id]
	if !listed || edp.StartedAt > startedAt || !srv.hasColdRate(edp.Service) {
		return false
	}
	cld := srv.Balancer.Cold
	if cld.Learn(now, id, startedAt, left) {
		srv.Logger.WithFields(logrus.Fields{fieldEndpoint: id, "left": left, "source": source}).Info("endpoint is cold")
	}
	if !cld.IsNews(now, id) || !srv.Throttle.MayShare(now, id) {
		return false
	}
	cld.Shared(id)
	return true
}

// hasColdRate reports whether a service states the rate of requests that its cold endpoints sustain.
func (srv *Server) hasColdRate(service string) bool {
	cat := srv.Snapshots.Snapshot().Catalog
	return cat != nil && cat.Services[service].ColdPerSecond > 0
}

// learnColdFromPeer records for how long an endpoint is cold by the answers to another daemon, if that is longer than known;
// the caller holds the mutex.
func (srv *Server) learnColdFromPeer(now time.Time, lim *exchange.EndpointLimit) (share bool) {
	left := milliseconds(lim.ColdMS)
	if left <= srv.Balancer.Cold.Stated(now, lim.Endpoint) {
		return false
	}
	return srv.learnCold(now, lim.Endpoint, lim.StartedAt, left, sourcePeer)
}

// permitRequest takes a permit for a request that may be sent to an endpoint, if it needs one.
func (srv *Server) permitRequest(ctx context.Context, rqs *request, edp *catalog.Endpoint) bool {
	asked := srv.Now()
	cold := srv.hasColdRate(edp.Service) && srv.isColdLimited(asked, edp.ID)
	granted := srv.permit(ctx, edp.ID, false)
	rqs.permitAt = time.Time{}
	if cold {
		// The daemon that hands out permits counts from some time after this one: the permit is not used later than it assumes.
		rqs.permitAt = asked
	}
	return granted
}

// permitCopy takes the permit with which a generation goes on at the engine that its memory was copied to. For a cold engine it
// waits until there is one and returns false after copyPermitWait; the generation has stopped, so for others it does not wait.
func (srv *Server) permitCopy(ctx context.Context, rqs *request, edp *catalog.Endpoint) bool {
	if !srv.hasColdRate(edp.Service) || !srv.isColdLimited(srv.Now(), edp.ID) {
		go srv.permit(ctx, edp.ID, true)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, copyPermitWait)
	defer cancel()
	for ctx.Err() == nil {
		if srv.permitRequest(ctx, rqs, edp) {
			return true
		}
		srv.mutex.Lock()
		wait := srv.Throttle.NextPermit(srv.Now(), edp.ID)
		srv.mutex.Unlock()
		retry.Sleep(ctx, wait)
	}
	return false
}
