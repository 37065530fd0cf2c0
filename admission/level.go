package admission

import (
	"math"
	"sync/atomic"
)

const (
	startLevel = 0.85
	minLevel   = 0.3
	maxLevel   = 0.97
	// levelStep is how much one preempted request of this daemon raises the level.
	levelStep = 0.03
	// targetPreempted is the share of preempted requests at which the level stays constant on average: a completion
	// lowers it by this part of levelStep.
	targetPreempted = 0.002
)

// Level is the quantile of the expected output lengths for which memory is reserved.
// Preemptions raise it, as too little was reserved, and completions lower it. It is safe for concurrent use.
type Level struct {
	bits atomic.Uint64
}

// NewLevel returns a level with the start value.
func NewLevel() *Level {
	lvl := &Level{}
	lvl.bits.Store(math.Float64bits(startLevel))
	return lvl
}

// Value returns the quantile, between 0 and 1.
func (lvl *Level) Value() float64 {
	return math.Float64frombits(lvl.bits.Load())
}

// Preempted raises the level by a number of preemptions. The number may be fractional, as preemptions of a shared engine
// count in proportion to this daemon's part of it.
func (lvl *Level) Preempted(count float64) {
	lvl.move(levelStep * count)
}

// Completed lowers the level for a request of this daemon that has completed.
func (lvl *Level) Completed() {
	lvl.move(-levelStep * targetPreempted)
}

// move changes the level and keeps it between minLevel and maxLevel.
func (lvl *Level) move(by float64) {
	for {
		old := lvl.bits.Load()
		value := min(maxLevel, max(minLevel, math.Float64frombits(old)+by))
		if lvl.bits.CompareAndSwap(old, math.Float64bits(value)) {
			return
		}
	}
}
