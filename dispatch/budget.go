package dispatch

import "time"

// budgetStep is the length of the buckets in which requests and repeats of the window are counted.
const budgetStep = time.Second

// Budget limits how many requests may be repeated on a second endpoint, so that repeats never multiply an overload.
// There is one limit for each service, over all daemons: a daemon may spend Ratio times the requests that it received
// itself, and an equal share of Extra.
type Budget struct {
	// Ratio is the number of repeats allowed for each request in the window.
	Ratio float64
	// Extra is the number of repeats that all daemons together may make in a window in addition to Ratio.
	Extra float64
	// Window is the length of the sliding window over which requests and repeats are counted.
	Window time.Duration
	// Daemons is the number of daemons that share the budget.
	Daemons int

	services map[string]*budgetCounts
}

// budgetCounts holds the counts of one service, the oldest step first.
type budgetCounts struct {
	steps []budgetStepCount
}

// budgetStepCount counts the requests and repeats of one step, which begins at the time at.
type budgetStepCount struct {
	at                time.Time
	requests, repeats float64
}

// NewBudget returns a budget without counted requests; its limits are zero until SetLimits is called.
func NewBudget() *Budget {
	return &Budget{Daemons: 1, services: map[string]*budgetCounts{}}
}

// SetLimits changes the limits and keeps the counts.
func (bud *Budget) SetLimits(ratio, extra float64, window time.Duration) {
	bud.Ratio, bud.Extra, bud.Window = ratio, extra, window
}

// Request counts a request of a caller for a service.
func (bud *Budget) Request(now time.Time, service string) {
	bud.step(now, service).requests++
}

// Spend counts one repeat if the budget of the service allows it, and reports whether it does.
func (bud *Budget) Spend(now time.Time, service string) bool {
	step := bud.step(now, service)
	if bud.remaining(service) < 1 {
		return false
	}
	step.repeats++
	return true
}

// Left returns the number of repeats that the budget still allows, for each service that had requests.
func (bud *Budget) Left(now time.Time) map[string]float64 {
	left := map[string]float64{}
	for service := range bud.services {
		bud.step(now, service)
		left[service] = bud.remaining(service)
	}
	return left
}

func (bud *Budget) remaining(service string) float64 {
	var requests, repeats float64
	for _, one := range bud.services[service].steps {
		requests += one.requests
		repeats += one.repeats
	}
	return bud.Ratio*requests + bud.Extra/float64(max(1, bud.Daemons)) - repeats
}

// step returns the counts of the current step and drops the steps that are older than the window.
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
