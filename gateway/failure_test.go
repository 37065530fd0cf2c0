package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
)

// fixedSnapshot is a view that does not change.
type fixedSnapshot control.Snapshot

// Snapshot returns the view.
func (snp fixedSnapshot) Snapshot() *control.Snapshot {
	one := control.Snapshot(snp)
	return &one
}

// A caller that disconnects must not lower the rating of an endpoint. A daemon that was frozen finds many requests whose
// callers have disconnected; when it recorded them as failures of the endpoints, it refused the requests that followed
// (kowhai-votes scale-1, seed 288757404262: 11 refusals after a freeze of 3 s).
func TestCallerThatLeftIsNoFailureOfTheEndpoint(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	edp := catalog.Endpoint{ID: "e", Service: "desk", Address: "127.0.0.1:1", State: catalog.StateReady, Slots: 4}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv := NewServer()
	srv.Snapshots = fixedSnapshot{
		Catalog: catalog.NewCatalog(1, nil, []catalog.Service{{Name: "desk"}}, nil),
		Fleet:   catalog.FleetView{Endpoints: map[string]catalog.Endpoint{"e": edp}},
	}
	srv.Logger, srv.Now = logger, func() time.Time { return now }
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	rqs := &request{
		http: httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx), route: &catalog.Route{Attempts: 1},
		service: "desk", deadline: now.Add(time.Second), logger: logger, excluded: map[string]bool{},
	}
	_, err := Open(ctx, edp.Address, &Outgoing{URL: rqs.http.URL})
	srv.noteSendError(ctx, edp.ID, err)
	if got, want := srv.choose(now, rqs, dispatch.Work{}, false).Score, 1.0; got >= want {
		t.Errorf("got score %.2f, want less than %.2f as of an endpoint without failures", got, want)
	}
}
