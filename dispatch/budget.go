package dispatch

import "time"

// budgetStep is the resolution of the window in which requests and repeats are counted.
const budgetStep = time.Second

// Budget bounds the requests that are sent to a second endpoint, so that repeats never multiply an overload.
// All daemons share one budget; each takes its own requests' part and an equal part of the fixed allowance.
type Budget struct {
	// Ratio is the number of repeats that each request of the window earns.
	Ratio float64
	// Extra is the number of repeats that all daemons together may make in a window beyond that.
	Extra float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
	// Daemons is the number of daemons that share the budget.
	Daemons int

	services map[string]*budgetCounts
}

type budgetCounts struct {
	steps []budgetStepCount
}

type budgetStepCount struct {
	at                time.Time
	requests, repeats float64
}

// NewBudget returns a budget without history.
func NewBudget() *Budget {
	return &Budget{Daemons: 1, services: map[string]*budgetCounts{}}
}

// SetLimits changes the limits; what was counted stays.
func (bud *Budget) SetLimits(ratio, extra float64, window time.Duration) {
	bud.Ratio, bud.Extra, bud.Window = ratio, extra, window
}

// Request counts a caller's request for a service.
func (bud *Budget) Request(now time.Time, service string) {
	bud.step(now, service).requests++
}

// Spend takes one repeat and reports whether there was one left.
func (bud *Budget) Spend(now time.Time, service string) bool {
	step := bud.step(now, service)
	if bud.left(service) < 1 {
		return false
	}
	step.repeats++
	return true
}

// Left returns the repeats left of each service that had requests.
func (bud *Budget) Left(now time.Time) map[string]float64 {
	left := map[string]float64{}
	for service := range bud.services {
		bud.step(now, service)
		left[service] = bud.left(service)
	}
	return left
}

func (bud *Budget) left(service string) float64 {
	var requests, repeats float64
	for _, one := range bud.services[service].steps {
		requests += one.requests
		repeats += one.repeats
	}
	return bud.Ratio*requests + bud.Extra/float64(max(1, bud.Daemons)) - repeats
}

// step returns the count of the present step and drops those that left the window.
func (bud *Budget) step(now time.Time, service string) *budgetStepCount {
	cnt, ok := bud.services[service]
	if !ok {
		cnt = &budgetCounts{}
		bud.services[service] = cnt
	}
	kept := cnt.steps[:0]
	for _, one := range cnt.steps {
		if now.Sub(one.at) <= bud.Window+budgetStep {
			kept = append(kept, one)
		}
	}
	cnt.steps = kept
	if len(kept) == 0 || now.Sub(kept[len(kept)-1].at) >= budgetStep {
		cnt.steps = append(cnt.steps, budgetStepCount{at: now})
	}
	return &cnt.steps[len(cnt.steps)-1]
}
