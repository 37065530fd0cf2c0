package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

// A generation that ends before its engine leaves, even if it is as long as it can be, must not be moved: the copy pauses it
// and takes time on the engine's link. Any other one must be moved, or it is lost.
func TestLeaveToEnd(t *testing.T) {
	source := catalog.Endpoint{ID: "e", Service: "pool", State: catalog.StateReady, Slots: 8, StartedAt: 1}
	engine := &catalog.Engine{Slots: 8, CapacityTokens: 30000, TokensPerEvent: 4}
	for _, cse := range []struct {
		name              string
		maxTokens, events int
		leavesIn          time.Duration
		unstated          bool
		want              int
	}{
		// At 10 ms a token, 40 tokens take 0.4 s, of which 0.4 of the time until the engine leaves has to be enough.
		{name: "ends before", maxTokens: 400, events: 90, leavesIn: 1500 * time.Millisecond},
		{name: "may end after", maxTokens: 400, events: 80, leavesIn: 1500 * time.Millisecond, want: 1},
		{name: "leaves at once", maxTokens: 400, events: 90, leavesIn: 900 * time.Millisecond, want: 1},
		{name: "longer than its maximum", maxTokens: 300, events: 80, leavesIn: 1500 * time.Millisecond, want: 1},
		{name: "no maximum", events: 1, leavesIn: 1500 * time.Millisecond, want: 1},
		{name: "speeds not learnt", maxTokens: 400, events: 90, leavesIn: 1500 * time.Millisecond, unstated: true, want: 1},
		{name: "no time stated", maxTokens: 400, events: 90, want: 1},
	} {
		t.Run(cse.name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			srv := NewServer()
			srv.Now = func() time.Time { return now }
			log := logrus.New()
			log.SetOutput(io.Discard)
			srv.Logger = log
			cat := catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: engine}}, nil)
			srv.Snapshots = fixedSnapshot{Catalog: cat}
			if !cse.unstated {
				srv.Balancer.Speeds.SetStated("pool")
			}
			wch := srv.watch(&source, dispatch.Work{})
			for i := range 50 {
				srv.Balancer.Observe(now.Add(time.Duration(i-50)*40*time.Millisecond), wch, 1, 4, 0)
			}
			one := &run{
				request: &request{Call: Call{MaxTokens: cse.maxTokens}, service: "pool", logger: log, http: httptest.NewRequest(http.MethodPost, "/", nil)},
				server:  srv, events: cse.events, endpoint: &source,
			}
			if !one.beginMove() {
				t.Fatal("got a move in progress, want none")
			}
			moved := srv.leaveToEnd(&source, &EngineReport{Leaves: true, LeavesIn: cse.leavesIn, StartedAt: 1}, []*run{one})
			if got := len(moved); got != cse.want {
				t.Errorf("got %d generations to move, want %d", got, cse.want)
			}
			if got, want := one.isMoving(), cse.want > 0; got != want {
				t.Errorf("got moving %t, want %t", got, want)
			}
		})
	}
}
