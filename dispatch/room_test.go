package dispatch

import (
	"math"
	"testing"
	"time"

	"papayacroft/catalog"
)

// Guards against prompts of several peers that count as computed at the same time, so that an engine looks idle: a second after two
// reports of 7,000 tokens each, 7,000 are still to be computed.
func TestPromptsOfPeersAreComputedInTurn(t *testing.T) {
	for _, cas := range []struct {
		serial bool
		ages   map[string]time.Duration
		want   float64
	}{
		{true, map[string]time.Duration{"b": time.Second, "c": time.Second}, 7000},
		{false, map[string]time.Duration{"b": time.Second, "c": time.Second}, 0},
		// The engine had nothing to compute between the two reports.
		{true, map[string]time.Duration{"b": 5 * time.Second, "c": 500 * time.Millisecond}, 3500},
		{true, map[string]time.Duration{"b": 9 * time.Second, "c": 9 * time.Second}, 0},
		{true, nil, 0},
	} {
		bal := NewBalancer()
		bal.Serial = cas.serial
		for name, age := range cas.ages {
			bal.SetPeerUsage(testNow.Add(-age), name, map[string]Usage{"e": {Flights: 1, Tokens: 7000, Prefill: 7000}})
		}
		if got := bal.endpoint("e").pending(testNow, prefillTokensPerSecond); got != cas.want {
			t.Errorf("serial %t, ages %v: got %.0f tokens, want %.0f", cas.serial, cas.ages, got, cas.want)
		}
	}
}

// Guards against work of peers that counts after a second, at daemons that don't use the engine, with the wrong priority, or whole
// although the peer has other engines.
func TestWaiting(t *testing.T) {
	wtg := NewWaiting()
	wtg.Set(testNow, "b", WaitingTokens{"pool": {0: 1000, 2: 300}})
	wtg.Set(testNow, "c", WaitingTokens{"pool": {1: 500, LatePriority: 9000}, "other": {0: 70}})
	later := testNow.Add(waitingLifetime)
	for _, cas := range []struct {
		at         time.Time
		priority   int
		users      []string
		sum, least int
	}{
		{testNow, 0, nil, 0, 0}, {testNow, 1, nil, 1000, 1000}, {testNow, 2, nil, 1500, 500}, {testNow, 3, nil, 1800, 500},
		{testNow, 3, []string{"c"}, 500, 500}, {testNow, 3, []string{}, 0, 0}, {testNow, LatePriority, nil, 1800, 500}, {later, 3, nil, 0, 0},
	} {
		if sum, least := wtg.Above(cas.at, "pool", cas.priority, cas.users); sum.Tokens != cas.sum || least != cas.least || sum.Flights > 2 || (sum.Flights == 0) != (cas.sum == 0) {
			t.Errorf("above priority %d, users %v: got %+v, %d; want %d, %d", cas.priority, cas.users, sum, least, cas.sum, cas.least)
		}
	}
	if got, want := wtg.Backlog(testNow, "pool", 1, map[string]float64{"b": 0.25, "c": 0.5}), 500.0; got != want {
		t.Errorf("got a backlog of %.0f, want %.0f", got, want)
	}
	if got, want := wtg.Backlog(testNow, "pool", 1, nil), 1500.0; got != want {
		t.Errorf("got a backlog of %.0f with all engines in common, want %.0f", got, want)
	}
	if wtg.Set(testNow, "b", WaitingTokens{"pool": {0: 1000, 2: 400}}) || !wtg.Set(testNow, "b", WaitingTokens{"pool": {0: 900, 2: 400}}) {
		t.Error("got less waiting work for more, or not for less")
	}
	if !wtg.Set(testNow, "b", WaitingTokens{}) || len(wtg.Services(testNow, nil)) != 2 {
		t.Errorf("got services %v after one peer has nothing left, want two", wtg.Services(testNow, nil))
	}
	if wtg.Forget(later); len(wtg.peers) != 0 {
		t.Errorf("got %d peers after a second, want none", len(wtg.peers))
	}
}

// Guards against a peer whose report refuses all requests here, or makes a sum negative.
func TestWaitingIsBounded(t *testing.T) {
	cat := catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{CapacityTokens: 1000}}}, nil)
	for _, cas := range []struct {
		service         string
		tokens, bounded int
	}{
		{"pool", 500, 500}, {"pool", 256 * 950, 256 * 950}, {"pool", math.MaxInt, 256 * 950}, {"pool", -1, 0}, {"pool", 0, 0},
		{"other", math.MaxInt, math.MaxInt32}, {"other", -1, 0},
	} {
		got := WaitingTokens{cas.service: {2: cas.tokens}}.Bounded(cat, 256)
		if got[cas.service][2] != cas.bounded || (len(got) == 0) != (cas.bounded == 0) {
			t.Errorf("%d tokens of %s: got %v, want %d", cas.tokens, cas.service, got, cas.bounded)
		}
	}
}

// Daemons must agree who goes first at an engine, exactly one of them must, and it must not be the same one everywhere.
func TestTurnsAgree(t *testing.T) {
	names := []string{"a", "b", "c", "d", "f"}
	first := map[string]int{}
	for _, engine := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9", "e10", "e11", "e12"} {
		count := 0
		for _, own := range names {
			wtg := NewWaiting()
			for _, name := range names {
				if name != own {
					wtg.Set(testNow, name, WaitingTokens{"pool": {0: 100}})
				}
			}
			if wtg.Before(testNow, "pool", 0, nil, engine, own) == 0 {
				first[own]++
				count++
			}
		}
		if count != 1 {
			t.Errorf("%s: got %d daemons that go first, want 1", engine, count)
		}
	}
	if len(first) < 3 {
		t.Errorf("got %v as those that go first, want at least 3 different ones", first)
	}
}

// Guards against a daemon that never goes first at an engine beside another one that always has waiting requests, and against an order
// that changes within a slice of time.
func TestTurnsRotate(t *testing.T) {
	wtg := NewWaiting()
	first := 0
	for slice := range 20 {
		at := testNow.Add(time.Duration(slice) * turnSlice)
		wtg.Set(at, "b", WaitingTokens{"pool": {0: 100}})
		before := wtg.Before(at, "pool", 0, nil, "e1", "a")
		if later := wtg.Before(at.Add(turnSlice-1), "pool", 0, nil, "e1", "a"); later != before {
			t.Errorf("slice %d: got %d daemons before this one at its end, want %d as at its start", slice, later, before)
		}
		first += 1 - before
	}
	if first < 4 || first > 16 {
		t.Errorf("got the first turn in %d of 20 slices, want 4 to 16", first)
	}
}

// Guards against a rate of work that counts engines that are gone, leave or are denied, or that other daemons use.
func TestTakeUp(t *testing.T) {
	cat := catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: 24, CapacityTokens: 20000}}}, nil)
	endpoints := map[string]catalog.Endpoint{}
	bal := NewBalancer()
	for _, id := range []string{"e1", "e2", "e3"} {
		endpoints[id] = catalog.Endpoint{ID: id, Service: "pool", State: catalog.StateReady, Slots: 24}
		bal.Begin(id, Work{Tokens: 19000})
	}
	rate := func(preferred map[string]bool, leaving map[string]catalog.LeavingMark) float64 {
		vew := catalog.FleetView{Endpoints: endpoints, Leaving: leaving}
		return bal.TakeUp(testNow, cat, vew, &Request{Service: "pool", Preferred: preferred}, 19*time.Second)
	}
	if got, want := rate(nil, nil), 3000.0; got != want {
		t.Errorf("got %.0f tokens a second, want %.0f", got, want)
	}
	if got, want := rate(map[string]bool{"e1": true}, nil), 1000.0; got != want {
		t.Errorf("one engine of this daemon: got %.0f, want %.0f", got, want)
	}
	if got, want := rate(nil, map[string]catalog.LeavingMark{"e1": {}}), 2000.0; got != want {
		t.Errorf("one leaves: got %.0f, want %.0f", got, want)
	}
	bal.Throttle.Deny(testNow, "e2", 100*time.Millisecond)
	delete(endpoints, "e3")
	if got, want := rate(nil, nil), 1000.0; got != want {
		t.Errorf("one denied, one gone: got %.0f, want %.0f", got, want)
	}
}

// Guards against callers that wait for engines that take no work: with one cold engine of 2 requests a second that counted at the full
// rate, 72 of 120 streams still waited after 20 s and none had been refused.
func TestTakeUpOfBarredEngines(t *testing.T) {
	cat := catalog.NewCatalog(1, nil, []catalog.Service{
		{Name: "pool", Engine: &catalog.Engine{Slots: 24, CapacityTokens: 20000}, ColdTime: time.Minute, ColdPerSecond: 2},
	}, nil)
	for _, cas := range []struct {
		name           string
		cold, paused   bool
		evacuated      bool
		denied         time.Duration
		limit          float64
		wantRate       float64
		wantPermitWait time.Duration
	}{
		{name: "warm", wantRate: 7000, wantPermitWait: longestPermitWait},
		{name: "cold", cold: true, wantRate: 2000, wantPermitWait: longestPermitWait},
		{name: "cold and denied", cold: true, denied: 500 * time.Millisecond, wantPermitWait: 5500 * time.Millisecond},
		{name: "cold with a lower limit", cold: true, denied: 500 * time.Millisecond, limit: 1, wantPermitWait: 10500 * time.Millisecond},
		{name: "denied with a limit", denied: 500 * time.Millisecond, limit: 4, wantPermitWait: 3 * time.Second},
		{name: "paused", paused: true, wantPermitWait: longestPermitWait},
		{name: "paused and denied", paused: true, denied: 500 * time.Millisecond, limit: 4, wantPermitWait: longestPermitWait},
		{name: "evacuated", evacuated: true, wantPermitWait: longestPermitWait},
	} {
		bal := NewBalancer()
		edp := catalog.Endpoint{ID: "e", Service: "pool", State: catalog.StateReady, Slots: 24, FailureDomain: "a"}
		vew := catalog.FleetView{Endpoints: map[string]catalog.Endpoint{}}
		if cas.cold {
			edp.WarmAt = testNow.Add(time.Minute)
		}
		if cas.paused {
			bal.Paused(testNow, &edp, time.Second)
		}
		if cas.evacuated {
			vew.Evacuations.Domains = map[string]catalog.Evacuation{"a": {}}
		}
		if cas.limit > 0 {
			bal.Throttle.Learn("e", RateLimit{PerSecond: cas.limit, Named: true, At: testNow})
		}
		if cas.denied > 0 {
			bal.Throttle.Deny(testNow, "e", cas.denied)
		}
		vew.Endpoints["e"] = edp
		req := &Request{Service: "pool", Work: Work{Tokens: 1000}}
		if got := bal.TakeUp(testNow, cat, vew, req, time.Second); got != cas.wantRate {
			t.Errorf("%s: got %.0f tokens a second, want %.0f", cas.name, got, cas.wantRate)
		}
		if got := bal.PermitWait(testNow, cat, vew, req, 10); got != cas.wantPermitWait {
			t.Errorf("%s: got a wait of %v for a permit, want %v", cas.name, got, cas.wantPermitWait)
		}
	}
}
