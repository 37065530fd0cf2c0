package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// messageTime is the time until another daemon knows of changed work, waitingTime that between two announcements of waiting work,
	// and waitingPause the shortest one.
	messageTime  = 4 * time.Millisecond
	waitingTime  = 500 * time.Millisecond
	waitingPause = 200 * time.Millisecond
	// pauseTarget is the longest pause between two events of a stream that is on time.
	pauseTarget = 180 * time.Millisecond
	// The rule before the queue: poll, and refuse after a part of the target.
	pollTime       = 20 * time.Millisecond
	pollShare      = 0.11
	pollRetryShare = 0.35
	outputShare    = 0.4
)

// replayRoute is a kind of requests of a replayed load.
type replayRoute struct {
	Name             string
	Priority         int
	PerSecond        float64 `yaml:"perSecond"`
	Prompt, Output   int
	Spread           float64
	Target, Deadline time.Duration
	Brief            bool
	// Burst is the factor of the rate from BurstAt on, for BurstFor.
	Burst    float64
	BurstAt  time.Duration `yaml:"burstAt"`
	BurstFor time.Duration `yaml:"burstFor"`
	// BurstOrg is the organisation of the additional requests of a burst; without it they come from all.
	BurstOrg string `yaml:"burstOrg"`
}

// replay is a load with faults.
type replay struct {
	Name, Guards     string
	Daemons, Engines int
	// Users is the number of daemons that use each engine; 0 means all.
	Users         int
	Organisations int
	Lasts         time.Duration
	// Seeds is the number of loads that are replayed; their results are added up.
	Seeds  int
	Routes []replayRoute
	// RepeatAtOnce makes refused callers come back without waiting.
	RepeatAtOnce bool `yaml:"repeatAtOnce"`
	// Lose is the number of engines that end at LoseAt; Silent is true if no daemon hears of the others.
	Lose   int
	LoseAt time.Duration `yaml:"loseAt"`
	Silent bool
	// Freeze makes the first daemon stop at this time, for FreezeFor.
	Freeze    time.Duration
	FreezeFor time.Duration `yaml:"freezeFor"`
	// OnTime is the least share of requests on time by priority. Gain is the least difference to the rule before the queue.
	OnTime map[int]float64 `yaml:"onTime"`
	Gain   map[int]float64
	// Others is the least share on time of the organisations that send no burst, by priority.
	Others map[int]float64
}

// caller is a request with its retry.
type caller struct {
	rou      *replayRoute
	org      string
	output   int
	begun    time.Time
	attempts int
	firstAt  time.Time
	lastAt   time.Time
	pause    time.Duration
	whole    bool
	ends     int
	sentLate bool
	inBurst  bool
}

// onTime reports whether the caller got what it wants.
func (cal *caller) onTime() bool {
	return cal.whole && cal.firstAt.Sub(cal.begun) <= cal.rou.Target && cal.pause <= pauseTarget
}

// world is one run of a replay, with the queue or with the rule before it.
type world struct {
	*clock
	rpl     *replay
	seed    uint64
	rnd     *rand.Rand
	cat     *catalog.Catalog
	fleet   catalog.FleetView
	engines map[string]*modelEngine
	daemons []*node
	users   map[string][]string
	callers []*caller
	queue   bool
}

// node is a daemon.
type node struct {
	*world
	name string
	bal  *dispatch.Balancer
	sch  *Scheduler
	// own has the engines that the daemon uses, and shares the part of the engines of the others that it uses, too; nil means all.
	own     map[string]bool
	shares  map[string]float64
	frozen  time.Time
	passDue time.Time
	told    dispatch.WaitingTokens
	toldAt  time.Time
	telling bool
}

// Guards against the failures that the cases of testdata/replay.yaml describe, and against a queue that serves fewer requests on time
// than the rule before it.
func TestReplay(t *testing.T) {
	data, err := os.ReadFile("testdata/replay.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var replays []replay
	if err := yaml.Unmarshal(data, &replays); err != nil || len(replays) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(replays), err)
	}
	for _, rpl := range replays {
		t.Run(rpl.Name, func(t *testing.T) {
			t.Parallel()
			t.Log(rpl.Guards)
			with, before := &world{}, &world{}
			for seed := range uint64(max(1, rpl.Seeds)) {
				one := rpl.run(seed, true)
				one.check(t)
				with.callers = append(with.callers, one.callers...)
				before.callers = append(before.callers, rpl.run(seed, false).callers...)
			}
			got, was := with.shares(nil), before.shares(nil)
			others := with.shares(func(cal *caller) bool { return !cal.inBurst })
			t.Logf("on time with the queue %v (others than the burst %v), before %v", got, others, was)
			atLeast(t, "on time", got, rpl.OnTime)
			atLeast(t, "of the other organisations on time", others, rpl.Others)
			gain := map[int]float64{}
			for priority := range got {
				gain[priority] = got[priority] - was[priority]
			}
			atLeast(t, "more on time than before", gain, rpl.Gain)
			t.Logf("misses with the queue: %s", with.misses())
			t.Logf("misses before: %s", before.misses())
		})
	}
}

func atLeast(t *testing.T, what string, got, want map[int]float64) {
	for priority := range want {
		if got[priority] < want[priority] {
			t.Errorf("priority %d: got %.3f %s, want %.3f", priority, got[priority], what, want[priority])
		}
	}
}

// check reports requests that ended twice or not at all, or were sent after their deadline.
func (wld *world) check(t *testing.T) {
	for i, cal := range wld.callers {
		if cal.ends != 1 {
			t.Errorf("request %d: got %d ends, want 1", i, cal.ends)
		}
		if cal.sentLate {
			t.Errorf("request %d was sent after its deadline", i)
		}
	}
	for _, nod := range wld.daemons {
		if got := nod.sch.Queue.Len(); got != 0 {
			t.Errorf("%s: got %d requests that wait at the end, want none", nod.name, got)
		}
	}
}

// shares returns the share of requests on time by priority, of those that are selected.
func (wld *world) shares(selected func(*caller) bool) map[int]float64 {
	count, good := map[int]float64{}, map[int]float64{}
	for _, cal := range wld.callers {
		if selected != nil && !selected(cal) {
			continue
		}
		count[cal.rou.Priority]++
		if cal.onTime() {
			good[cal.rou.Priority]++
		}
	}
	for priority := range count {
		good[priority] = math.Round(good[priority]/count[priority]*1000) / 1000
	}
	return good
}

// misses counts the requests that were not on time by priority and cause.
func (wld *world) misses() string {
	counts := map[string]int{}
	for _, cal := range wld.callers {
		switch first := cal.firstAt.Sub(cal.begun); {
		case cal.onTime():
			continue
		case cal.firstAt.IsZero():
			counts[fmt.Sprintf("%d refused", cal.rou.Priority)]++
		case !cal.whole:
			counts[fmt.Sprintf("%d lost", cal.rou.Priority)]++
		case first > cal.rou.Target:
			counts[fmt.Sprintf("%d first event", cal.rou.Priority)]++
		default:
			counts[fmt.Sprintf("%d pause", cal.rou.Priority)]++
		}
	}
	return fmt.Sprintf("%v of %d", counts, len(wld.callers))
}

func (rpl *replay) run(seed uint64, queue bool) *world {
	wld := &world{clock: &clock{now: time.Unix(1_700_000_000, 0)}, rpl: rpl, seed: seed, rnd: rand.New(rand.NewPCG(seed, 2)), engines: map[string]*modelEngine{}, queue: queue}
	var routes []catalog.Route
	for _, rou := range rpl.Routes {
		routes = append(routes, catalog.Route{
			Name: rou.Name, Kind: catalog.KindStream, Priority: rou.Priority, Target: rou.Target, Shares: []catalog.Share{{Service: "pool", Weight: 1}},
		})
	}
	wld.cat = catalog.NewCatalog(1, routes, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: engineSlots, CapacityTokens: engineTokens}}}, nil)
	endpoints := map[string]catalog.Endpoint{}
	for i := range rpl.Engines {
		id := fmt.Sprintf("e%02d", i)
		endpoints[id] = catalog.Endpoint{ID: id, Service: "pool", State: catalog.StateReady, Slots: engineSlots, FailureDomain: "a"}
		wld.engines[id] = &modelEngine{clk: wld.clock}
	}
	wld.fleet = catalog.FleetView{Endpoints: endpoints}
	for i := range rpl.Daemons {
		bal := dispatch.NewBalancer()
		bal.FailureDomain, bal.Serial = "a", queue
		wld.daemons = append(wld.daemons, &node{world: wld, name: fmt.Sprintf("d%02d", i), bal: bal, sch: New(bal)})
		wld.daemons[i].sch.Name = wld.daemons[i].name
	}
	wld.shareEngines()
	for i := range rpl.Routes {
		wld.arrivals(&rpl.Routes[i])
	}
	if rpl.Lose > 0 {
		wld.after(rpl.LoseAt, wld.loseEngines)
	}
	if rpl.FreezeFor > 0 {
		wld.after(rpl.Freeze, func() { wld.daemons[0].frozen = wld.now.Add(rpl.FreezeFor) })
	}
	wld.runAll()
	return wld
}

// shareEngines assigns the engines to their users.
func (wld *world) shareEngines() {
	if wld.rpl.Users == 0 {
		return
	}
	var names []string
	for _, nod := range wld.daemons {
		names = append(names, nod.name)
	}
	wld.users = map[string][]string{}
	asg := dispatch.NewAssignment(names)
	count := map[string]float64{}
	for id := range wld.engines {
		wld.users[id] = asg.Assigned(id, wld.rpl.Users)
		for _, name := range wld.users[id] {
			count[name]++
		}
	}
	for _, nod := range wld.daemons {
		nod.own, nod.shares = map[string]bool{}, map[string]float64{}
		for id, users := range wld.users {
			if nod.own[id] = slices.Contains(users, nod.name); !nod.own[id] {
				continue
			}
			for _, name := range users {
				nod.shares[name] += 1 / count[name]
			}
		}
	}
}

// arrivals schedules the requests of a route; both runs of a replay have the same ones.
func (wld *world) arrivals(rou *replayRoute) {
	load := rand.New(rand.NewPCG(wld.seed, uint64(rou.Prompt)))
	for at := time.Duration(0); at < wld.rpl.Lasts; {
		rate, inBurst := rou.PerSecond, false
		if rou.Burst > 1 && at >= rou.BurstAt && at < rou.BurstAt+rou.BurstFor {
			rate *= rou.Burst
			inBurst = load.Float64() < 1-1/rou.Burst
		}
		at += time.Duration(load.ExpFloat64() / rate * float64(time.Second))
		output := max(1, int(float64(rou.Output)*math.Exp(rou.Spread*load.NormFloat64()-rou.Spread*rou.Spread/2)))
		cal := &caller{rou: rou, output: output, inBurst: inBurst, org: fmt.Sprintf("o%d", load.IntN(max(1, wld.rpl.Organisations)))}
		if inBurst && rou.BurstOrg != "" {
			cal.org = rou.BurstOrg
		}
		first := load.IntN(len(wld.daemons))
		wld.callers = append(wld.callers, cal)
		wld.after(at, func() {
			cal.begun = wld.now
			wld.daemons[first].receive(cal)
		})
	}
}

func (wld *world) loseEngines() {
	endpoints := map[string]catalog.Endpoint{}
	ids := []string{}
	for id := range wld.fleet.Endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for i, id := range ids {
		if i < wld.rpl.Lose {
			wld.engines[id].lose()
		} else {
			endpoints[id] = wld.fleet.Endpoints[id]
		}
	}
	wld.fleet = catalog.FleetView{Endpoints: endpoints, Changes: 1}
}
