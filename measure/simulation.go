package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	daemonCount = 8
	// Only requests that arrive between measureFrom and measureUntil are measured: the time before is warm-up, and the
	// simulation continues to runEnd so that measured requests can finish.
	measureFrom          = 40 * time.Second
	measureUntil         = 90 * time.Second
	runEnd               = 115 * time.Second
	disturbanceStart     = 50 * time.Second
	burstLength          = 10 * time.Second
	pollInterval         = 500 * time.Millisecond
	defaultLag           = 100 * time.Millisecond
	longLag              = 2 * time.Second
	sameDomainLatency    = 200 * time.Microsecond
	otherDomainLatency   = 1200 * time.Microsecond
	lossDetectionTime    = time.Second
	refusalDetectionTime = 50 * time.Millisecond
)

// scenario is a load, with at most one disturbance, and the lag of load reports.
type scenario struct {
	name string
	// load is the request rate relative to the capacity of the engines and of the plain services.
	load       float64
	burst      bool
	flood      bool
	engineLost bool
	slowEngine bool
	lag        time.Duration
}

var scenarios = []scenario{
	{name: "load-0.6", load: 0.6, lag: defaultLag},
	{name: "load-0.9", load: 0.9, lag: defaultLag},
	{name: "load-1.2", load: 1.2, lag: defaultLag},
	{name: "burst", load: 0.6, burst: true, lag: defaultLag},
	{name: "flood", load: 0.6, flood: true, lag: defaultLag},
	{name: "engine-lost", load: 0.8, engineLost: true, lag: defaultLag},
	{name: "lag-2s", load: 0.9, lag: longLag},
	{name: "slow-engine", load: 0.8, slowEngine: true, lag: defaultLag},
}

// event is a function scheduled at a simulated time; events at the same time run in the sequence of their scheduling.
type event struct {
	at       time.Duration
	sequence int
	run      func(now time.Duration)
}

type eventHeap []event

func (hep eventHeap) Len() int { return len(hep) }
func (hep eventHeap) Less(i, j int) bool {
	return hep[i].at < hep[j].at || (hep[i].at == hep[j].at && hep[i].sequence < hep[j].sequence)
}
func (hep eventHeap) Swap(i, j int) { hep[i], hep[j] = hep[j], hep[i] }

// Push is part of heap.Interface.
func (hep *eventHeap) Push(value any) { *hep = append(*hep, value.(event)) }

// Pop is part of heap.Interface.
func (hep *eventHeap) Pop() any {
	old := *hep
	last := old[len(old)-1]
	*hep = old[:len(old)-1]
	return last
}

// simulation is a discrete-event simulation of one deployment, scenario, policy and seed.
type simulation struct {
	now      time.Duration
	sequence int
	events   eventHeap
	lag      time.Duration
	rnd      *rand.Rand
	dep      *deployment
	scn      scenario
	engines  []*engine
	services []*service
	daemons  []*node
	requests []*request
	gaps     *gapRecorder
	startAt  time.Time
}

func newSimulation(dep *deployment, scn scenario, pol policy, seed uint64) *simulation {
	sim := &simulation{
		lag: scn.lag, rnd: rand.New(rand.NewPCG(seed, 7)), dep: dep, scn: scn,
		gaps: newGapRecorder(), startAt: time.Unix(1_700_000_000, 0),
	}
	idx := dep.index()
	for i := range engineCount {
		sim.engines = append(sim.engines, &engine{
			name: engineName(i), domain: i % domainCount, sim: sim, slowdown: 1,
		})
	}
	for i := range serviceCount {
		sim.services = append(sim.services, &service{name: serviceName(i), domain: i % domainCount, sim: sim})
	}
	for i := range daemonCount {
		sim.daemons = append(sim.daemons, newNode(sim, i, pol, idx, rand.New(rand.NewPCG(seed, 200+uint64(i)))))
	}
	return sim
}

// clock converts a simulated time to the wall-clock time that the product's code expects.
func (sim *simulation) clock(now time.Duration) time.Time { return sim.startAt.Add(now) }

// after schedules a function to run once after a delay.
func (sim *simulation) after(delay time.Duration, run func(now time.Duration)) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now + delay, sim.sequence, run})
}

func (sim *simulation) run() result {
	sim.every(snapshotEvery, func(now time.Duration) {
		for _, eng := range sim.engines {
			eng.snapshot(now)
		}
	})
	for i, nod := range sim.daemons {
		sim.after(time.Duration(i)*pollInterval/daemonCount, func(time.Duration) { sim.every(pollInterval, nod.poll) })
	}
	sim.arrivals()
	sim.disturb()
	for len(sim.events) > 0 && sim.now < runEnd {
		evt := heap.Pop(&sim.events).(event)
		sim.now = evt.at
		evt.run(evt.at)
	}
	return sim.measure()
}

// every runs a function immediately and then once per interval.
func (sim *simulation) every(interval time.Duration, run func(now time.Duration)) {
	var again func(now time.Duration)
	again = func(now time.Duration) {
		run(now)
		sim.after(interval, again)
	}
	again(sim.now)
}

// arrivals schedules the requests as Poisson processes: one for engines, one for plain services, and one more for the
// additional requests of a burst or a flood.
func (sim *simulation) arrivals() {
	load := sim.scn.load
	engineRate := load * sim.dep.engineCapacity()
	sim.process(1, 0, runEnd, engineRate, sim.dep.drawEngine)
	sim.process(2, 0, runEnd, load*serviceCapacity(), sim.dep.drawCall)
	if sim.scn.burst {
		sim.process(3, disturbanceStart, disturbanceStart+burstLength, (burstFactor-1)*load*serviceCapacity(), func(rnd *rand.Rand) *request {
			req := sim.dep.drawCall(rnd)
			req.class = &sim.dep.classes[len(sim.dep.classes)-1]
			return req
		})
	}
	if sim.scn.flood {
		sim.process(4, disturbanceStart, measureUntil, floodLoad*sim.dep.engineCapacity(), func(rnd *rand.Rand) *request {
			req := sim.dep.drawEngine(rnd)
			req.organisation = 0
			return req
		})
	}
}

// process schedules a Poisson process of requests with a rate per second. Each stream has its own random source, so
// that an additional stream does not change the requests of the others.
func (sim *simulation) process(stream uint64, from, until time.Duration, rate float64, draw func(rnd *rand.Rand) *request) {
	rnd := rand.New(rand.NewPCG(sim.rnd.Uint64(), stream))
	var next func(now time.Duration)
	next = func(now time.Duration) {
		if now > until {
			return
		}
		req := draw(rnd)
		req.id = fmt.Sprintf("%d-%d", stream, len(sim.requests))
		req.arrival, req.daemon, req.excluded = now, rnd.IntN(daemonCount), map[string]bool{}
		req.prefix = fmt.Sprintf("%d-%s", req.organisation, req.class.name)
		sim.requests = append(sim.requests, req)
		sim.daemons[req.daemon].arrive(now, req)
		sim.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	sim.after(from+time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), next)
}

// disturb schedules the scenario's engine crash or slowdown.
func (sim *simulation) disturb() {
	if sim.scn.engineLost {
		sim.after(disturbanceStart, sim.engines[0].crash)
	}
	if sim.scn.slowEngine {
		sim.after(disturbanceStart, func(time.Duration) { sim.engines[0].slowdown = 2 })
	}
}

// latency returns the one-way network delay between two failure domains.
func latency(one, two int) time.Duration {
	if one%domainCount == two%domainCount {
		return sameDomainLatency
	}
	return otherDomainLatency
}
