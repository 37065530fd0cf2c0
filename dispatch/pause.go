package dispatch

import (
	"time"

	"papayacroft/catalog"
)

const (
	// MaxPause is the longest pause that an endpoint gets; one that asks for more gets this.
	MaxPause = time.Minute
	// maxPausedSends is the number of requests that may be sent to an endpoint during its pause: those that must be sent, and
	// for which there is no other endpoint.
	maxPausedSends = 2
)

// pause is the time for which an endpoint has asked this daemon to send it nothing.
type pause struct {
	// startedAt identifies the incarnation of the endpoint that asked.
	startedAt int64
	until     time.Time
	// sends is the number of requests sent all the same, since the first of the pauses that overlap.
	sends int
}

// left returns the time until the end of the pause; 0 if it is over or another incarnation of the endpoint asked for it.
func (pau *pause) left(now time.Time, edp *catalog.Endpoint) time.Duration {
	if edp.StartedAt != pau.startedAt {
		return 0
	}
	return max(0, pau.until.Sub(now))
}

// Paused records that an endpoint asks for a pause. It reports whether it had none.
func (bal *Balancer) Paused(now time.Time, edp *catalog.Endpoint, dur time.Duration) (isNew bool) {
	sta := bal.endpoint(edp.ID)
	isNew = sta.pause.left(now, edp) == 0
	if isNew {
		sta.pause = pause{startedAt: edp.StartedAt}
	}
	if until := now.Add(min(dur, MaxPause)); until.After(sta.pause.until) {
		sta.pause.until = until
	}
	return isNew
}

// MaySend reports whether a request may be sent to an endpoint now in view of its pause. With despite, it was chosen in spite of
// the pause, and counts as such.
func (bal *Balancer) MaySend(now time.Time, edp *catalog.Endpoint, despite bool) bool {
	sta, known := bal.endpoints[edp.ID]
	if !known || sta.pause.left(now, edp) == 0 {
		return true
	}
	if !despite || sta.pause.sends >= maxPausedSends {
		return false
	}
	sta.pause.sends++
	return true
}

// PausedCount returns the number of endpoints that have a pause.
func (bal *Balancer) PausedCount(now time.Time) int {
	count := 0
	for _, sta := range bal.endpoints {
		if now.Before(sta.pause.until) {
			count++
		}
	}
	return count
}

// isPaused reports whether an endpoint must not be chosen because of its pause.
func (bal *Balancer) isPaused(now time.Time, edp *catalog.Endpoint, req *Request) bool {
	sta, known := bal.endpoints[edp.ID]
	if !known || sta.pause.left(now, edp) == 0 {
		return false
	}
	return !req.despitePause || sta.pause.sends >= maxPausedSends
}

// notePause records the time until the end of an endpoint's pause; the shortest one counts.
func (bal *Balancer) notePause(cho *Choice, now time.Time, edp *catalog.Endpoint) {
	left := bal.endpoints[edp.ID].pause.left(now, edp)
	if cho.PausedFor == 0 || left < cho.PausedFor {
		cho.PausedFor = left
	}
}
