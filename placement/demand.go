package placement

import (
	"math"
	"time"
)

// demandHalfLife is the time in which an observation loses half its weight, so that shorter peaks move no engine.
const demandHalfLife = 30 * time.Second

// Demand holds an exponentially weighted moving average of the demand per model.
type Demand struct {
	values map[string]float64
	at     time.Time
}

// NewDemand returns a Demand without observations.
func NewDemand() *Demand {
	return &Demand{values: map[string]float64{}}
}

// Observe adds an observation: the number of generations per model that run or wait. The demand of models that are
// not in it decays towards zero.
func (dem *Demand) Observe(now time.Time, raw map[string]float64) {
	weight := 1.0
	if !dem.at.IsZero() {
		weight = 1 - math.Exp2(-now.Sub(dem.at).Seconds()/demandHalfLife.Seconds())
	}
	for model := range raw {
		dem.values[model] += 0
	}
	for model, value := range dem.values {
		dem.values[model] = value + weight*(raw[model]-value)
	}
	dem.at = now
}

// Value returns the smoothed demand for a model.
func (dem *Demand) Value(model string) float64 {
	return dem.values[model]
}
