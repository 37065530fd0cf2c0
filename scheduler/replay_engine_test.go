package scheduler

import (
	"container/heap"
	"time"
)

// The engine of the deployments: the time of a step without requests, for each running request, and for a chunk of a prompt.
const (
	stepTime     = 7 * time.Millisecond
	stepRequest  = 120 * time.Microsecond
	chunkTime    = 8 * time.Millisecond
	chunkTokens  = 112
	eventTokens  = 4
	engineSlots  = 24
	engineTokens = 26912
)

// clock runs functions in the order of their times.
type clock struct {
	now    time.Time
	events eventHeap
	count  int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type eventHeap []event

// Len returns the number of events.
func (evs eventHeap) Len() int { return len(evs) }

// Less reports whether one event comes before another.
func (evs eventHeap) Less(i, j int) bool {
	if !evs[i].at.Equal(evs[j].at) {
		return evs[i].at.Before(evs[j].at)
	}
	return evs[i].order < evs[j].order
}

// Swap exchanges two events.
func (evs eventHeap) Swap(i, j int) { evs[i], evs[j] = evs[j], evs[i] }

// Push adds an event.
func (evs *eventHeap) Push(one any) { *evs = append(*evs, one.(event)) }

// Pop removes the last event.
func (evs *eventHeap) Pop() any {
	last := (*evs)[len(*evs)-1]
	*evs = (*evs)[:len(*evs)-1]
	return last
}

func (clk *clock) after(wait time.Duration, run func()) {
	clk.count++
	heap.Push(&clk.events, event{clk.now.Add(max(0, wait)), clk.count, run})
}

func (clk *clock) runAll() {
	for clk.events.Len() > 0 {
		one := heap.Pop(&clk.events).(event)
		clk.now = one.at
		one.run()
	}
}

// generation is a request at an engine.
type generation struct {
	prompt, output int
	// unread is the number of tokens that must be computed before the next event, made the number of output tokens so far.
	unread, made int
	onEvent      func()
	onEnd        func(whole bool)
}

// modelEngine runs generations step by step.
type modelEngine struct {
	clk              *clock
	running, waiting []*generation
	busy, lost       bool
}

func (eng *modelEngine) submit(gen *generation) {
	if eng.lost {
		eng.clk.after(0, func() { gen.onEnd(false) })
		return
	}
	gen.unread = gen.prompt
	eng.waiting = append(eng.waiting, gen)
	if !eng.busy {
		eng.busy = true
		eng.clk.after(0, eng.step)
	}
}

func (eng *modelEngine) used() int {
	sum := 0
	for _, gen := range eng.running {
		sum += gen.prompt + gen.made
	}
	return sum
}

// step admits what fits, computes one chunk of a prompt and a token of each other generation.
func (eng *modelEngine) step() {
	for len(eng.waiting) > 0 && len(eng.running) < engineSlots && eng.used()+eng.waiting[0].prompt+eng.waiting[0].made <= engineTokens {
		eng.running, eng.waiting = append(eng.running, eng.waiting[0]), eng.waiting[1:]
	}
	if len(eng.running) == 0 || eng.lost {
		eng.busy = false
		return
	}
	lasts := stepTime + time.Duration(len(eng.running))*stepRequest
	var reading *generation
	var decoding []*generation
	for _, gen := range eng.running {
		switch {
		case gen.unread == 0:
			decoding = append(decoding, gen)
		case reading == nil:
			reading = gen
			lasts += chunkTime
		}
	}
	eng.clk.after(lasts, func() { eng.finishStep(reading, decoding) })
}

func (eng *modelEngine) finishStep(reading *generation, decoding []*generation) {
	if eng.lost {
		return
	}
	if reading != nil {
		reading.unread = max(0, reading.unread-chunkTokens)
	}
	for _, gen := range decoding {
		gen.made++
		if gen.made%eventTokens == 0 || gen.made == gen.output {
			gen.onEvent()
		}
		if gen.made >= gen.output {
			eng.remove(gen)
			gen.onEnd(true)
		}
	}
	for eng.used() > engineTokens {
		last := eng.running[len(eng.running)-1]
		eng.remove(last)
		last.unread = last.prompt + last.made
		eng.waiting = append([]*generation{last}, eng.waiting...)
	}
	eng.step()
}

func (eng *modelEngine) remove(gen *generation) {
	for i, one := range eng.running {
		if one == gen {
			eng.running = append(eng.running[:i:i], eng.running[i+1:]...)
			return
		}
	}
}

// lose ends the engine without notice.
func (eng *modelEngine) lose() {
	eng.lost = true
	for _, gen := range append(eng.running, eng.waiting...) {
		gen.onEnd(false)
	}
	eng.running, eng.waiting = nil, nil
}
