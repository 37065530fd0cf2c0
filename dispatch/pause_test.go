package dispatch

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

type pauseStep struct {
	At    time.Duration
	Pause string
	For   time.Duration
	// Send is force, free or inflight; Got is where the request goes, or the reason.
	Send, Got string
	Born      int64
}

type pauseCase struct {
	Name, Guards string
	Two          bool
	Steps        []pauseStep
}

// Each case of testdata/pauses.yaml is a sequence of pauses and requests.
func TestPauses(t *testing.T) {
	data, err := os.ReadFile("testdata/pauses.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []pauseCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			endpoints := map[string]catalog.Endpoint{"e1": {ID: "e1", Service: "desk", FailureDomain: "a", State: catalog.StateReady, Slots: 8}}
			if cse.Two {
				endpoints["e2"] = catalog.Endpoint{ID: "e2", Service: "desk", FailureDomain: "b", State: catalog.StateReady, Slots: 8}
			}
			bal := NewBalancer()
			bal.FailureDomain = "a"
			for i, stp := range cse.Steps {
				edp := endpoints["e1"]
				edp.StartedAt = max(edp.StartedAt, stp.Born)
				endpoints["e1"] = edp
				if got := stp.play(bal, endpoints); got != stp.Got {
					t.Errorf("step %d: got %q, want %q", i+1, got, stp.Got)
				}
			}
		})
	}
}

// play plays a step and returns where its request goes.
func (stp *pauseStep) play(bal *Balancer, endpoints map[string]catalog.Endpoint) string {
	now := testNow.Add(stp.At)
	if stp.Pause != "" {
		edp := endpoints[stp.Pause]
		bal.Paused(now, &edp, stp.For)
		return ""
	}
	edp := endpoints["e1"]
	cho := Choice{Endpoint: &edp}
	if stp.Send != "inflight" {
		cat := catalog.NewCatalog(1, nil, []catalog.Service{{Name: "desk"}}, nil)
		req := &Request{Service: "desk", Force: stp.Send == "force"}
		cho = bal.Choose(now, rand.New(rand.NewPCG(1, 1)), cat, catalog.FleetView{Endpoints: endpoints}, req)
	}
	switch {
	case cho.Endpoint == nil:
		return string(cho.Reason)
	case !bal.MaySend(now, cho.Endpoint, cho.DespitePause):
		return string(ReasonPaused)
	}
	return cho.Endpoint.ID
}
