package claim

import "time"

const (
	// appendInterval keeps 4 shards within 200 appends/s, about half of the log's capacity.
	appendInterval = 20 * time.Millisecond
	// maxAppendInterval is the longest pause after failed appends; it allows two tries before a request's time-out.
	maxAppendInterval = 8 * appendInterval
)

// Pace limits the rate of one shard's appends and backs off exponentially after failures.
type Pace struct {
	next     time.Time
	interval time.Duration
}

// Delay returns the time until the next append may start.
func (pac *Pace) Delay(now time.Time) time.Duration {
	return max(pac.next.Sub(now), 0)
}

// Started records the start of an append.
func (pac *Pace) Started(now time.Time) {
	pac.interval = max(pac.interval, appendInterval)
	pac.next = now.Add(pac.interval)
}

// Finished records whether the append was answered.
func (pac *Pace) Finished(now time.Time, answered bool) {
	if answered {
		pac.interval = appendInterval
		return
	}
	pac.interval = min(2*max(pac.interval, appendInterval), maxAppendInterval)
	pac.next = now.Add(pac.interval)
}
