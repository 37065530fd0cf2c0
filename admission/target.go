package admission

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// patienceShare is the part of its time until which a request that will miss its target may still wait for capacity.
	patienceShare = 0.35
	// retryAfterJitter spreads the callers that are refused at the same time: they come back within this part of the
	// expected wait before and after it.
	retryAfterJitter = 0.2
	// maxRetryShare is the part of its remaining time for which a caller waits at most before it comes back.
	maxRetryShare = 1.0 / 3
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 100 * time.Millisecond
)

// IsLate reports whether the item can no longer meet its latency target.
func (itm *Item) IsLate(now time.Time) bool {
	return !itm.LatestStart.IsZero() && now.After(itm.LatestStart)
}

// EnqueuedAt returns when the item was added to the queue.
func (itm *Item) EnqueuedAt() time.Time {
	return itm.enqueuedAt
}

// IsHopeless reports whether an item that gets capacity after a wait should be refused at once: one that is refused for the
// first time if it would miss its target and wait for more than patienceShare of its time; a retry, or an item without a
// target, only if its deadline passes before.
func (itm *Item) IsHopeless(now time.Time, wait time.Duration) bool {
	if wait >= itm.Deadline.Sub(now) {
		return true
	}
	if itm.Retried || itm.LatestStart.IsZero() {
		return false
	}
	return wait > itm.LatestStart.Sub(now) && wait > time.Duration(patienceShare*float64(itm.Deadline.Sub(now)))
}

// RetryAfter returns when a refused caller should come back: when it is expected to get capacity, but within a third of the
// time that it has left.
func RetryAfter(rnd *rand.Rand, wait, left time.Duration) time.Duration {
	longest := time.Duration(maxRetryShare * float64(left))
	if wait < longest {
		wait = time.Duration(float64(wait) * (1 + retryAfterJitter*(2*rnd.Float64()-1)))
	}
	return BoundRetry(wait, left)
}

// BoundRetry returns the time after which a refused caller may come back, in place of wait: minRetryAfter at least, and at most
// maxRetryShare of the time that it has left.
func BoundRetry(wait, left time.Duration) time.Duration {
	return max(minRetryAfter, min(wait, time.Duration(maxRetryShare*float64(left))))
}

// Order returns all waiting items, the one to send first in front: items that can still meet their target before those that can't,
// which gain little from going first; by rank; by the tokens served to their organisations, the fewest first; retries before first attempts; by the time
// left until the target; by age.
func (que *Queue) Order(now time.Time) []*Item {
	que.decay(now)
	items := make([]*Item, 0, que.length)
	for _, bkt := range que.buckets {
		items = append(items, bkt.items...)
	}
	slices.SortFunc(items, func(one, two *Item) int { return que.compare(now, one, two) })
	return items
}

// compare returns a negative number if one item goes before another in Order.
func (que *Queue) compare(now time.Time, one, two *Item) int {
	served := 0
	if !que.Unfair {
		served = cmp.Compare(que.served[one.Organisation], que.served[two.Organisation])
	}
	return cmp.Or(
		compareBools(one.IsLate(now), two.IsLate(now)),
		cmp.Compare(two.Rank, one.Rank),
		served,
		compareBools(two.Retried, one.Retried),
		compareTimes(one.LatestStart, two.LatestStart),
		cmp.Compare(one.sequence, two.sequence),
	)
}

// compareBools sorts false before true.
func compareBools(one, two bool) int {
	switch {
	case one == two:
		return 0
	case two:
		return -1
	}
	return 1
}

// compareTimes sorts the zero time, which stands for no target, after all others.
func compareTimes(one, two time.Time) int {
	if one.IsZero() || two.IsZero() {
		return compareBools(one.IsZero(), two.IsZero())
	}
	return one.Compare(two)
}

// Overdue removes and returns the items that can no longer meet their target while others that can wait for the same
// resource, here or elsewhere: punctual has the resources for which such items wait elsewhere. Retries and requests that
// were sent before stay until their deadline.
func (que *Queue) Overdue(now time.Time, punctual map[string]bool) []*Item {
	punctual = maps.Clone(punctual)
	if punctual == nil {
		punctual = map[string]bool{}
	}
	var overdue []*Item
	for _, itm := range que.Order(now) {
		if !itm.LatestStart.IsZero() && !itm.IsLate(now) {
			punctual[itm.Resource] = true
		}
		if itm.IsLate(now) && !itm.Retried && !itm.Resent {
			overdue = append(overdue, itm)
		}
	}
	overdue = slices.DeleteFunc(overdue, func(itm *Item) bool { return !punctual[itm.Resource] })
	for _, itm := range overdue {
		que.Remove(itm)
	}
	return overdue
}
