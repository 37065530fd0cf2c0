package daemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/placement"
	"papayacroft/routing"
)

// Guards against an engine that is treated as lost after one failed call, so that its model moves, and against an engine
// that is gone but still planned with.
func TestLostEngine(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tst := range []struct {
		name       string
		sta        routing.EndpointStatus
		state      inventory.EndpointState
		reportedAt time.Time
		want       bool
	}{
		{name: "reports", reportedAt: now, want: false},
		{name: "idle without a failure", reportedAt: now.Add(-time.Hour), want: false},
		{name: "one failure", sta: routing.EndpointStatus{FailedAt: now}, reportedAt: now.Add(-time.Second), want: false},
		{name: "failures and no report", sta: routing.EndpointStatus{FailedAt: now}, reportedAt: now.Add(-11 * time.Second), want: true},
		{name: "reported after the failure", sta: routing.EndpointStatus{FailedAt: now.Add(-30 * time.Second)}, reportedAt: now.Add(-20 * time.Second), want: false},
		{name: "never reached", sta: routing.EndpointStatus{FailedAt: now}, want: true},
		{name: "leaving", sta: routing.EndpointStatus{LeavingSince: now}, reportedAt: now, want: true},
		{name: "draining", state: inventory.EndpointDraining, reportedAt: now, want: true},
	} {
		if got := lost(now, inventory.Endpoint{State: tst.state}, tst.sta, tst.reportedAt); got != tst.want {
			t.Errorf("%s: got lost %v; want %v", tst.name, got, tst.want)
		}
	}
}

// Guards against a new lease holder that reassigns engines before all of them have reported which models they have.
func TestPlanWaitsForReports(t *testing.T) {
	pps := &poolPlacer{polledAt: map[string]time.Time{}}
	vew := placement.View{Engines: []placement.Engine{{Name: "a", Reported: true}, {Name: "b"}, {Name: "c", Lost: true}}}
	if pps.readyToPlan(vew) {
		t.Error("got a pool ready to plan before engine b was polled; want it not ready")
	}
	pps.polledAt["b"] = time.Unix(1000, 0)
	if !pps.readyToPlan(vew) {
		t.Error("got a pool not ready to plan after engine b was polled; want it ready")
	}
}

// Guards against ages of load reports that are computed from the engine's clock, which may differ from the daemon's.
func TestReportAgeByOwnClock(t *testing.T) {
	pps := &poolPlacer{reports: map[string]report{}}
	now := time.Unix(1000, 0)
	sta := routing.EndpointStatus{Load: endpoint.Load{At: now.Add(time.Hour)}}
	for _, after := range []time.Duration{0, time.Minute} {
		if got := pps.reportedAt(now.Add(after), "a", sta); !got.Equal(now) {
			t.Errorf("got a report at %s; want %s", got, now)
		}
	}
}

// Guards against a holder of many leases that applies the limit on polls to each pool instead of to all pools together,
// and so exceeds its budget for control traffic.
func TestPollsAreBoundedForAllPools(t *testing.T) {
	var polled atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { polled.Add(1) }))
	defer srv.Close()
	plc := &placer{daemon: &Daemon{tracker: routing.NewTracker()}, endpoints: endpoint.NewClient(), polls: pollsPerStep}
	for range 3 {
		pps := plc.newPool("llm", inventory.Pool{})
		plc.poll(t.Context(), pps, []inventory.Endpoint{
			{Name: "a", Address: srv.Listener.Addr().String()}, {Name: "b", Address: srv.Listener.Addr().String()},
		})
	}
	if got, want := polled.Load(), int64(pollsPerStep); got != want {
		t.Errorf("got %d polls in one step; want %d", got, want)
	}
}
