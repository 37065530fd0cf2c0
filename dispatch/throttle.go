package dispatch

import "time"

const (
	// rateLimitLifetime is how long a limit counts that the endpoint has not named again.
	rateLimitLifetime = 30 * time.Second
	// shareInterval is the minimum time between two messages about the limit of one endpoint.
	shareInterval = time.Second
	// maxDenial bounds the time for which an endpoint is not asked for again after a denial.
	maxDenial = time.Second
)

// RateLimit is what an endpoint said last of the number of requests that it takes from all daemons together.
type RateLimit struct {
	// PerSecond is the number of requests a second; it counts only if Named is true.
	PerSecond float64
	// Named is false if the latest answer named no limit.
	Named bool
	// At is when the answer arrived.
	At time.Time
}

// Throttle knows the limits that endpoints name, and the endpoints for which this daemon gets no permits at present.
type Throttle struct {
	limits map[string]RateLimit
	denied map[string]time.Time
	// nextPermits is when the next permit for an endpoint is to be had, by the last denial.
	nextPermits map[string]time.Time
	// sharedAt is when this daemon last announced an endpoint's limit.
	sharedAt map[string]time.Time
}

// NewThrottle returns a Throttle that knows no limits.
func NewThrottle() *Throttle {
	return &Throttle{limits: map[string]RateLimit{}, denied: map[string]time.Time{}, nextPermits: map[string]time.Time{}, sharedAt: map[string]time.Time{}}
}

// Learn records what an endpoint said, unless something later is known. It reports whether the limit has changed.
func (thr *Throttle) Learn(id string, lim RateLimit) (changed bool) {
	old, known := thr.limits[id]
	if !known && !lim.Named || !lim.At.After(old.At) {
		return false
	}
	thr.limits[id] = lim
	if !lim.Named {
		delete(thr.denied, id)
	}
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

// MayShare reports whether an endpoint's limit may be announced to other daemons now, and records the announcement.
func (thr *Throttle) MayShare(now time.Time, id string) bool {
	if now.Sub(thr.sharedAt[id]) < shareInterval {
		return false
	}
	thr.sharedAt[id] = now
	return true
}

// Deny records that no permit for an endpoint is to be had for a time.
func (thr *Throttle) Deny(now time.Time, id string, wait time.Duration) {
	thr.denied[id] = now.Add(min(wait, maxDenial))
	thr.nextPermits[id] = now.Add(wait)
}

// NextPermit returns the time until the next permit for an endpoint that was denied.
func (thr *Throttle) NextPermit(now time.Time, id string) time.Duration {
	return max(0, thr.nextPermits[id].Sub(now))
}

// Denied reports whether no permit for an endpoint is to be had now.
func (thr *Throttle) Denied(now time.Time, id string) bool {
	return now.Before(thr.denied[id])
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
			delete(thr.denied, id)
			delete(thr.sharedAt, id)
		}
	}
	for id, at := range thr.nextPermits {
		if now.Sub(at) >= maxDenial {
			delete(thr.nextPermits, id)
			delete(thr.denied, id)
		}
	}
}
