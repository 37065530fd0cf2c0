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
	"papayacroft/exchange"
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

// wakingSnapshots is the view of a process that goes on after a pause: the store is read only some time later.
type wakingSnapshots struct {
	wokenAt time.Time
	readAt  time.Duration
}

// Snapshot returns the view, with version 2 of the configuration once the store has been read.
func (wak wakingSnapshots) Snapshot() *control.Snapshot {
	snp := &control.Snapshot{
		Catalog:     catalog.NewCatalog(1, nil, nil, nil),
		StoreReadAt: wak.wokenAt.Add(-5 * time.Second), TickedAt: wak.wokenAt, ResumedAt: wak.wokenAt,
	}
	if at := wak.wokenAt.Add(wak.readAt); time.Now().After(at) {
		snp.Catalog, snp.StoreReadAt = catalog.NewCatalog(2, nil, nil, nil), at
	}
	return snp
}

// A request that a daemon takes just after a pause must be checked against the configuration that the store has now: a
// key may have been withdrawn during the pause.
func TestRequestAfterPauseWaitsForConfiguration(t *testing.T) {
	for _, cse := range []struct {
		readAt time.Duration
		want   int64
	}{{20 * time.Millisecond, 2}, {time.Minute, 1}} {
		srv := NewServer()
		srv.Snapshots = wakingSnapshots{wokenAt: time.Now(), readAt: cse.readAt}
		if got := srv.current(t.Context(), time.Now()).Version(); got != cse.want {
			t.Errorf("store read after %v: got version %d, want %d", cse.readAt, got, cse.want)
		}
	}
}

// A request that crashes an engine each time it has started again under its id must be refused after three crashes, and
// gossip must not count one of them twice.
func TestCrashesOfOneEngineCount(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv, peer := NewServer(), NewServer()
	srv.Logger, peer.Logger = logger, logger
	for started := range int64(3) {
		now := srv.Now()
		if srv.Suspects.Condemned(now, 7) || peer.Suspects.Condemned(now, 7) {
			t.Fatalf("got the request condemned after %d crashes, want 3", started)
		}
		srv.NoteCrash(exchange.Crash{Digest: 7, Endpoint: "e", StartedAt: started + 1, Parts: []string{"part"}})
		for range 2 {
			for _, found := range srv.Crashes(now) {
				peer.NoteCrash(found)
			}
		}
	}
	if now := srv.Now(); !srv.Suspects.Condemned(now, 7) || !peer.Suspects.Condemned(now, 7) {
		t.Error("got the request not condemned after 3 crashes, want it condemned by both daemons")
	}
}
