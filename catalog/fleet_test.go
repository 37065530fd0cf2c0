package catalog

import (
	"os"
	"slices"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

var testNow = time.Unix(1_700_000_000, 0)

type fleetStep struct {
	At          time.Duration
	Put, Remove string
	// Mark is reported by a peer to leave; Stated said so in an answer.
	Mark, Stated string
	Replace      []string
	State        State
	Born         int64
	Sequence     int64
	Outage       bool
}

type fleetCase struct {
	Name, Guards string
	Steps        []fleetStep
	Want         []string
}

// Each case of testdata/fleet.yaml lists changes to the entries and the endpoints that may receive requests afterwards.
func TestFleet(t *testing.T) {
	data, err := os.ReadFile("testdata/fleet.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []fleetCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			flt := NewFleet()
			for _, stp := range cse.Steps {
				stp.apply(flt)
			}
			got := []string{}
			for id, edp := range flt.Endpoints {
				if _, leaving := flt.Leaving[id]; !leaving && edp.State == StateReady {
					got = append(got, id)
				}
			}
			slices.Sort(got)
			if !slices.Equal(got, cse.Want) {
				t.Errorf("got endpoints %v, want %v", got, cse.Want)
			}
		})
	}
}

func (stp *fleetStep) apply(flt *Fleet) {
	now := testNow.Add(stp.At)
	flt.Expire(now)
	state := StateReady
	if stp.State != "" {
		state = stp.State
	}
	switch {
	case stp.Put != "":
		flt.Put(now, Endpoint{ID: stp.Put, State: state, StartedAt: stp.Born, Sequence: stp.Sequence})
	case stp.Remove != "":
		flt.Remove(now, stp.Remove)
	case stp.Mark != "":
		flt.MarkLeaving(now, stp.Mark, stp.Born, false)
	case stp.Stated != "":
		flt.MarkLeaving(now, stp.Stated, stp.Born, true)
	case stp.Outage:
		flt.RecordOutage(now)
	case stp.Replace != nil:
		var all []Endpoint
		for _, id := range stp.Replace {
			all = append(all, Endpoint{ID: id, State: StateReady, StartedAt: stp.Born, Sequence: stp.Sequence})
		}
		flt.Replace(now, all)
	}
}

// A request matches the longest path prefix of its host; the case and the port of the host are ignored.
func TestMatch(t *testing.T) {
	cat := NewCatalog(1, []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"}, {Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}, nil, nil)
	for _, cse := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"A.EXAMPLE:80", "/x/y/1", "long"}, {"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""}, {"c.example", "/x/1", ""},
	} {
		got := ""
		if rou := cat.Match(cse.host, cse.path); rou != nil {
			got = rou.Name
		}
		if got != cse.want {
			t.Errorf("got route %q of %s%s, want %q", got, cse.host, cse.path, cse.want)
		}
	}
}

// Pick chooses the services of a route in proportion to their weights.
func TestPick(t *testing.T) {
	rou := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, cse := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}} {
		if got := rou.Pick(cse.draw); got != cse.want {
			t.Errorf("got service %q for %.3f, want %q", got, cse.draw, cse.want)
		}
	}
}

// The daemon must not crash when a new configuration removes a service whose generations are being moved: the engine is
// nil then.
func TestEngineOfMissingService(t *testing.T) {
	eng := NewCatalog(1, nil, nil, nil).Services["gone"].Engine
	if got, want := eng.CopyTime(100, true), time.Duration(0); got != want {
		t.Errorf("got copy time %s, want %s", got, want)
	}
	if got, want := eng.EventTokens(3), 3; got != want {
		t.Errorf("got %d tokens, want %d", got, want)
	}
}
