package lease

import (
	"time"

	"papayacroft/provider"
)

// watch follows the renewals of one pool.
type watch struct {
	// next is the offset at which the next read starts.
	next int64
	// readAt is the start of the last complete read.
	readAt time.Time
	// since is the end of the first read.
	since time.Time
	// token is the greatest token with a renewal.
	token int64
	// renewedAt is the time at which this daemon read the last renewal of the token.
	renewedAt time.Time
}

func newWatch(next int64) *watch {
	return &watch{next: next, token: None}
}

// apply applies a batch whose read began at start and was complete at now.
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

// expired reports whether the holder has appended no lease record and no renewal for Duration and the grace period.
// The time before this daemon's first read of the renewals is not part of that period.
func (wat *watch) expired(now time.Time, les Lease, grace time.Duration) bool {
	if now.Sub(wat.readAt) >= Duration {
		return false
	}
	aliveAt := les.GrantedAt
	if wat.since.After(aliveAt) {
		aliveAt = wat.since
	}
	// A renewal with a token greater than the lease's belongs to a lease record that this daemon has not read yet.
	if wat.token >= les.Tenure && wat.renewedAt.After(aliveAt) {
		aliveAt = wat.renewedAt
	}
	return now.Sub(aliveAt) >= Duration+grace
}
