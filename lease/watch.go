package lease

import (
	"time"

	"papayacroft/provider"
)

// watch follows the renewals of one pool.
type watch struct {
	next int64
	// readAt is the start of the last complete read.
	readAt time.Time
	// since is the end of the first read.
	since time.Time
	// token is the greatest one that was renewed, last read at renewedAt.
	token     int64
	renewedAt time.Time
}

func newWatch(next int64) *watch {
	return &watch{next: next, token: None}
}

// apply takes in a batch whose read began at start; now is the time at which it was complete.
func (wat *watch) apply(start, now time.Time, bat provider.Batch) {
	if wat.since.IsZero() {
		wat.since = now
	}
	for _, rec := range bat.Records {
		if rec.Offset < wat.next {
			continue
		}
		wat.next = rec.Offset + 1
		if ren, err := ParseRenewal(rec.Body); err == nil && ren.Token >= wat.token {
			wat.token, wat.renewedAt = ren.Token, now
		}
	}
	if bat.Next <= wat.next || len(bat.Records) == 0 {
		wat.readAt = start
	}
	wat.next = max(wat.next, bat.Next)
}

// expired reports whether the holder has given no sign for the time of a lease and a grace.
// The time before this daemon watched the pool does not count.
func (wat *watch) expired(now time.Time, les Lease, grace time.Duration) bool {
	if now.Sub(wat.readAt) >= Duration {
		return false
	}
	sign := les.GrantedAt
	if wat.since.After(sign) {
		sign = wat.since
	}
	// A greater token than the lease's is that of a lease record that this daemon has not read yet.
	if wat.token >= les.Tenure && wat.renewedAt.After(sign) {
		sign = wat.renewedAt
	}
	return now.Sub(sign) >= Duration+grace
}
