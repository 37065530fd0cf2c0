package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
	"papayacroft/exchange"
)

// The tokens that an engine holds must be counted as work once only, a refusal must leave no record, and a crash must
// drop what the engine held; otherwise requests wait at engines that hold nothing.
func TestPromptIsRecorded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	edp := catalog.Endpoint{ID: "e", Service: "pool", State: catalog.StateReady, Slots: 8, StartedAt: 1}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	srv := NewServer()
	srv.Snapshots = fixedSnapshot{
		Catalog: catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: 8, CapacityTokens: 30000}}}, nil),
		Fleet:   catalog.FleetView{Endpoints: map[string]catalog.Endpoint{"e": edp}},
	}
	srv.Logger, srv.Now = logger, func() time.Time { return now }
	srv.Balancer.Prefixes.Enabled = true
	rqs := &request{
		http: httptest.NewRequest(http.MethodGet, "/", nil), route: &catalog.Route{Attempts: 1, Target: time.Second}, service: "pool",
		deadline: now.Add(time.Second), logger: logger, excluded: map[string]bool{},
	}
	rqs.Parts, rqs.PromptTokens = []Part{{"system", 2000}, {"own", 500}}, 2500
	wrk := expectedWork(rqs)
	check := func(what string, prefill, entries int) {
		t.Helper()
		if got := srv.UsageAt("e").Prefill; got != prefill {
			t.Errorf("%s: got %d prompt tokens of work, want %d", what, got, prefill)
		}
		if got := srv.Balancer.Prefixes.Len(); got != entries {
			t.Errorf("%s: got %d entries, want %d", what, got, entries)
		}
	}
	srv.choose(now, rqs, wrk, false)
	refused, _ := srv.beginStream(rqs, &edp, wrk)
	check("sent", 2500, 3)
	srv.end(refused)
	check("refused", 0, 1)
	first, _ := srv.beginStream(rqs, &edp, wrk)
	now = now.Add(80 * time.Millisecond)
	srv.started(first)
	srv.promptRead(now, first)
	srv.end(first)
	check("ended", 0, 3)
	rqs.Parts[1].ID = "other"
	second, _ := srv.beginStream(rqs, &edp, wrk)
	check("sent again", 500, 4)
	srv.end(second)
	check("refused again", 0, 3)
	srv.NoteCrash(exchange.Crash{Digest: 7, Endpoint: "e", StartedAt: 1})
	check("crashed", 0, 1)
	if got, want := srv.choose(now, rqs, wrk, false).Held, 0; got != want {
		t.Errorf("got %d tokens held after the crash, want %d", got, want)
	}
}

// A caller may state thousands of parts in one header; the choice, which a waiting request repeats every 20 ms, must not
// go through all of them.
func TestPromptPartsAreBounded(t *testing.T) {
	var parts []Part
	for i := range 4000 {
		parts = append(parts, Part{ID: strconv.Itoa(i), Tokens: 1})
	}
	if got, want := len(promptParts(parts)), maxSharedParts; got != want {
		t.Errorf("got %d parts, want %d", got, want)
	}
	if got, want := promptParts(parts)[0], (dispatch.Part{ID: "0", Tokens: 1}); got != want {
		t.Errorf("got first part %+v, want %+v", got, want)
	}
}
