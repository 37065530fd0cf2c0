package gateway

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

// Guards against requests that a stopping daemon takes too late to complete them, and against refusals of those that it can
// complete.
func TestRefuseDraining(t *testing.T) {
	data, err := os.ReadFile("testdata/drain.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name                      string
		Kind                      catalog.Kind
		Resumable                 bool
		Timeout, Deadline, Target time.Duration
		Taken, Refused            []time.Duration
	}
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	began := time.Now()
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			srv := NewServer()
			srv.DrainNotice = 7700 * time.Millisecond
			srv.HasNeighbour = func() bool { return true }
			srv.startDrain(began)
			rou := &catalog.Route{Kind: cse.Kind, Resumable: cse.Resumable, Timeout: cse.Timeout, Target: cse.Target}
			for _, elapsed := range slices.Concat(cse.Taken, cse.Refused) {
				now := began.Add(elapsed)
				rqs := &request{route: rou, Call: Call{Deadline: cse.Deadline}}
				rqs.deadline = now.Add(rqs.longest())
				ref := srv.refuseDraining(now, rqs)
				if got, want := ref != nil, slices.Contains(cse.Refused, elapsed); got != want {
					t.Errorf("%v after the signal: got refused %t, want %t", elapsed, got, want)
				}
				if ref != nil && ref.retryAfter <= 0 {
					t.Errorf("%v after the signal: got no Retry-After, want one", elapsed)
				}
			}
		})
	}
}

// Guards against a drain that ends earlier or later for its requests when the time of day is set meanwhile.
func TestDrainKeepsMonotonicTime(t *testing.T) {
	srv := NewServer()
	srv.startDrain(time.Now())
	if got := srv.drainingSince(); !strings.Contains(got.String(), " m=") {
		t.Errorf("got the stop signal at %s, want a time with a monotonic reading", got)
	}
}
