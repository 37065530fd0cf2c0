package daemon

import (
	"fmt"
	"testing"
	"time"

	"papayacroft/blackboard"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/membership"
	"papayacroft/routing"
)

// Measures one check for leaving endpoints on an idle daemon with 1,000 endpoints; daemons run ten checks a second.
func BenchmarkLeavingCheck(b *testing.B) {
	cfg := &inventory.Configuration{Endpoints: map[string]inventory.Endpoint{}}
	dmn := &Daemon{tracker: routing.NewTracker()}
	for i := range 1000 {
		name := fmt.Sprintf("engine-%d", i)
		cfg.Endpoints[name] = inventory.Endpoint{Name: name}
		dmn.tracker.Report(time.Now(), name, endpoint.Load{At: time.Now()})
	}
	dmn.gossip = &gossip{daemon: dmn, table: membership.NewTable(time.Now(), membership.Member{})}
	wat := &leavingWatch{daemon: dmn, applied: map[string]time.Time{}, nextPoll: map[string]time.Time{}}
	wat.listed.Store(&map[string]bool{})
	snp := &blackboard.Snapshot{Index: inventory.NewIndex(cfg)}
	for b.Loop() {
		wat.checkSnapshot(b.Context(), time.Now(), snp)
	}
}
