package dispatch

import (
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"
)

// permitCase is a case of testdata/permits.yaml.
type permitCase struct {
	Name, Guards string
	Limits       []struct {
		From      time.Duration
		PerSecond float64 `yaml:"perSecond"`
	}
	Every, Until time.Duration
	Force        bool
	Window       time.Duration
	Most, Least  int
}

// TestPermits asks for permits at the times of testdata/permits.yaml.
func TestPermits(t *testing.T) {
	data, err := os.ReadFile("testdata/permits.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []permitCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			granted := cse.take(t)
			if got := len(granted); got < cse.Least {
				t.Errorf("got %d permits, want %d at least", got, cse.Least)
			}
			if got := mostWithin(granted, cse.Window); got > cse.Most {
				t.Errorf("got %d permits in %s, want %d at most", got, cse.Window, cse.Most)
			}
		})
	}
}

// take asks for permits and returns the times at which they were granted.
func (cse *permitCase) take(t *testing.T) (granted []time.Duration) {
	per := NewPermits()
	for at := time.Duration(0); at < cse.Until; at += cse.Every {
		perSecond := 0.0
		for _, lim := range cse.Limits {
			if at >= lim.From {
				perSecond = lim.PerSecond
			}
		}
		ok, wait := per.Take(testNow.Add(at), "e", perSecond, cse.Force)
		if ok {
			granted = append(granted, at)
		} else if wait <= 0 {
			t.Fatalf("got a denial with wait %s, want a positive one", wait)
		}
	}
	return granted
}

// mostWithin returns the largest number of times in any span of the window's length.
func mostWithin(times []time.Duration, window time.Duration) int {
	most, from := 0, 0
	for to, at := range times {
		for at-times[from] >= window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// What an endpoint said last counts, in whatever order daemons hear of it; a limit that is not named again expires.
func TestThrottle(t *testing.T) {
	thr := NewThrottle()
	second := func(count int) time.Time { return testNow.Add(time.Duration(count) * time.Second) }
	thr.Learn("e", RateLimit{PerSecond: 5, Named: true, At: second(2)})
	thr.Learn("e", RateLimit{At: second(1)})
	if got := thr.Limit(second(3), "e"); !got.Named || got.PerSecond != 5 {
		t.Errorf("got %+v after older news, want a limit of 5", got)
	}
	thr.Deny(second(3), "e", time.Minute)
	if got, want := thr.Denied(second(3), "e"), true; got != want {
		t.Errorf("got denied %t after a denial, want %t", got, want)
	}
	if got, want := thr.Denied(second(3).Add(maxDenial), "e"), false; got != want {
		t.Errorf("got denied %t after the longest denial, want %t", got, want)
	}
	thr.Deny(second(3), "e", time.Minute)
	thr.Learn("e", RateLimit{At: second(3)})
	if got, want := thr.Denied(second(3), "e"), false; got != want {
		t.Errorf("got denied %t after the limit has ended, want %t", got, want)
	}
	thr.Learn("f", RateLimit{PerSecond: 1, Named: true, At: second(0)})
	if got, want := thr.Limited(second(29)), 1; got != want {
		t.Errorf("got %d endpoints limited after 29 s, want %d", got, want)
	}
	thr.Forget(second(30))
	if got, want := thr.Limited(second(30)), 0; got != want {
		t.Errorf("got %d endpoints limited after 30 s, want %d", got, want)
	}
}
