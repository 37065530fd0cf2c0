package routing

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/endpoint"
	"papayacroft/inventory"
)

var testNow = time.Unix(1_700_000_000, 0)

type engineSetup struct {
	Models                           []string
	Capacity, Used, Running, Waiting int
	Sent                             int
	SentTokens                       int `yaml:"sentTokens"`
	Reserve                          int
	Reported                         bool
	Interval                         time.Duration
	IntervalAge                      time.Duration `yaml:"intervalAge"`
}

type decideCase struct {
	Name, Guards string
	Engines      map[string]engineSetup
	Request      struct {
		Prompt, Reserve int
		Prefix          string
		Margin          float64
		Waited          time.Duration
		Urgent          bool
	}
	Full   bool
	Shares map[string][2]float64
}

func testIndex(pool string, kind inventory.PoolKind, names ...string) *inventory.Index {
	cfg := &inventory.Configuration{
		Owners:    map[string]inventory.Owner{"office": {Name: "office", ApprovedTeams: []string{"org/team"}}},
		Pools:     map[string]inventory.Pool{pool: {Name: pool, Kind: kind, Models: []string{"writer"}}},
		Endpoints: map[string]inventory.Endpoint{},
	}
	for _, name := range names {
		cfg.Endpoints[name] = inventory.Endpoint{Name: name, Pool: pool, Owner: "office"}
	}
	return inventory.NewIndex(cfg)
}

// apply gives an engine in the tracker the status that a case describes: this daemon's sends come after the engine's
// report, or before it if Reported is true.
func (set engineSetup) apply(trk *Tracker, name string) {
	reportAt := testNow.Add(-time.Second)
	sentAt := testNow.Add(-time.Second / 2)
	if set.Reported {
		sentAt = testNow.Add(-2 * time.Second)
	}
	for range set.Sent {
		trk.Begin(sentAt, name, set.SentTokens, max(1, set.Reserve))
	}
	trk.Report(testNow, name, endpoint.Load{
		At: reportAt, Models: set.Models, UsedTokens: set.Used, CapacityTokens: set.Capacity, Running: set.Running, Waiting: set.Waiting,
	})
	trk.entry(name).update(func(sta *EndpointStatus) {
		sta.TokenInterval, sta.IntervalAt = set.Interval, testNow.Add(-set.IntervalAge)
	})
}

// Guards against the failures that the cases of testdata/decide.yaml describe.
func TestDecide(t *testing.T) {
	data, err := os.ReadFile("testdata/decide.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []decideCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, cas := range cases {
		t.Run(cas.Name, func(t *testing.T) { cas.check(t) })
	}
}

func (cas *decideCase) check(t *testing.T) {
	trk := NewTracker()
	// The tracker itself then expects every generation to run on, so that only the numbers of the case matter.
	for range minGrowthSample {
		trk.Completed(1, 1<<30)
	}
	var names []string
	for name, set := range cas.Engines {
		names = append(names, name)
		set.apply(trk, name)
	}
	vew := View{Index: testIndex("llm", inventory.PoolKindEngine, names...), Statuses: shortSurvival{trk}}
	req := Request{
		Team: inventory.TeamRef{Organisation: "org", Team: "team"}, Model: "writer", PrefixDigest: cas.Request.Prefix,
		PromptTokens: cas.Request.Prompt, Reserve: cas.Request.Reserve, Margin: cas.Request.Margin, Waited: cas.Request.Waited, Urgent: cas.Request.Urgent,
	}
	rnd := rand.New(rand.NewPCG(1, 2))
	const decisions = 400
	counts := map[string]float64{}
	for range decisions {
		dec := Decide(testNow, rnd, vew, req)
		if got, want := dec.Full, cas.Full; got != want {
			t.Fatalf("full: got %t, want %t (%s; %v)", got, want, dec.Reason, dec.Rejections)
		}
		if dec.Endpoint != nil {
			counts[dec.Endpoint.Name]++
		}
	}
	for name, want := range cas.Shares {
		if got := counts[name] / decisions; got < want[0] || got > want[1] {
			t.Errorf("share of %s: got %.2f, want %v", name, got, want)
		}
	}
}

// shortSurvival is a tracker that expects the generations of other daemons to end before the first horizon, so that
// only the memory that they hold now is counted.
type shortSurvival struct{ *Tracker }

func (shortSurvival) Survival() Survival {
	var sur Survival
	sur.Running[0], sur.Held[0] = 1, 1
	return sur
}

// Guards against wrong codes: a team that no owner has approved must get notApproved, and an approved one must get
// noEndpoint when the only engine is leaving or has just failed. None of them may be reported as full.
func TestDecideRefusals(t *testing.T) {
	idx := testIndex("llm", inventory.PoolKindEngine, "a")
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, cas := range []struct {
		team, model string
		prepare     func(trk *Tracker)
		want        Code
	}{
		{"org/other", "writer", func(*Tracker) {}, CodeNotApproved},
		{"org/team", "unknown", func(*Tracker) {}, CodeUnknownModel},
		{"org/team", "writer", func(trk *Tracker) { trk.Leaving(testNow, "a") }, CodeNoEndpoint},
		{"org/team", "writer", func(trk *Tracker) { trk.Failed(testNow, "a") }, CodeNoEndpoint},
		{"org/team", "writer", func(trk *Tracker) { trk.Failed(testNow.Add(-failureBackoff), "a") }, ""},
	} {
		trk := NewTracker()
		cas.prepare(trk)
		dec := Decide(testNow, rnd, View{Index: idx, Statuses: trk}, Request{Team: inventory.ParseTeamRef(cas.team), Model: cas.model})
		if got, want := dec.Code, cas.want; got != want || dec.Full {
			t.Errorf("%s %s: got %q (full %t), want %q", cas.team, cas.model, got, dec.Full, want)
		}
	}
}

// Guards against generations that stay counted after their end, or are subtracted twice by a second call of End.
func TestFlightAccounting(t *testing.T) {
	trk := NewTracker()
	flt := trk.Begin(testNow, "a", 100, 50)
	for i := range progressStep {
		if due := flt.Token(testNow.Add(time.Duration(i) * time.Millisecond)); due != (i == progressStep-1) {
			t.Fatalf("token %d: due %t", i, due)
		}
	}
	flt.Progress(testNow.Add(progressStep*time.Millisecond), 200)
	sta := trk.Status("a")
	if sta.OwnStarting != 0 {
		t.Errorf("starting after tokens: got %d, want 0", sta.OwnStarting)
	}
	if got, want := sta.Own[0], 100+progressStep; got != want {
		t.Errorf("held: got %d, want %d", got, want)
	}
	if got, want := sta.TokenInterval, time.Millisecond; got != want {
		t.Errorf("interval: got %s, want %s", got, want)
	}
	flt.End(testNow)
	flt.End(testNow)
	flt.Progress(testNow, 10)
	if sta = trk.Status("a"); sta.Own != (Profile{}) || sta.OwnRunning != 0 || sta.InFlight != 0 {
		t.Errorf("after the end: got %+v, want nothing", sta)
	}
}

// Guards against a wrong count of generations without a token, when a generation ends before its first token or a token
// comes after the end. A count that is too high keeps an organisation that uses more than its share off the engine
// forever; one that is too low lets it exceed maxStarting.
func TestStartingCount(t *testing.T) {
	trk := NewTracker()
	lost, kept := trk.Begin(testNow, "a", 100, 50), trk.Begin(testNow, "a", 100, 50)
	lost.End(testNow)
	lost.Token(testNow)
	if got, want := trk.Status("a").OwnStarting, 1; got != want {
		t.Errorf("one lost: got %d, want %d", got, want)
	}
	kept.Token(testNow)
	kept.Token(testNow)
	kept.End(testNow)
	if got, want := trk.Status("a").OwnStarting, 0; got != want {
		t.Errorf("both ended: got %d, want %d", got, want)
	}
}

// Guards against daemons that send one prefix to different engines, which happens when the removal of another engine
// changes the home of the prefix, and against prefixes that are unevenly spread over the engines.
func TestPrefixHome(t *testing.T) {
	var engines []inventory.Endpoint
	for i := range 31 {
		engines = append(engines, inventory.Endpoint{Name: fmt.Sprint("engine-", i)})
	}
	const prefixes = 1000
	all := func(*inventory.Endpoint) bool { return true }
	others := func(edp *inventory.Endpoint) bool { return edp.Name != "engine-30" }
	counts := map[string]int{}
	for i := range prefixes {
		digest := fmt.Sprint("prefix-", i)
		home := engines[prefixHome(digest, engines, all)].Name
		counts[home]++
		if got, want := engines[prefixHome(digest, engines, others)].Name, home; got != want && want != "engine-30" {
			t.Fatalf("%s without engine-30: got %s, want %s", digest, got, want)
		}
	}
	for name, got := range counts {
		if mean := prefixes / len(engines); got < mean/3 || got > 3*mean {
			t.Errorf("%s: got %d of %d prefixes, want about %d", name, got, prefixes, mean)
		}
	}
}

func benchmarkView(candidates, known int) View {
	trk := NewTracker()
	var names []string
	for i := range known {
		name := fmt.Sprintf("engine-%d", i)
		if i < candidates {
			names = append(names, name)
		}
		trk.Report(testNow, name, endpoint.Load{At: testNow, UsedTokens: 5000 + i, CapacityTokens: 32000, Running: 10})
	}
	return View{Index: testIndex("llm", inventory.PoolKindEngine, names...), Statuses: trk}
}

func BenchmarkDecide(b *testing.B) {
	req := Request{Team: inventory.TeamRef{Organisation: "org", Team: "team"}, Model: "writer", PrefixDigest: "p", PromptTokens: 200, Reserve: 300, Level: 0.7}
	for _, known := range []int{31, 1000} {
		vew := benchmarkView(31, known)
		b.Run(fmt.Sprintf("candidates=31/known=%d", known), func(b *testing.B) {
			b.ReportAllocs()
			rnd := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				Decide(testNow, rnd, vew, req)
			}
		})
		b.Run(fmt.Sprintf("candidates=31/known=%d/concurrent", known), func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				rnd := rand.New(rand.NewPCG(1, rand.Uint64()))
				for pb.Next() {
					Decide(testNow, rnd, vew, req)
				}
			})
		})
	}
}
