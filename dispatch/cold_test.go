package dispatch

import (
	"cmp"
	"os"
	"slices"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

type coldCase struct {
	Name, Guards string
	NoRate       bool
	Read, Warm   time.Duration
	Said         []struct {
		At, Left time.Duration
		Born     int64
	}
	Born   int64
	Lifted time.Duration
	At     time.Duration
	Left   time.Duration
}

// Each case of testdata/cold.yaml is what is known of an endpoint, and for how long it counts as cold.
func TestCold(t *testing.T) {
	data, err := os.ReadFile("testdata/cold.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []coldCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			cld := NewCold()
			for _, std := range cse.Said {
				cld.Learn(testNow.Add(std.At), "e", std.Born, std.Left)
			}
			svc := catalog.Service{ColdTime: 8 * time.Second, ColdPerSecond: 10}
			if cse.NoRate {
				svc.ColdPerSecond = 0
			}
			evs := catalog.Evacuations{}
			if cse.Lifted > 0 {
				evs.Domains = map[string]catalog.Evacuation{"a": {Lifted: true, At: testNow.Add(cse.Lifted)}}
			}
			edp := catalog.Endpoint{ID: "e", FailureDomain: "a", StartedAt: cse.Born, ReadAt: testNow.Add(cse.Read), WarmAt: testNow.Add(cse.Warm)}
			if got := cld.Left(testNow.Add(cse.At), &evs, &edp, &svc); got != cse.Left {
				t.Errorf("got cold for %s, want %s", got, cse.Left)
			}
		})
	}
}

type coldPermitCase struct {
	Name, Guards   string
	PerSecond      float64
	Overage, Slack float64
	Steady         bool
	Owners         []time.Duration
	Overlap        time.Duration
	Every, Until   time.Duration
	Idle           struct{ From, To time.Duration }
	Least          int
	// Returns is when the first owner hands out permits again, beside the last one for returnOverlap, as if it had always been
	// the owner.
	Returns time.Duration
}

// returnOverlap is the time until all daemons ask a daemon that has come back.
const returnOverlap = time.Second

// Each case of testdata/cold_permits.yaml asks for permits for a cold endpoint; the bound must hold in every second.
func TestColdPermits(t *testing.T) {
	data, err := os.ReadFile("testdata/cold_permits.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []coldPermitCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			cld := NewCold()
			cld.Overage, cld.Slack = cmp.Or(cse.Overage, cld.Overage), cmp.Or(cse.Slack, cld.Slack)
			granted := cse.take(cld)
			if got := len(granted); got < cse.Least {
				t.Errorf("got %d permits, want %d at least", got, cse.Least)
			}
			// The worst use of the permits: those of a span of a second and a lifetime all meet in one second.
			window := time.Second + ColdPermitLifetime
			if got, most := mostWithin(granted, window), int(cse.PerSecond*cld.Overage+cld.Slack); got > most {
				t.Errorf("got %d permits in %s, want %d at most", got, window, most)
			}
		})
	}
}

// isAsked reports whether daemons ask one of the owners, which begin at the given times, for permits at a time.
func (cse *coldPermitCase) isAsked(at time.Duration, starts []time.Duration, i int) bool {
	isLast := i+1 == len(starts)
	switch {
	case at < starts[i]:
		return false
	case cse.Returns > 0 && at >= cse.Returns:
		return i == 0 || isLast && at < cse.Returns+returnOverlap
	}
	return isLast || at < starts[i+1]+cse.Overlap
}

// take asks for permits and returns the times at which they were granted.
func (cse *coldPermitCase) take(cld *Cold) (granted []time.Duration) {
	starts := append([]time.Duration{0}, cse.Owners...)
	owners := make([]*Permits, len(starts))
	for i := range owners {
		owners[i] = NewPermits()
	}
	for at := time.Duration(0); at < cse.Until; at += cse.Every {
		if at >= cse.Idle.From && at < cse.Idle.To {
			continue
		}
		for i, per := range owners {
			if !cse.isAsked(at, starts, i) {
				continue
			}
			if ok, _ := per.TakeCold(testNow.Add(at), "e", cse.PerSecond, cld, cse.Steady && i == 0); ok {
				granted = append(granted, at)
			}
		}
	}
	slices.Sort(granted)
	return granted
}
