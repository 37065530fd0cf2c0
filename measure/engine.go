package main

import (
	"slices"
	"time"

	"papayacroft/endpoint"
)

const (
	engineMemoryTokens = 32_000
	stepBase           = 14 * time.Millisecond
	stepPerRequest     = 100 * time.Microsecond
	// Prompts are computed in chunks of at most prefillChunkTokens per step, in the same steps that decode other
	// generations; each prompt token lengthens the step by prefillPerToken.
	prefillPerToken    = 20 * time.Microsecond
	prefillChunkTokens = 256
	// cachedPrefixes is the capacity of an engine's prefix cache.
	cachedPrefixes = 12
	snapshotEvery  = 100 * time.Millisecond
)

// generation is one execution of a request on an engine.
type generation struct {
	req      *request
	priority int
	// sequence numbers the generations in the order in which the engine accepted them.
	sequence int
	// prefill is the number of tokens to compute before decoding can start or continue.
	prefill   int
	generated int
	onToken   func(now time.Duration, done bool)
	onLost    func(now time.Duration)
}

// heldTokens returns the memory that the generation occupies while it runs, in tokens.
func (gen *generation) heldTokens() int { return gen.req.prompt + gen.generated }

// engine simulates a model engine with continuous batching. When its memory is full, it preempts the generation of the
// lowest priority, of several the newest.
type engine struct {
	name        string
	domain      int
	sim         *simulation
	slowdown    float64
	crashed     bool
	stepping    bool
	sequence    int
	running     []*generation
	waiting     []*generation
	usedTokens  int
	preemptions int64
	busyTime    time.Duration
	prefixes    []string
	history     []endpoint.Load
}

// start accepts a generation; it returns false if the engine has crashed.
func (eng *engine) start(gen *generation) bool {
	if eng.crashed {
		return false
	}
	eng.sequence++
	gen.sequence = eng.sequence
	gen.prefill = gen.req.prompt - eng.usePrefixCache(gen.req)
	eng.enqueue(gen)
	if !eng.stepping {
		eng.step()
	}
	return true
}

// enqueue adds a generation to the waiting ones, which are sorted by descending priority, then by age.
func (eng *engine) enqueue(gen *generation) {
	eng.waiting = append(eng.waiting, gen)
	slices.SortStableFunc(eng.waiting, func(one, two *generation) int {
		if one.priority != two.priority {
			return two.priority - one.priority
		}
		return one.sequence - two.sequence
	})
}

// usePrefixCache returns the number of prompt tokens that need not be computed because the prefix is cached, and makes
// the prefix the most recently used one.
func (eng *engine) usePrefixCache(req *request) int {
	if pos := slices.Index(eng.prefixes, req.prefix); pos >= 0 {
		eng.prefixes = append(slices.Delete(eng.prefixes, pos, pos+1), req.prefix)
		return req.prefixTokens
	}
	eng.prefixes = append(eng.prefixes, req.prefix)
	if len(eng.prefixes) > cachedPrefixes {
		eng.prefixes = eng.prefixes[1:]
	}
	return 0
}

// step runs one batch of all generations that fit into memory; the batch's tokens are delivered when the step ends.
func (eng *engine) step() {
	for len(eng.waiting) > 0 && eng.usedTokens+eng.waiting[0].heldTokens() <= engineMemoryTokens*99/100 {
		gen := eng.waiting[0]
		eng.waiting = eng.waiting[1:]
		eng.running = append(eng.running, gen)
		eng.usedTokens += gen.heldTokens()
	}
	eng.stepping = len(eng.running) > 0
	if !eng.stepping {
		return
	}
	chunk := prefillChunkTokens
	var decoding []*generation
	for _, gen := range eng.running {
		part := min(chunk, gen.prefill)
		gen.prefill -= part
		chunk -= part
		if gen.prefill == 0 {
			decoding = append(decoding, gen)
		}
	}
	length := stepBase + time.Duration(len(eng.running))*stepPerRequest + time.Duration(prefillChunkTokens-chunk)*prefillPerToken
	length = time.Duration(float64(length) * eng.slowdown)
	eng.busyTime += length
	eng.sim.after(length, func(now time.Duration) { eng.finishStep(now, decoding) })
}

func (eng *engine) finishStep(now time.Duration, decoding []*generation) {
	if eng.crashed {
		return
	}
	for _, gen := range decoding {
		if gen.prefill > 0 {
			continue // preempted by another generation of this step
		}
		for eng.usedTokens >= engineMemoryTokens {
			eng.preempt()
		}
		if gen.prefill > 0 {
			continue
		}
		gen.generated++
		eng.usedTokens++
		done := gen.generated >= gen.req.output
		if done {
			eng.usedTokens -= gen.heldTokens()
			eng.running = slices.DeleteFunc(eng.running, func(other *generation) bool { return other == gen })
		}
		gen.onToken(now, done)
	}
	eng.step()
}

// preempt frees the memory of one generation and puts it back into the queue; its tokens are computed again later.
func (eng *engine) preempt() {
	victim := slices.MinFunc(eng.running, func(one, two *generation) int {
		if one.priority != two.priority {
			return one.priority - two.priority
		}
		return two.sequence - one.sequence
	})
	eng.running = slices.DeleteFunc(eng.running, func(other *generation) bool { return other == victim })
	eng.usedTokens -= victim.heldTokens()
	victim.prefill = victim.heldTokens()
	victim.req.preemptions++
	eng.preemptions++
	eng.enqueue(victim)
}

func (eng *engine) crash(now time.Duration) {
	eng.crashed = true
	lost := slices.Concat(eng.running, eng.waiting)
	eng.running, eng.waiting = nil, nil
	for _, gen := range lost {
		gen.onLost(now)
	}
}

// snapshot records the current load, which reports show after the reporting lag.
func (eng *engine) snapshot(now time.Duration) {
	eng.history = append(eng.history, endpoint.Load{
		At: eng.sim.clock(now), UsedTokens: eng.usedTokens, CapacityTokens: engineMemoryTokens,
		Running: len(eng.running), Waiting: len(eng.waiting), Preemptions: eng.preemptions,
	})
}

// report returns the load as it was one reporting lag ago.
func (eng *engine) report(now time.Duration) endpoint.Load {
	pos := int((now - eng.sim.lag) / snapshotEvery)
	return eng.history[max(0, min(pos, len(eng.history)-1))]
}
