package routing

import (
	"sync"
	"sync/atomic"
)

const (
	// growthDecay is the number of completions over which the weight of earlier ones falls to 1/e.
	growthDecay = 512
	// minGrowthSample is the number of completions below which all generations are expected to run past the first half
	// of the horizons and to end before the others.
	minGrowthSample = 16
)

// Survival describes which of the running generations are expected to be still running at each horizon.
// The two shares differ because generations that run long hold more memory.
type Survival struct {
	// Running is the share of the generations that are still running.
	Running [Horizons]float64
	// Held is the share of the memory held now that belongs to those generations.
	Held [Horizons]float64
}

// growth estimates from completed generations how long running ones go on.
// It doesn't use the running generations themselves: in a daemon with few of them mostly long ones remain, so that it
// would expect all memory to stay in use, send nothing, and therefore never get data to correct the estimate.
type growth struct {
	mutex     sync.Mutex
	completed int
	running   [Horizons]float64
	held      [Horizons]float64
	survival  atomic.Pointer[Survival]
}

// observe adds a completed generation to the decaying sums. For each horizon it adds the number of decoding steps at
// which the generation had at least that many tokens to go, and the memory that it held in these steps.
func (gro *growth) observe(prompt, output int) {
	gro.mutex.Lock()
	defer gro.mutex.Unlock()
	gro.completed++
	var sur Survival
	for i, hor := range horizonTokens {
		steps := float64(max(0, output-hor))
		gro.running[i] += steps - gro.running[i]/growthDecay
		gro.held[i] += steps*float64(prompt) + steps*steps/2 - gro.held[i]/growthDecay
		sur.Running[i] = gro.running[i] / max(1, gro.running[0])
		sur.Held[i] = gro.held[i] / max(1, gro.held[0])
	}
	if gro.completed >= minGrowthSample {
		gro.survival.Store(&sur)
	}
}

// Survival returns the expected survival of a generation that is picked at random from the running ones.
func (trk *Tracker) Survival() Survival {
	if sur := trk.growth.survival.Load(); sur != nil {
		return *sur
	}
	var sur Survival
	for i := range Horizons / 2 {
		sur.Running[i], sur.Held[i] = 1, 1
	}
	return sur
}

// Completed adds a generation that ended by itself to the history from which Survival is estimated.
func (trk *Tracker) Completed(prompt, output int) {
	trk.growth.observe(prompt, output)
}
