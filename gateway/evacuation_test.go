package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/exchange"
	"papayacroft/gateway"
	"papayacroft/platform"
	"papayacroft/standin"
)

// heldView is a view that the test replaces.
type heldView struct {
	view atomic.Pointer[control.Snapshot]
}

// Snapshot returns the view.
func (hld *heldView) Snapshot() *control.Snapshot {
	return hld.view.Load()
}

// evacuate evacuates a failure domain.
func (hld *heldView) evacuate(domain string) {
	snp := *hld.Snapshot()
	snp.Fleet.Evacuations.Domains = map[string]catalog.Evacuation{domain: {At: time.Now()}}
	hld.view.Store(&snp)
}

// newHeldServer returns a server with one route of each kind to a service with an endpoint in each failure domain.
func newHeldServer(t *testing.T, domains ...string) (*gateway.Server, *heldView, map[string]*standin.SiteEngine) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	engines, endpoints := map[string]*standin.SiteEngine{}, map[string]catalog.Endpoint{}
	for _, domain := range domains {
		engines[domain] = standin.NewSiteEngine("e-" + domain)
		listener := httptest.NewServer(engines[domain])
		t.Cleanup(listener.Close)
		endpoints["e-"+domain] = catalog.Endpoint{
			ID: "e-" + domain, Service: "desk", Address: listener.Listener.Addr().String(), FailureDomain: domain, State: catalog.StateReady, Slots: 8,
		}
	}
	hld := &heldView{}
	hld.view.Store(&control.Snapshot{
		Catalog: catalog.NewCatalog(1, []catalog.Route{
			{Name: "once", Host: "site.example", PathPrefix: "/once/", Kind: catalog.KindOnce, Shares: []catalog.Share{{Service: "desk", Weight: 1}}, Timeout: 20 * time.Second, Target: 15 * time.Second, Attempts: 1},
		}, []catalog.Service{{Name: "desk"}}, nil),
		Fleet: catalog.FleetView{Endpoints: endpoints}, TickedAt: time.Now().Add(time.Hour), StoreReadAt: time.Now(),
	})
	srv := gateway.NewServer()
	srv.Snapshots, srv.Wire, srv.Logger = hld, platform.Headers{}, logger
	return srv, hld, engines
}

func answerOnce(srv *gateway.Server) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "http://site.example/once/x", nil)
	req.Header.Set("Attempt-Id", "a1")
	rec := httptest.NewRecorder()
	srv.ServeHTTP(rec, req)
	return rec
}

// A request that waits for a permit or a connection when the evacuation arrives must not be sent to the endpoint that was
// chosen before, and must go elsewhere or be refused as not run.
func TestEvacuationWhileRequestWaits(t *testing.T) {
	for _, cse := range []struct {
		name    string
		domains []string
		want    int
	}{
		{"another endpoint", []string{"a", "b"}, http.StatusOK},
		{"no other endpoint", []string{"a"}, http.StatusServiceUnavailable},
	} {
		t.Run(cse.name, func(t *testing.T) {
			srv, hld, engines := newHeldServer(t, cse.domains...)
			srv.Balancer.FailureDomain = "a"
			srv.Throttle.Learn("e-a", dispatch.RateLimit{PerSecond: 5, Named: true, At: time.Now()})
			srv.AskPermit = func(_ context.Context, req *exchange.PermitRequest) (*exchange.PermitReply, error) {
				hld.evacuate("a")
				return &exchange.PermitReply{EndpointLimit: req.EndpointLimit, Granted: true}, nil
			}
			rec := answerOnce(srv)
			if got, want := rec.Code, cse.want; got != want {
				t.Errorf("got status %d (%s), want %d", got, rec.Body, want)
			}
			if got, want := len(engines["a"].Runs()), 0; got != want {
				t.Errorf("got %d runs in the evacuated failure domain, want %d", got, want)
			}
			if cse.want == http.StatusServiceUnavailable && rec.Header().Get("Retry-After") == "" {
				t.Error("got no Retry-After, want one")
			}
		})
	}
}

// A request for which only evacuated endpoints exist must be refused at once: the route's target would let it wait for
// 1.65 s.
func TestEvacuatedIsRefusedAtOnce(t *testing.T) {
	srv, hld, _ := newHeldServer(t, "a")
	hld.evacuate("a")
	began := time.Now()
	if got, want := answerOnce(srv).Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, most := time.Since(began), time.Second; got > most {
		t.Errorf("got the refusal after %s, want it within %s", got, most)
	}
}

// A daemon that has not read the evacuations yet must not serve: it got the configuration from a peer, but would send
// requests to an evacuated failure domain.
func TestUnreadEvacuationsAreNotServed(t *testing.T) {
	srv, hld, engines := newHeldServer(t, "a")
	snp := *hld.Snapshot()
	snp.Fleet.Evacuations.Unread = true
	hld.view.Store(&snp)
	rec := answerOnce(srv)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want || rec.Header().Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, want %d with one", got, rec.Header().Get("Retry-After"), want)
	}
	if got, want := len(engines["a"].Runs()), 0; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}
