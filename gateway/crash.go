package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/exchange"
)

const (
	// crashCheckDelay is the delay from a broken answer to the connection attempt that shows whether the endpoint has
	// crashed: a crashed endpoint takes no connections for seconds.
	crashCheckDelay = 150 * time.Millisecond
	// maxSharedCrashes limits the crashes in one message between daemons.
	maxSharedCrashes = 32
	// condemnedRetry is the Retry-After of requests that are refused because they crashed several endpoints.
	condemnedRetry = 30 * time.Second
)

// digest returns a hash of the parts of a request that stay the same when its caller retries it.
func (rqs *request) digest() uint64 {
	sum := xxhash.New()
	for _, part := range []string{rqs.http.Method, rqs.http.Host, rqs.http.URL.RequestURI(), rqs.organisation} {
		_, _ = sum.WriteString(part)
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(rqs.body)
	return sum.Sum64()
}

// condemned reports whether the request has crashed several endpoints.
func (srv *Server) condemned(now time.Time, rqs *request) bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Suspects.Condemned(now, rqs.digest())
}

// checkCrash checks in the background whether an endpoint that broke off an answer has crashed, that is, whether it
// accepts no connections. It does nothing if the endpoint is known to leave, or if the caller disconnected or the deadline
// passed. events is the number of events of the request's stream before it broke off.
func (srv *Server) checkCrash(ctx context.Context, rqs *request, edp *catalog.Endpoint, events int) {
	if ctx.Err() != nil {
		return
	}
	if _, leaving := srv.Snapshots.Snapshot().Fleet.Leaving[edp.ID]; leaving {
		return
	}
	found := exchange.Crash{Digest: rqs.digest(), Endpoint: edp.ID}
	go func() {
		time.Sleep(crashCheckDelay)
		con, err := net.DialTimeout("tcp", edp.Address, dialTimeout)
		if err == nil {
			_ = con.Close()
			return
		}
		rqs.logger.WithFields(logrus.Fields{fieldEndpoint: edp.ID, "parts": partIDs(rqs.Parts), "events": events}).WithError(err).Warn("endpoint crashed while it ran the request")
		srv.NoteCrash(found)
		if srv.OnCrash != nil {
			srv.OnCrash(found)
		}
	}()
}

// partIDs returns the ids of the parts of a prompt, for logs.
func partIDs(parts []Part) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// NoteCrash records that a request crashed an endpoint.
func (srv *Server) NoteCrash(found exchange.Crash) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Suspects.Crashed(srv.Now(), found.Digest, found.Endpoint)
}

// Crashes returns up to maxSharedCrashes recorded crashes; gossip carries them to peers that missed the broadcast.
func (srv *Server) Crashes(now time.Time) []exchange.Crash {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	var found []exchange.Crash
	srv.Suspects.Each(now, func(digest uint64, endpoint string) {
		if len(found) < maxSharedCrashes {
			found = append(found, exchange.Crash{Digest: digest, Endpoint: endpoint})
		}
	})
	return found
}
