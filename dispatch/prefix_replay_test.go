package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"papayacroft/catalog"
)

// replays is the number of replays of each load.
const replays = 3

// replayCase is a load that is replayed with and without prefixes.
type replayCase struct {
	Name, Guards              string
	Daemons, Engines          int
	Speeds                    []float64
	Slots, Capacity, Requests int
	Kinds                     []replayKind
	Want                      struct {
		// Read and First are the largest allowed ratios, with prefixes to without, of the tokens that engines read and of
		// the mean time to the first event. Refused is by how many requests more may be refused.
		Read, First float64
		Refused     int
	}
}

// replayKind is a kind of requests. Its first part is one of Parts different ones of Shared tokens.
type replayKind struct {
	Rate                          float64
	Parts, Shared, Prompt, Output int
	Target                        time.Duration
	Brief                         bool
}

// replayResult sums up one replay.
type replayResult struct {
	read, refused, begun int
	first                time.Duration
}

// TestPrefixReplay replays each load of testdata/prefixreplay.yaml with and without prefixes. Where large parts are shared,
// prefixes must save reading and time; where small ones are, they must change neither for the worse.
func TestPrefixReplay(t *testing.T) {
	data, err := os.ReadFile("testdata/prefixreplay.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []replayCase
	if err := yaml.Unmarshal(data, &cases); err != nil || len(cases) == 0 {
		t.Fatalf("got %d cases, error %v; want some", len(cases), err)
	}
	for _, cse := range cases {
		t.Run(cse.Name, func(t *testing.T) {
			t.Log(cse.Guards)
			// The order of a map decides between equal engines, so one replay is not repeatable and several are summed up.
			var without, with replayResult
			for seed := range uint64(replays) {
				without.add(newReplay(&cse, seed, false).run())
				with.add(newReplay(&cse, seed, true).run())
			}
			t.Logf("without prefixes %s; with %s", without, with)
			if got, want := float64(with.read)/float64(without.read), cse.Want.Read; got > want {
				t.Errorf("got %.3f of the tokens read, want %.3f at most", got, want)
			}
			if got, want := float64(with.first)/float64(with.begun)*float64(without.begun)/float64(without.first), cse.Want.First; got > want {
				t.Errorf("got %.3f of the mean time to the first event, want %.3f at most", got, want)
			}
			if got, want := with.refused, without.refused+cse.Want.Refused; got > want {
				t.Errorf("got %d requests refused, want %d at most", got, want)
			}
		})
	}
}

func (res *replayResult) add(other replayResult) {
	res.read += other.read
	res.refused += other.refused
	res.begun += other.begun
	res.first += other.first
}

func (res replayResult) String() string {
	return fmt.Sprintf("%d tokens read, first event after %s, %d refused", res.read, res.first/time.Duration(res.begun), res.refused)
}

// replay is a simple model of engines that read prompts one after the other and cache what they have read.
type replay struct {
	cse *replayCase
	// arrivals draws the requests, which are the same with and without prefixes; choices draws all else.
	arrivals, choices  *rand.Rand
	catalog            *catalog.Catalog
	view               catalog.FleetView
	daemons            []*Balancer
	own                []map[string]bool
	users              map[string][]int
	engines            map[string]*replayEngine
	events             replayEvents
	at                 time.Time
	result             replayResult
	scheduled, arrived int
}

// replayEngine is one engine. Its step takes 7 ms and 0.12 ms for each running request, and 8 ms more with a chunk of 112
// prompt tokens, divided by its speed.
type replayEngine struct {
	speed           float64
	freeAt          time.Time
	running, memory int
	// cached are the parts that it holds, the one used last at the end.
	cached []Part
}

type replayEvent struct {
	at     time.Time
	number int
	do     func()
}

type replayEvents []replayEvent

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (evs replayEvents) Len() int { return len(evs) }

// Less orders events by time.
func (evs replayEvents) Less(i, j int) bool {
	return evs[i].at.Before(evs[j].at) || evs[i].at.Equal(evs[j].at) && evs[i].number < evs[j].number
}

// Swap swaps two events.
func (evs replayEvents) Swap(i, j int) { evs[i], evs[j] = evs[j], evs[i] }

// Push appends an event.
func (evs *replayEvents) Push(one any) { *evs = append(*evs, one.(replayEvent)) }

// Pop removes the last event.
func (evs *replayEvents) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

func newReplay(cse *replayCase, seed uint64, prefixes bool) *replay {
	rpl := &replay{
		cse: cse, arrivals: rand.New(rand.NewPCG(seed, 7)), choices: rand.New(rand.NewPCG(seed, 8)), at: testNow, users: map[string][]int{}, engines: map[string]*replayEngine{},
		catalog: catalog.NewCatalog(1, nil, []catalog.Service{{Name: "pool", Engine: &catalog.Engine{Slots: cse.Slots, CapacityTokens: cse.Capacity}}}, nil),
		view:    catalog.FleetView{Endpoints: map[string]catalog.Endpoint{}},
	}
	var names []string
	for i := range cse.Daemons {
		bal := NewBalancer()
		bal.FailureDomain, bal.Prefixes.Enabled = string(rune('a'+i%3)), prefixes
		rpl.daemons, rpl.own = append(rpl.daemons, bal), append(rpl.own, map[string]bool{})
		names = append(names, fmt.Sprint(i))
	}
	assignment := NewAssignment(names)
	for i := range cse.Engines {
		id := fmt.Sprintf("engine-%d", i)
		rpl.engines[id] = &replayEngine{speed: cse.Speeds[i%len(cse.Speeds)], freeAt: testNow}
		rpl.view.Endpoints[id] = catalog.Endpoint{ID: id, Service: "pool", State: catalog.StateReady, Slots: cse.Slots, FailureDomain: string(rune('a' + i%3))}
		for _, name := range assignment.Assigned(id, 16) {
			user := slices.Index(names, name)
			rpl.own[user][id] = true
			rpl.users[id] = append(rpl.users[id], user)
		}
	}
	return rpl
}

// run replays the case's requests and returns the result.
func (rpl *replay) run() replayResult {
	for i := range rpl.cse.Kinds {
		rpl.scheduleArrival(&rpl.cse.Kinds[i])
	}
	for rpl.events.Len() > 0 {
		next := heap.Pop(&rpl.events).(replayEvent)
		rpl.at = next.at
		next.do()
	}
	return rpl.result
}

func (rpl *replay) after(wait time.Duration, do func()) {
	rpl.scheduled++
	heap.Push(&rpl.events, replayEvent{at: rpl.at.Add(wait), number: rpl.scheduled, do: do})
}

// scheduleArrival schedules the next request of a kind, until all kinds together have had enough.
func (rpl *replay) scheduleArrival(knd *replayKind) {
	rpl.after(time.Duration(rpl.arrivals.ExpFloat64()/knd.Rate*float64(time.Second)), func() {
		if rpl.arrived++; rpl.arrived > rpl.cse.Requests {
			return
		}
		rpl.scheduleArrival(knd)
		parts := []Part{
			{fmt.Sprintf("%d-%d", knd.Shared, rpl.arrivals.IntN(knd.Parts)), knd.Shared},
			{fmt.Sprint("own", rpl.arrived), knd.Prompt - knd.Shared},
		}
		rpl.place(knd, parts, rpl.arrivals.IntN(len(rpl.daemons)), rpl.at)
	})
}

// place sends a request to an engine, or tries again until a ninth of its target has passed.
func (rpl *replay) place(knd *replayKind, parts []Part, daemon int, arrived time.Time) {
	bal := rpl.daemons[daemon]
	req := &Request{
		Service: "pool", Work: Work{Tokens: knd.Prompt + knd.Output, Prefill: knd.Prompt}, Target: knd.Target, Brief: knd.Brief,
		Preferred: rpl.own[daemon], Parts: parts,
	}
	cho := bal.Choose(rpl.at, rpl.choices, rpl.catalog, rpl.view, req)
	if cho.Endpoint == nil {
		if rpl.at.Sub(arrived) > knd.Target/9 {
			rpl.result.refused++
			return
		}
		rpl.after(20*time.Millisecond, func() { rpl.place(knd, parts, daemon, arrived) })
		return
	}
	rpl.result.begun++
	id := cho.Endpoint.ID
	engine := rpl.engines[id]
	rdg := bal.BeginPrompt(rpl.at, cho.Endpoint, rpl.catalog.Services["pool"].Engine, req)
	wrk := req.Work
	if rdg != nil {
		wrk.Prefill -= rdg.Held
	}
	flt := bal.Begin(id, wrk)
	rpl.tell(daemon, id)
	engine.running++
	engine.memory += knd.Prompt + knd.Output
	start := rpl.at
	if engine.freeAt.After(start) {
		start = engine.freeAt
	}
	tokens := engine.read(parts, rpl.cse.Capacity)
	rpl.result.read += tokens
	engine.freeAt = start.Add(engine.stepTime(8*time.Millisecond) * time.Duration(tokens+111) / 112)
	rpl.after(engine.freeAt.Sub(rpl.at), func() {
		rpl.result.first += rpl.at.Sub(arrived)
		bal.Started(flt)
		bal.Prefixes.Started(rpl.at, rdg)
		rpl.tell(daemon, id)
		rpl.after(engine.stepTime(0)*time.Duration(knd.Output), func() {
			engine.running--
			engine.memory -= knd.Prompt + knd.Output
			bal.End(flt)
			bal.Prefixes.End(rpl.at, rdg)
			rpl.tell(daemon, id)
		})
	})
}

// tell reports a daemon's work at an engine to the others that use the engine.
func (rpl *replay) tell(daemon int, id string) {
	for _, user := range rpl.users[id] {
		if user != daemon {
			rpl.daemons[user].SetPeerUsage(rpl.at, fmt.Sprint(daemon), map[string]Usage{id: rpl.daemons[daemon].UsageAt(id)})
		}
	}
}

func (eng *replayEngine) stepTime(chunk time.Duration) time.Duration {
	return time.Duration(float64(7*time.Millisecond+time.Duration(eng.running)*120*time.Microsecond+chunk) / eng.speed)
}

// read returns the number of tokens of a prompt that the engine does not hold, and caches all its parts in the memory
// that its running requests leave free.
func (eng *replayEngine) read(parts []Part, capacity int) int {
	read, gap := 0, false
	for _, part := range parts {
		at := slices.Index(eng.cached, part)
		if gap = gap || at < 0; gap {
			read += part.Tokens
		}
		if at >= 0 {
			eng.cached = slices.Delete(eng.cached, at, at+1)
		}
		eng.cached = append(eng.cached, part)
	}
	total := 0
	for _, part := range eng.cached {
		total += part.Tokens
	}
	for total > max(0, capacity-eng.memory) && len(eng.cached) > 0 {
		total -= eng.cached[0].Tokens
		eng.cached = eng.cached[1:]
	}
	return max(1, read)
}
