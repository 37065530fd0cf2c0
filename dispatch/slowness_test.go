package dispatch

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

// slowReport is a load report that a case's endpoint made some time before the choice.
type slowReport struct {
	Age              time.Duration
	Running, Waiting int
	Slowness         float64
}

type slowCase struct {
	Name, Guards, Want string
	Engine             bool
	Endpoints          map[string]struct {
		Own     int
		Reports []slowReport
	}
}

// TestChooseBySlowness checks one decision after the load reports of each case of testdata/slowness.yaml.
func TestChooseBySlowness(t *testing.T) {
	data, err := os.ReadFile("testdata/slowness.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []slowCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			// Ties are broken at random, so each case is decided several times.
			for seed := range uint64(20) {
				cho := cse.choose(rand.New(rand.NewPCG(seed, 1)))
				if cho.Endpoint == nil || cho.Endpoint.ID != cse.Want {
					t.Fatalf("got %+v (%s), want %s", cho.Endpoint, cho, cse.Want)
				}
			}
		})
	}
}

func (cse *slowCase) choose(rnd *rand.Rand) Choice {
	svc := catalog.Service{Name: "desk"}
	if cse.Engine {
		svc.Engine = &catalog.Engine{Slots: 6, CapacityTokens: 26845, TokensPerEvent: 4}
	}
	cat := catalog.NewCatalog(1, nil, []catalog.Service{svc}, nil)
	vew := catalog.FleetView{Endpoints: map[string]catalog.Endpoint{}}
	bal := NewBalancer()
	bal.FailureDomain = "a"
	for id, edp := range cse.Endpoints {
		vew.Endpoints[id] = catalog.Endpoint{ID: id, Service: "desk", FailureDomain: "a", State: catalog.StateReady, Slots: 6}
		for range edp.Own {
			bal.Begin(id, Work{})
		}
		for _, rpt := range edp.Reports {
			bal.Reported(testNow.Add(-rpt.Age), id, rpt.Running, rpt.Waiting)
			if rpt.Slowness > 0 {
				bal.ReportedSlowness(testNow.Add(-rpt.Age), id, rpt.Slowness)
			}
		}
	}
	return bal.Choose(testNow, rnd, cat, vew, &Request{Service: "desk", Work: Work{Tokens: 1}, Force: true})
}
