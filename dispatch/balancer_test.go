package dispatch

import (
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

var testNow = time.Unix(1_700_000_000, 0)

type deskEngine struct {
	Domain, State string
	Own           []Work
	Peers         map[string]Usage
	PeerAge       time.Duration `yaml:"peerAge"`
	Failures      int
	Successes     int
	Running       int
	Unreachable   bool
	Leaves        bool
}

type deskCase struct {
	Name, Guards, Service string
	Capacity              int
	Engines               map[string]deskEngine
	Preferred             []string
	// Evacuated are the failure domains that are evacuated.
	Evacuated []string
	Request   struct {
		Tokens, Prefill int
		Target          time.Duration
		Source          string
		Force, Brief    bool
		Safest          bool
	}
	Want   string
	Reason Reason
}

// TestChoose checks one decision under each load pattern of testdata/balancer.yaml.
func TestChoose(t *testing.T) {
	testChoices(t, "testdata/balancer.yaml")
}

func testChoices(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var cases []deskCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			// Ties are broken at random, so each case is decided several times.
			for seed := range uint64(20) {
				cho := cse.choose(rand.New(rand.NewPCG(seed, 1)))
				got := ""
				if cho.Endpoint != nil {
					got = cho.Endpoint.ID
				}
				if got != cse.Want || cho.Reason != cse.Reason {
					t.Fatalf("got endpoint %q, reason %q (%s), want %q, %q", got, cho.Reason, cho, cse.Want, cse.Reason)
				}
			}
		})
	}
}

func (cse *deskCase) choose(rnd *rand.Rand) Choice {
	service := "pool"
	if cse.Service != "" {
		service = cse.Service
	}
	capacity := 10000
	if cse.Capacity > 0 {
		capacity = cse.Capacity
	}
	cat := catalog.NewCatalog(1, nil, []catalog.Service{
		{Name: "pool", Engine: &catalog.Engine{Slots: 8, CapacityTokens: capacity}}, {Name: "desk"},
	}, nil)
	vew := catalog.FleetView{Endpoints: map[string]catalog.Endpoint{}, Leaving: map[string]catalog.LeavingMark{}}
	vew.Evacuations.Domains = map[string]catalog.Evacuation{"lifted": {Lifted: true}}
	for _, domain := range cse.Evacuated {
		vew.Evacuations.Domains[domain] = catalog.Evacuation{At: testNow}
	}
	bal := NewBalancer()
	bal.FailureDomain = "a"
	for id, eng := range cse.Engines {
		state := catalog.StateReady
		if eng.State != "" {
			state = catalog.State(eng.State)
		}
		vew.Endpoints[id] = catalog.Endpoint{ID: id, Service: service, FailureDomain: eng.Domain, State: state, Slots: 8}
		if eng.Leaves {
			vew.Leaving[id] = catalog.LeavingMark{At: testNow}
		}
		eng.apply(bal, id)
	}
	req := Request{
		Service: service, Work: Work{Tokens: cse.Request.Tokens, Prefill: cse.Request.Prefill}, Target: cse.Request.Target,
		Source: cse.Request.Source, Force: cse.Request.Force || service == "desk", Brief: cse.Request.Brief,
		Safest: cse.Request.Safest,
	}
	if cse.Preferred != nil {
		req.Preferred = map[string]bool{}
		for _, id := range cse.Preferred {
			req.Preferred[id] = true
		}
	}
	return bal.Choose(testNow, rnd, cat, vew, &req)
}

// apply records the load and the failures of the case's engine in the balancer.
func (eng *deskEngine) apply(bal *Balancer, id string) {
	for _, wrk := range eng.Own {
		bal.Begin(id, wrk)
	}
	for name, usg := range eng.Peers {
		bal.SetPeerUsage(testNow.Add(-eng.PeerAge), name, map[string]Usage{id: usg})
	}
	for range eng.Failures {
		bal.Failed(testNow, id, false)
	}
	for range eng.Successes {
		bal.Succeeded(testNow, id)
	}
	if eng.Unreachable {
		bal.Failed(testNow, id, true)
	}
	if eng.Running > 0 {
		bal.Reported(testNow, id, eng.Running, 0)
	}
}

// Counts must return to zero when all requests have ended. Otherwise an engine looks busier after each request.
func TestFlightsEnd(t *testing.T) {
	bal := NewBalancer()
	one, two := bal.Begin("e", Work{Tokens: 30, Prefill: 20}), bal.Begin("e", Work{Tokens: 5, Prefill: 5})
	bal.Started(one)
	bal.End(one)
	bal.End(two)
	if got, want := len(bal.LocalUsage()), 0; got != want {
		t.Errorf("got %d endpoints with work, want %d", got, want)
	}
	if got, want := bal.endpoint("e").own, (Usage{}); got != want {
		t.Errorf("got usage %+v, want %+v", got, want)
	}
}

// All daemons together must stay within the ratio and the fixed allowance, in whatever order requests and repeats come.
func TestBudgetIsShared(t *testing.T) {
	const daemons, requests = 7, 300
	total := 0
	for range daemons {
		bud := NewBudget()
		bud.SetLimits(0.2, 54, 10*time.Second)
		bud.Daemons = daemons
		for i := range requests {
			now := testNow.Add(time.Duration(i) * 10 * time.Millisecond)
			bud.Request(now, "desk")
			for bud.Spend(now, "desk") {
				total++
			}
		}
	}
	if got, want := total, int(0.2*daemons*requests+54); got > want {
		t.Errorf("got %d repeats in a window, want at most %d", got, want)
	}
	if total == 0 {
		t.Error("got no repeat, want some")
	}
}

// Copies must run one after the other over the engine's link, the smallest first, in the same order at all daemons.
func TestCopyPlan(t *testing.T) {
	copies := []Copy{{"c", 3000}, {"a", 1000}, {"b", 1000}}
	perToken := func(tokens int) time.Duration { return time.Duration(tokens) * 100 * time.Microsecond }
	got := CopyPlan(copies, perToken)
	want := map[string]time.Duration{"a": 0, "b": 100*time.Millisecond + copyOverhead, "c": 200*time.Millisecond + 2*copyOverhead}
	for id := range want {
		if got[id] != want[id] {
			t.Errorf("got start %s of %s, want %s", got[id], id, want[id])
		}
	}
}

// Members with the same member list in different orders must choose the same users, each engine must have the requested
// number of users, and the engines must be spread over the members.
func TestUsersAgree(t *testing.T) {
	members := []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8", "d9"}
	other := []string{"d9", "d8", "d7", "d6", "d5", "d4", "d3", "d2", "d1"}
	used := map[string]int{}
	for engine := range 200 {
		id := string(rune('A' + engine))
		got, want := NewAssignment(members).Assigned(id, 3), NewAssignment(other).Assigned(id, 3)
		if len(got) != 3 {
			t.Fatalf("got %d users, want 3", len(got))
		}
		for i := range got {
			if got[i] != want[i] {
				t.Fatalf("got users %v, want %v", got, want)
			}
			used[got[i]]++
		}
	}
	for _, name := range members {
		if got, least := used[name], 30; got < least {
			t.Errorf("got %d engines for %s, want at least %d of 66 on average", got, name, least)
		}
	}
}
