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
// does not answer, nor if the endpoint turned cold, or the permit became old, while the request waited for its connection. The
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
			began := time.Now()
			rec := answerOnce(srv)
			if got, most := time.Since(began), time.Second; cse.retryAfter != "" && got > most {
				t.Errorf("got the refusal after %s, want it within %s", got, most)
			}
			if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			if got := rec.Header().Get("Retry-After"); got == "" || cse.retryAfter != "" && got != cse.retryAfter {
				t.Errorf("got Retry-After %q, want %q", got, cse.retryAfter)
			}
			if got, want := len(engines["a"].Runs()), 0; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
		})
	}
}
