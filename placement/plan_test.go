package placement

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"go.yaml.in/yaml/v3"

	"papayacroft/endpoint"
)

type planModel struct {
	Version    string  `yaml:"version"`
	MinEngines int     `yaml:"minEngines"`
	Demand     float64 `yaml:"demand"`
}

type planCase struct {
	Name    string               `yaml:"name"`
	Guards  string               `yaml:"guards"`
	Engines map[string]string    `yaml:"engines"`
	Loaded  map[string]string    `yaml:"loaded"`
	Models  map[string]planModel `yaml:"models"`
	Steps   []struct {
		At      int                `yaml:"at"`
		Lose    []string           `yaml:"lose"`
		Version map[string]string  `yaml:"version"`
		Demand  map[string]float64 `yaml:"demand"`
	} `yaml:"steps"`
	Seconds           int     `yaml:"seconds"`
	LoadSeconds       int     `yaml:"loadSeconds"`
	Noise             float64 `yaml:"noise"`
	LoseOrders        int     `yaml:"loseOrders"`
	RepeatOrdersAfter int     `yaml:"repeatOrdersAfter"`
	StorePerMinute    int     `yaml:"storePerMinute"`
	Want              struct {
		Models         map[string]int    `yaml:"models"`
		Versions       map[string]string `yaml:"versions"`
		Domains        map[string]int    `yaml:"domains"`
		MaxLoading     int               `yaml:"maxLoading"`
		MaxOrders      *int              `yaml:"maxOrders"`
		MinOrders      int               `yaml:"minOrders"`
		MinFillSeconds int               `yaml:"minFillSeconds"`
	} `yaml:"want"`
}

// fleet simulates engines that need some time to reach an ordered state; an order may be lost or arrive a second time.
type fleet struct {
	cas     planCase
	second  int
	engines map[string]*Engine
	// due holds the events to come by their second.
	due       map[int][]func()
	orders    int
	lastOrder int
	permits   int
	loading   map[string]map[string]bool
	demand    *Demand
	// last and lastAt hold each engine's last order and the second at which it was sent.
	last   map[string]endpoint.Order
	lastAt map[string]int
	// tooSoon lists the moves of an engine within MoveInterval of its last one.
	tooSoon []string
}

func newFleet(cas planCase) *fleet {
	flt := &fleet{cas: cas, engines: map[string]*Engine{}, due: map[int][]func(){}, loading: map[string]map[string]bool{},
		demand: NewDemand(), last: map[string]endpoint.Order{}, lastAt: map[string]int{}}
	for name, domain := range cas.Engines {
		eng := &Engine{Name: name, FailureDomain: domain, Reported: true, Versions: map[string]string{}}
		if model, ok := cas.Loaded[name]; ok {
			eng.Models = []string{model}
			eng.Versions[model] = cas.Models[model].Version
		}
		flt.engines[name] = eng
	}
	return flt
}

func (flt *fleet) now() time.Time { return time.Unix(int64(100000+flt.second), 0) }

// MayOrder returns a token; the lease is always held in this test.
func (flt *fleet) MayOrder(string, bool) (int64, bool) { return 1, true }

// Acquire grants permits at the rate of the case's weight store.
func (flt *fleet) Acquire(context.Context, string, int64) error {
	if rate := flt.cas.StorePerMinute; rate > 0 && flt.permits > flt.second*rate/60 {
		return trace.LimitExceeded("too many loads")
	}
	flt.permits++
	return nil
}

// Order starts a load, after which the engine reports the ordered model and version instead of the old ones.
func (flt *fleet) Order(_ context.Context, tgt endpoint.Target, ord endpoint.Order) error {
	flt.orders++
	flt.lastOrder = flt.second
	if old, ok := flt.last[tgt.Name]; ok && old.Model != ord.Model && flt.second-flt.lastAt[tgt.Name] < int(MoveInterval.Seconds()) {
		flt.tooSoon = append(flt.tooSoon, fmt.Sprintf("%s at second %d", tgt.Name, flt.second))
	}
	flt.last[tgt.Name], flt.lastAt[tgt.Name] = ord, flt.second
	if flt.orders <= flt.cas.LoseOrders {
		return trace.ConnectionProblem(nil, "order lost")
	}
	eng := flt.engines[tgt.Name]
	arrive := func() {
		if eng.Versions[ord.Model] == ord.Version && slices.Contains(eng.Models, ord.Model) {
			return
		}
		if flt.loading[ord.Model] == nil {
			flt.loading[ord.Model] = map[string]bool{}
		}
		flt.loading[ord.Model][eng.Name] = true
		flt.due[flt.second+max(flt.cas.LoadSeconds, 1)] = append(flt.due[flt.second+max(flt.cas.LoadSeconds, 1)], func() {
			eng.Models, eng.Versions = []string{ord.Model}, map[string]string{ord.Model: ord.Version}
			delete(flt.loading[ord.Model], eng.Name)
		})
	}
	arrive()
	if after := flt.cas.RepeatOrdersAfter; after > 0 && flt.second < flt.cas.Seconds/2 {
		flt.due[flt.second+after] = append(flt.due[flt.second+after], arrive)
	}
	return nil
}

func (flt *fleet) view(rnd *rand.Rand) View {
	var vew View
	for _, name := range sorted(flt.engines) {
		vew.Engines = append(vew.Engines, *flt.engines[name])
	}
	raw := map[string]float64{}
	for _, name := range sorted(flt.cas.Models) {
		raw[name] = flt.cas.Models[name].Demand * (1 + flt.cas.Noise*(2*rnd.Float64()-1))
	}
	flt.demand.Observe(flt.now(), raw)
	for _, name := range sorted(flt.cas.Models) {
		mdl := flt.cas.Models[name]
		vew.Models = append(vew.Models, Model{Name: name, Version: mdl.Version, MinEngines: mdl.MinEngines, Demand: flt.demand.Value(name)})
	}
	return vew
}

func (flt *fleet) advance() {
	for _, stp := range flt.cas.Steps {
		if stp.At != flt.second {
			continue
		}
		for _, name := range stp.Lose {
			flt.engines[name].Lost = true
		}
		for name, demand := range stp.Demand {
			mdl := flt.cas.Models[name]
			mdl.Demand = demand
			flt.cas.Models[name] = mdl
		}
		for name, version := range stp.Version {
			mdl := flt.cas.Models[name]
			mdl.Version = version
			flt.cas.Models[name] = mdl
		}
	}
	for _, act := range flt.due[flt.second] {
		act()
	}
}

func sorted[T any](items map[string]T) []string {
	var names []string
	for name := range items {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestPlan runs the cases of testdata/plan.yaml. The key guards of a case names the failure that it guards against.
func TestPlan(t *testing.T) {
	data, err := os.ReadFile("testdata/plan.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []planCase
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, cas := range cases {
		t.Run(cas.Name, func(t *testing.T) { runPlanCase(t, cas) })
	}
}

func runPlanCase(t *testing.T, cas planCase) {
	flt := newFleet(cas)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	exe := &Executor{Pool: "llm", Fence: flt, Orders: flt, Store: flt, Logger: quiet}
	rnd := rand.New(rand.NewPCG(1, 2))
	for ; flt.second < cas.Seconds; flt.second++ {
		flt.advance()
		for _, mov := range Plan(flt.now(), flt.view(rnd)) {
			sent, err := exe.Execute(t.Context(), flt.now(), mov, "", 0)
			if sent {
				flt.engines[mov.Engine].Ordered, flt.engines[mov.Engine].OrderedAt = mov.To, flt.now()
			}
			if !sent || err != nil {
				break
			}
		}
		for model, loading := range flt.loading {
			if cas.Want.MaxLoading > 0 && len(loading) > cas.Want.MaxLoading {
				t.Fatalf("second %d: got %d engines that load %s; want at most %d", flt.second, len(loading), model, cas.Want.MaxLoading)
			}
		}
	}
	checkFleet(t, flt)
}

func checkFleet(t *testing.T, flt *fleet) {
	t.Helper()
	want := flt.cas.Want
	got, domains := map[string]int{}, map[string]map[string]bool{}
	for _, eng := range flt.engines {
		if eng.Lost || len(eng.Models) == 0 {
			continue
		}
		model := eng.Models[0]
		got[model]++
		if domains[model] == nil {
			domains[model] = map[string]bool{}
		}
		domains[model][eng.FailureDomain] = true
		if version := want.Versions[model]; version != "" && eng.Versions[model] != version {
			t.Errorf("engine %s: got version %s; want %s", eng.Name, eng.Versions[model], version)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want.Models) {
		t.Errorf("got engines %v; want %v", got, want.Models)
	}
	for model, count := range want.Domains {
		if len(domains[model]) != count {
			t.Errorf("got %s in %d failure domains; want %d", model, len(domains[model]), count)
		}
	}
	if len(flt.tooSoon) > 0 {
		t.Errorf("got moves within %s of the last one: %v; want none", MoveInterval, flt.tooSoon)
	}
	if flt.orders < want.MinOrders {
		t.Errorf("got %d orders; want at least %d", flt.orders, want.MinOrders)
	}
	if want.MaxOrders != nil && flt.orders > *want.MaxOrders {
		t.Errorf("got %d orders; want at most %d", flt.orders, *want.MaxOrders)
	}
	if flt.lastOrder < want.MinFillSeconds {
		t.Errorf("got the last load at second %d; want none after the store's rate allows it, at %d or later", flt.lastOrder, want.MinFillSeconds)
	}
}

func benchmarkPlan(b *testing.B, engines, models int) {
	var vew View
	for i := range models {
		vew.Models = append(vew.Models, Model{Name: fmt.Sprintf("m%d", i), Version: "v1", MinEngines: 1, Demand: float64(i%7) * 10})
	}
	for i := range engines {
		name := fmt.Sprintf("m%d", i%models)
		vew.Engines = append(vew.Engines, Engine{
			Name: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%18), Reported: true,
			Models: []string{name}, Versions: map[string]string{name: "v1"},
		})
	}
	now := time.Unix(100000, 0)
	b.ReportAllocs()
	for b.Loop() {
		Plan(now, vew)
	}
}

// Measures the computation of one plan for a pool with as many engines as the largest model has today.
func BenchmarkPlan31(b *testing.B) { benchmarkPlan(b, 31, 2) }

// Measures the computation of one plan for the whole target fleet in one pool, with demand that moves many engines.
func BenchmarkPlan1000(b *testing.B) { benchmarkPlan(b, 1000, 32) }
