package dispatch

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

// paceStream is a stream of this daemon whose events come at equal intervals.
type paceStream struct {
	From, Every time.Duration
	Events      int
	// Prompt is the number of prompt tokens that the engine reads before the first event, which comes First after From.
	Prompt int
	First  time.Duration
	// Beside is the number of prompt tokens that the engine has to read meanwhile.
	Beside int
}

type paceEngine struct {
	Streams []paceStream
	// Before is the number of peers' requests while the streams run, Flights that at the choice.
	Before, Flights, Tokens, Prefill int
	Paces                            map[string]Pace
	Age                              time.Duration
	Restarted                        bool
}

type paceCase struct {
	Name, Guards string
	Unstated     bool
	LeavingRate  float64 `yaml:"leavingRate"`
	Engines      map[string]paceEngine
	Request      struct {
		Tokens, Prefill, Output int
		Target                  time.Duration
		Source                  string
		Force                   bool
	}
	Want       string
	Learnt     *bool
	First, Run time.Duration
}

const pauseTarget = 180 * time.Millisecond

// forecastTolerance is the relative difference between an expected time and the case's that is not a fault.
const forecastTolerance = 0.01

// TestChooseBySpeed checks one decision after the samples of each case of testdata/speed.yaml.
func TestChooseBySpeed(t *testing.T) {
	data, err := os.ReadFile("testdata/speed.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []paceCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			// Ties are broken at random, so each case is decided several times.
			for seed := range uint64(20) {
				cse.check(t, cse.choose(rand.New(rand.NewPCG(seed, 1))))
			}
		})
	}
}

func (cse *paceCase) check(t *testing.T, cho Choice) {
	t.Helper()
	got := ""
	if cho.Endpoint != nil {
		got = cho.Endpoint.ID
	}
	if got != cse.Want {
		t.Fatalf("got endpoint %q (%s, second %s with %.2f, %+v), want %q", got, cho, cho.Second, cho.SecondScore, cho.Forecast, cse.Want)
	}
	if cse.Learnt != nil && cho.Forecast.Learnt != *cse.Learnt {
		t.Errorf("got learnt %t, want %t", cho.Forecast.Learnt, *cse.Learnt)
	}
	for _, one := range []struct {
		name      string
		got, want time.Duration
	}{{"first", cho.Forecast.First, cse.First}, {"run", cho.Forecast.Run, cse.Run}} {
		if one.want > 0 && (one.got-one.want).Abs() > time.Duration(forecastTolerance*float64(one.want)) {
			t.Errorf("got %s %s, want %s", one.name, one.got, one.want)
		}
	}
}

func (cse *paceCase) choose(rnd *rand.Rand) Choice {
	cat := catalog.NewCatalog(1, nil, []catalog.Service{
		{Name: "pool", Engine: &catalog.Engine{Slots: 24, CapacityTokens: 26845, TokensPerEvent: 4}},
	}, nil)
	vew := catalog.FleetView{Changes: 1, Endpoints: map[string]catalog.Endpoint{}, Leaving: map[string]catalog.LeavingMark{}}
	bal := NewBalancer()
	bal.FailureDomain = "a"
	if !cse.Unstated {
		bal.Speeds.SetStated("pool")
	}
	for id := range cse.Engines {
		vew.Endpoints[id] = catalog.Endpoint{ID: id, Service: "pool", FailureDomain: "a", State: catalog.StateReady, Slots: 24, StartedAt: 1}
	}
	for id, eng := range cse.Engines {
		edp := vew.Endpoints[id]
		eng.apply(bal, &edp)
		if eng.Restarted {
			edp.StartedAt = 2
			vew.Endpoints[id] = edp
		}
	}
	bal.Speeds.Forget(testNow, vew)
	const exposure = 1e6
	*bal.Speeds.Leaving.service("pool") = leavingRate{left: cse.LeavingRate * exposure, exposure: exposure}
	req := Request{
		Service: "pool", Work: Work{Tokens: cse.Request.Tokens, Prefill: cse.Request.Prefill, Output: cse.Request.Output},
		Target: cse.Request.Target, Source: cse.Request.Source, Force: cse.Request.Force,
	}
	return bal.Choose(testNow, rnd, cat, vew, &req)
}

// apply replays the case's streams and the reports of peers.
func (eng *paceEngine) apply(bal *Balancer, edp *catalog.Endpoint) {
	for _, str := range eng.Streams {
		from := testNow.Add(-str.From)
		bal.SetPeerUsage(from, "other", map[string]Usage{edp.ID: {Flights: eng.Before}})
		flt := bal.Begin(edp.ID, Work{Prefill: str.Beside})
		str.play(bal, edp, from)
		bal.End(flt)
	}
	bal.SetPeerUsage(testNow, "other", map[string]Usage{edp.ID: {Flights: eng.Flights, Tokens: eng.Tokens, Prefill: eng.Prefill}})
	for name, pce := range eng.Paces {
		pce.Born = edp.StartedAt
		bal.SetPeerUsage(testNow.Add(-eng.Age), name, map[string]Usage{edp.ID: {Pace: &pce}})
	}
}

// play replays a stream. Without a prompt, it continues from a copy and says nothing about the reading of prompts.
func (str *paceStream) play(bal *Balancer, edp *catalog.Endpoint, from time.Time) {
	wch := bal.Watch(from, edp, Work{Prefill: str.Prompt})
	for i := range str.Events {
		bal.Observe(from.Add(str.First+time.Duration(i)*str.Every), wch, 1, 4, pauseTarget)
	}
}

// The rate at which engines leave must be learnt from marks that appear, each counted once, or it follows the number of
// marks that are kept; one engine that leaves early must not set it.
func TestLeavingRate(t *testing.T) {
	lvr := NewLeavingRates()
	edps := map[string]catalog.Endpoint{}
	for i := range 48 {
		id := string(rune('A' + i))
		edps[id] = catalog.Endpoint{ID: id, Service: "pool", State: catalog.StateReady, StartedAt: 1}
	}
	vew := catalog.FleetView{Changes: 1, Endpoints: edps, Leaving: map[string]catalog.LeavingMark{}}
	now := testNow
	lvr.Update(now, vew)
	if got, want := lvr.Rate("pool"), minLeavingRate; got != want {
		t.Errorf("got a rate of %.3f/s before any engine leaves, want %.3f/s", got, want)
	}
	first := NewLeavingRates()
	first.Update(now, vew)
	first.Update(now, catalog.FleetView{Changes: 2, Endpoints: edps, Leaving: map[string]catalog.LeavingMark{"A": {At: now, StartedAt: 1}}})
	if got, want := first.Rate("pool"), 2*minLeavingRate; got > want {
		t.Errorf("got a rate of %.3f/s after one engine left, want %.3f/s at most", got, want)
	}
	// Every 3.3 s a sixth of the engines leaves and starts again under the same ids; marks stay for 2 s. The view is read ten
	// times a second.
	for tick := range 600 {
		now = now.Add(100 * time.Millisecond)
		edps, marks := map[string]catalog.Endpoint{}, map[string]catalog.LeavingMark{}
		for id, edp := range vew.Endpoints {
			edps[id] = edp
		}
		for id, mrk := range vew.Leaving {
			if now.Sub(mrk.At) < 2*time.Second {
				marks[id] = mrk
				continue
			}
			edp := edps[id]
			edp.StartedAt++
			edps[id] = edp
		}
		if tick%33 == 0 {
			for i := range 8 {
				id := string(rune('A' + (tick/33*8+i)%48))
				marks[id] = catalog.LeavingMark{At: now, StartedAt: edps[id].StartedAt}
			}
		}
		vew = catalog.FleetView{Changes: vew.Changes + 1, Endpoints: edps, Leaving: marks}
		lvr.Update(now, vew)
	}
	// A sixth in 3.3 s is 0.0505 a second and engine; engines that leave do not count as ready for 2 of 3.3 s.
	if got, least, most := lvr.Rate("pool"), 0.045, 0.06; got < least || got > most {
		t.Errorf("got a rate of %.3f/s, want between %.3f/s and %.3f/s", got, least, most)
	}
	for range 20 {
		now = now.Add(10 * time.Second)
		lvr.Update(now, vew)
	}
	if got, want := lvr.Rate("pool"), 1.1*minLeavingRate; got > want {
		t.Errorf("got a rate of %.3f/s long after engines left, want %.3f/s at most", got, want)
	}
}

// What a peer reports must not break estimates: figures that no stream can give are ignored, and a report without work
// removes the peer's work but keeps its figures.
func TestPaceOfPeers(t *testing.T) {
	edp := catalog.Endpoint{ID: "e", Service: "pool", Slots: 24, StartedAt: 5}
	vew := catalog.FleetView{Endpoints: map[string]catalog.Endpoint{"e": edp}}
	for _, cse := range []struct {
		message string
		learnt  bool
	}{
		{`{"flights":2}`, false},
		{`{"flights":2,"pace":{"ms":20,"weight":100,"born":5}}`, true},
		{`{"flights":0,"pace":{"ms":20,"weight":100,"born":5}}`, true},
		{`{"flights":2,"pace":{"ms":20,"weight":100,"born":4}}`, false},
		{`{"flights":2,"pace":{"ms":20,"weight":100,"born":5,"ageMs":8000}}`, false},
		{`{"flights":2,"pace":{"ms":20,"weight":0,"born":5}}`, false},
		{`{"flights":2,"pace":{"ms":-20,"weight":100,"born":5}}`, false},
		{`{"flights":2,"pace":{"weight":100,"born":5}}`, false},
		{`{"flights":2,"pace":{"ms":20,"weight":100,"born":5,"ageMs":-9000000000000000000}}`, true},
		{`{"flights":2,"pace":{"ms":20,"weight":100,"born":5,"ageMs":9000000000000000000}}`, false},
		{`{"flights":2,"pace":{"ms":1e308,"weight":1e308,"born":5}}`, true},
		{`{"flights":2,"pace":{"ms":1e-322,"weight":100,"born":5}}`, true},
	} {
		bal := NewBalancer()
		bal.Speeds.SetStated("pool")
		var usg Usage
		if err := json.Unmarshal([]byte(cse.message), &usg); err != nil {
			t.Fatal(err)
		}
		bal.SetPeerUsage(testNow, "two", map[string]Usage{"e": usg})
		bal.Speeds.Forget(testNow, vew)
		spd := bal.Speeds.At(testNow, &edp)
		if spd.Learnt != cse.learnt || !(spd.PerToken > 0 && spd.PerToken <= maxSample) || !(spd.PromptRate > 0 && spd.PromptRate < 1e6) || !(spd.Running >= 0 && spd.Running <= 24) {
			t.Errorf("%s: got %+v, want learnt %t and possible figures", cse.message, spd, cse.learnt)
		}
		if got, want := bal.endpoint("e").flights(testNow), usg.Flights; got != want {
			t.Errorf("%s: got %d requests of the peer, want %d", cse.message, got, want)
		}
	}
}

// Intervals that say nothing about an engine's speed must not be samples: a caller that does not read, a daemon that copies
// memory or an engine without stated slowness would otherwise make an engine look slow.
func TestIntervalsThatAreNoSamples(t *testing.T) {
	edp := &catalog.Endpoint{ID: "e", Service: "pool", Slots: 24, StartedAt: 1}
	at := func(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }
	for _, cse := range []struct {
		name   string
		stated bool
		play   func(bal *Balancer, wch *Watch)
		// want is the weight of the estimate in tokens.
		want float64
	}{
		{"two intervals", true, func(bal *Balancer, wch *Watch) {
			bal.Observe(at(0), wch, 1, 4, pauseTarget)
			bal.Observe(at(40), wch, 1, 4, pauseTarget)
			bal.Observe(at(80), wch, 1, 4, pauseTarget)
		}, 8},
		{"not stated", false, func(bal *Balancer, wch *Watch) {
			bal.Observe(at(0), wch, 1, 4, pauseTarget)
			bal.Observe(at(40), wch, 1, 4, pauseTarget)
		}, 0},
		{"first event", true, func(bal *Balancer, wch *Watch) {
			bal.Observe(at(900), wch, 1, 4, pauseTarget)
		}, 0},
		{"after a skip", true, func(bal *Balancer, wch *Watch) {
			bal.Observe(at(0), wch, 1, 4, pauseTarget)
			wch.Skip()
			bal.Observe(at(5000), wch, 1, 4, pauseTarget)
			bal.Observe(at(5040), wch, 1, 4, pauseTarget)
		}, 4},
		{"earlier start", true, func(bal *Balancer, wch *Watch) {
			bal.Speeds.engine("e", "pool", 2)
			bal.Observe(at(0), wch, 1, 4, pauseTarget)
			bal.Observe(at(40), wch, 1, 4, pauseTarget)
		}, 0},
	} {
		bal := NewBalancer()
		if cse.stated {
			bal.Speeds.SetStated("pool")
		}
		cse.play(bal, bal.Watch(testNow, edp, Work{}))
		got := 0.0
		if eng := bal.Speeds.engines["e"]; eng != nil {
			got = eng.perToken.weight
		}
		if got < cse.want-0.1 || got > cse.want {
			t.Errorf("%s: got a weight of %.2f tokens, want %.0f", cse.name, got, cse.want)
		}
	}
}

// A start time that a peer misreported must not keep an engine without estimates for good.
func TestUnknownStartIsForgotten(t *testing.T) {
	edp := catalog.Endpoint{ID: "e", Service: "pool", Slots: 24, StartedAt: 1}
	vew := catalog.FleetView{Endpoints: map[string]catalog.Endpoint{"e": edp}}
	bal := NewBalancer()
	bal.Speeds.SetStated("pool")
	bal.SetPeerUsage(testNow, "two", map[string]Usage{"e": {Pace: &Pace{Ms: 20, Weight: 100, Born: 1 << 60}}})
	later := testNow.Add(paceLifetime)
	bal.Speeds.Forget(later, vew)
	(&paceStream{Events: 20, Every: 40 * time.Millisecond}).play(bal, &edp, later)
	if got := bal.Speeds.At(later.Add(time.Second), &edp); !got.Learnt {
		t.Errorf("got %+v, want an estimate of the engine's own", got)
	}
}
