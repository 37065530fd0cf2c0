package dispatch

import "time"

// rateLimitLifetime is how long a limit counts that the endpoint has not named again.
const rateLimitLifetime = 30 * time.Second

// RateLimit is what an endpoint said last of the number of requests that it takes from all daemons together.
type RateLimit struct {
	// PerSecond is the number of requests a second; it counts only if Named is true.
	PerSecond float64
	// Named is false if the latest answer named no limit.
	Named bool
	// At is when the answer arrived.
	At time.Time
}

// Throttle knows the limits that endpoints name.
type Throttle struct {
	limits map[string]RateLimit
}

// NewThrottle returns a Throttle that knows no limits.
func NewThrottle() *Throttle {
	return &Throttle{limits: map[string]RateLimit{}}
}

// Learn records what an endpoint said, unless something later is known. It reports whether the limit has changed.
func (thr *Throttle) Learn(id string, lim RateLimit) (changed bool) {
	old, known := thr.limits[id]
	if !known && !lim.Named || !lim.At.After(old.At) {
		return false
	}
	thr.limits[id] = lim
	return old.Named != lim.Named || old.PerSecond != lim.PerSecond
}

// Limit returns the limit of an endpoint; Named is false if there is none.
func (thr *Throttle) Limit(now time.Time, id string) RateLimit {
	lim := thr.limits[id]
	if now.Sub(lim.At) >= rateLimitLifetime {
		lim.Named = false
	}
	return lim
}

// Limited returns the number of endpoints with a limit.
func (thr *Throttle) Limited(now time.Time) int {
	count := 0
	for id := range thr.limits {
		if thr.Limit(now, id).Named {
			count++
		}
	}
	return count
}

// Forget drops expired limits.
func (thr *Throttle) Forget(now time.Time) {
	for id, lim := range thr.limits {
		if now.Sub(lim.At) >= rateLimitLifetime {
			delete(thr.limits, id)
		}
	}
}
