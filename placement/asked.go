package placement

import (
	"sync"

	"papayacroft/inventory"
)

// RequestCounter counts the requests that this daemon received per model. Models without an engine have no load report,
// so these counts are the only sign of demand for them.
type RequestCounter struct {
	mutex  sync.Mutex
	counts map[string]int
}

// NewRequestCounter returns a counter without requests.
func NewRequestCounter() *RequestCounter {
	return &RequestCounter{counts: map[string]int{}}
}

// Count counts a request for a model, if the team is approved for at least one endpoint of the model's pools.
// Requests of other teams must not cause an engine to be moved.
func (cnt *RequestCounter) Count(idx *inventory.Index, team inventory.TeamRef, model string) {
	for _, pool := range idx.ModelPools(model) {
		for _, edp := range idx.PoolEndpoints(pool) {
			if idx.Approved(team, edp) {
				cnt.mutex.Lock()
				defer cnt.mutex.Unlock()
				cnt.counts[model]++
				return
			}
		}
	}
}

// Take returns the number of requests for a model since the last call, and resets it.
func (cnt *RequestCounter) Take(model string) int {
	cnt.mutex.Lock()
	defer cnt.mutex.Unlock()
	count := cnt.counts[model]
	delete(cnt.counts, model)
	return count
}
