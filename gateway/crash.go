package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

const (
	// crashCheckDelay is how long after a broken answer the endpoint is tried: a crash takes seconds to recover from.
	crashCheckDelay = 150 * time.Millisecond
	// toldCrashes bounds the crashes in one message between daemons.
	toldCrashes = 32
	// condemnedRetry is when the caller of a request that crashes endpoints may come back.
	condemnedRetry = 30 * time.Second
)

// crash is what daemons tell each other of a request that crashed an endpoint.
type crash struct {
	Digest   uint64 `json:"digest,string"`
	Endpoint string `json:"endpoint"`
}

// digest identifies a request by what its caller sends again.
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

// checkCrash finds out whether an endpoint that broke off an answer has crashed: it takes no connection then.
// An endpoint that leaves, or a caller that left, is no crash.
func (srv *Server) checkCrash(ctx context.Context, rqs *request, edp *catalog.Endpoint) {
	if ctx.Err() != nil {
		return
	}
	if _, leaving := srv.Board.Snapshot().Fleet.Leaving[edp.ID]; leaving {
		return
	}
	found := crash{Digest: rqs.digest(), Endpoint: edp.ID}
	go func() {
		time.Sleep(crashCheckDelay)
		con, err := net.DialTimeout("tcp", edp.Address, dialTimeout)
		if err == nil {
			_ = con.Close()
			return
		}
		rqs.logger.WithFields(logrus.Fields{fieldEndpoint: edp.ID}).WithError(err).Warn("endpoint crashed while it ran the request")
		srv.noteCrash(found)
		if srv.OnCrash != nil {
			srv.OnCrash(found)
		}
	}()
}

func (srv *Server) noteCrash(found crash) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Suspects.Crashed(srv.Now(), found.Digest, found.Endpoint)
}

// crashes returns some of the crashes that are remembered, for peers that were not told at once.
func (srv *Server) crashes(now time.Time) []crash {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	var found []crash
	srv.Suspects.Each(now, func(digest uint64, endpoint string) {
		if len(found) < toldCrashes {
			found = append(found, crash{Digest: digest, Endpoint: endpoint})
		}
	})
	return found
}
