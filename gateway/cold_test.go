package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/exchange"
	"papayacroft/gateway"
	"papayacroft/standin"
)

// setCold makes the only endpoint cold by its entry until a time, and its service state a rate for that.
func (hld *heldView) setCold(until time.Time) {
	snp := *hld.Snapshot()
	edp := snp.Fleet.Endpoints["e-a"]
	edp.WarmAt = until
	cat := catalog.NewCatalog(2, snp.Catalog.Routes, []catalog.Service{{Name: "desk", ColdPerSecond: 4, ColdTime: 9 * time.Second}}, nil)
	next := control.Snapshot{Catalog: cat, Fleet: snp.Fleet, TickedAt: snp.TickedAt, StoreReadAt: snp.StoreReadAt}
	next.Fleet.Endpoints = map[string]catalog.Endpoint{"e-a": edp}
	hld.view.Store(&next)
}

// Without a permit, nothing may be sent to a cold endpoint: not if the daemon that hands out the permits denies it, nor if it
// does not answer, or answers too late each time, nor if the endpoint turned cold, or the permit became old, while the request waited for its connection. The
// refusal names the time of the next permit, and comes at once if that is too late.
func TestColdWithoutPermit(t *testing.T) {
	cold := time.Now().Add(time.Minute)
	for _, cse := range []struct {
		name       string
		until      time.Time
		limited    bool
		ask        func(hld *heldView, req *exchange.PermitRequest) (*exchange.PermitReply, error)
		retryAfter string
	}{
		{"denied", cold, false, func(_ *heldView, req *exchange.PermitRequest) (*exchange.PermitReply, error) {
			return &exchange.PermitReply{EndpointLimit: req.EndpointLimit, WaitMS: 3000}, nil
		}, "3.00"},
		{"no_answer", cold, false, func(*heldView, *exchange.PermitRequest) (*exchange.PermitReply, error) {
			return nil, errors.New("no daemon answers")
		}, ""},
		{"permits_too_late", cold, false, func(_ *heldView, req *exchange.PermitRequest) (*exchange.PermitReply, error) {
			time.Sleep(dispatch.ColdPermitLifetime)
			return &exchange.PermitReply{EndpointLimit: req.EndpointLimit, Granted: true}, nil
		}, ""},
		{"turned_cold_meanwhile", time.Time{}, true, func(hld *heldView, req *exchange.PermitRequest) (*exchange.PermitReply, error) {
			time.AfterFunc(dispatch.ColdPermitLifetime/2, func() { hld.setCold(cold) })
			time.Sleep(dispatch.ColdPermitLifetime)
			return &exchange.PermitReply{EndpointLimit: req.EndpointLimit, Granted: req.ColdPerSecond == 0, WaitMS: 3000}, nil
		}, ""},
	} {
		t.Run(cse.name, func(t *testing.T) {
			srv, hld, engines := newHeldServer(t, "a")
			hld.setCold(cse.until)
			if cse.limited {
				srv.Throttle.Learn("e-a", dispatch.RateLimit{PerSecond: 5, Named: true, At: time.Now()})
			}
			srv.AskPermit = func(_ context.Context, req *exchange.PermitRequest) (*exchange.PermitReply, error) {
				return cse.ask(hld, req)
			}
			checkRefusedCold(t, srv, engines["a"], cse.retryAfter)
		})
	}
}

// checkRefusedCold sends a request, which must be refused and not be sent to the engine; without a Retry-After to expect, it may
// wait before.
func checkRefusedCold(t *testing.T, srv *gateway.Server, engine *standin.SiteEngine, retryAfter string) {
	t.Helper()
	began := time.Now()
	rec := answerOnce(srv)
	// The request's deadline is after 20 s, and it may wait for 1.65 s.
	most := 8 * time.Second
	if retryAfter != "" {
		most = time.Second
	}
	if got := time.Since(began); got > most {
		t.Errorf("got the refusal after %s, want it within %s", got, most)
	}
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got := rec.Header().Get("Retry-After"); got == "" || retryAfter != "" && got != retryAfter {
		t.Errorf("got Retry-After %q, want %q", got, retryAfter)
	}
	if got, want := len(engine.Runs()), 0; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}
