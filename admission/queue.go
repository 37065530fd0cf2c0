package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// DefaultCapacity is the default of the largest number of requests that wait in one queue.
	DefaultCapacity = 256
	// DefaultAgeing is the default wait after which a request counts as one rank higher.
	DefaultAgeing = 20 * time.Second
	// servedHalfLife is the half-life of the counts of tokens served to each organisation. It limits the advantage of an
	// organisation that was idle and the disadvantage of one that used much.
	servedHalfLife = 10 * time.Second
	// servedStep is the time between two decays of the counts.
	servedStep = time.Second
	// urgentTime is the time before an item's target in which the item goes first. It is long enough to receive a load
	// report of every engine.
	urgentTime = 500 * time.Millisecond
)

// Item is a waiting request.
type Item struct {
	ID           string
	Organisation string
	Class        string
	// Resource is the name of the model or of the service pool that the request waits for.
	Resource string
	// Rank is the rank of the request's class; items of a higher rank go first.
	Rank int
	// Worth decides which item is dropped from a full queue: the one of the least worth.
	Worth float64
	// Deadline is when the request is refused if it is still waiting.
	Deadline time.Time
	// Target is how long the item should wait at most; 0 means that it has no target.
	Target time.Duration
	// Tokens is the memory that the item needs at an engine, in tokens.
	Tokens int
	// LatestStart is the time until which the item must be sent to meet its latency target; zero without a target. It is used
	// if the queue orders by target.
	LatestStart time.Time
	// Retried is true if the caller was refused before and has come back.
	Retried bool
	// Resent is true if the request was sent before without an answer; it is not overdue before its deadline.
	Resent bool
	// Value is data of the caller; the queue doesn't use it.
	Value any

	enqueuedAt time.Time
	sequence   int64
}

// bucket holds the items of one organisation, class and resource, the oldest first.
type bucket struct {
	organisation string
	class        string
	resource     string
	items        []*Item
}

type bucketKey struct {
	organisation, class, resource string
}

// Queue orders waiting requests by rank, then by the tokens served to their organisations, the fewest first, then by age.
type Queue struct {
	// Capacity is the largest number of waiting requests.
	Capacity int
	// Ageing is the wait that raises a request by one rank; 0 disables ageing.
	Ageing time.Duration
	// Unfair disables fairness between organisations, for measurements.
	Unfair bool
	// ByTarget selects the order of Order, by the time left until the target, in place of that of Next, by age.
	ByTarget bool

	buckets map[bucketKey]*bucket
	// served holds the decaying count of tokens served to each organisation.
	served map[string]float64
	// queued holds the number of waiting requests of each organisation.
	queued    map[string]int
	length    int
	sequence  int64
	decayedAt time.Time
	// nextDeadline is a lower bound of the deadlines of the waiting items.
	nextDeadline time.Time
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		Capacity: DefaultCapacity, Ageing: DefaultAgeing,
		buckets: map[bucketKey]*bucket{}, served: map[string]float64{}, queued: map[string]int{},
	}
}

// Len returns the number of waiting requests.
func (que *Queue) Len() int {
	return que.length
}

// Push adds an item. If the queue is then too long, it drops the item of the least worth, which may be the new one, and
// returns it.
func (que *Queue) Push(now time.Time, itm *Item) *Item {
	que.sequence++
	itm.enqueuedAt, itm.sequence = now, que.sequence
	if que.length == 0 || itm.Deadline.Before(que.nextDeadline) {
		que.nextDeadline = itm.Deadline
	}
	key := bucketKey{itm.Organisation, itm.Class, itm.Resource}
	bkt, ok := que.buckets[key]
	if !ok {
		bkt = &bucket{organisation: itm.Organisation, class: itm.Class, resource: itm.Resource}
		que.buckets[key] = bkt
	}
	bkt.items = append(bkt.items, itm)
	que.queued[itm.Organisation]++
	que.length++
	if que.length <= que.Capacity {
		return nil
	}
	victim := que.leastWorth()
	if que.ByTarget {
		order := que.Order(now)
		victim = order[len(order)-1]
	}
	que.Remove(victim)
	return victim
}

// Blocked is a set of resources that take no more requests at present, either of any organisation or of one.
type Blocked map[blockedKey]bool

type blockedKey struct {
	resource, organisation string
}

// Add blocks a resource for one organisation, or for all if the organisation is empty.
func (blk Blocked) Add(resource, organisation string) {
	blk[blockedKey{resource, organisation}] = true
}

func (blk Blocked) has(bkt *bucket) bool {
	return blk[blockedKey{bkt.resource, ""}] || blk[blockedKey{bkt.resource, bkt.organisation}]
}

// Next returns the first item in the order of the queue that is not blocked, or nil; it doesn't remove the item.
func (que *Queue) Next(now time.Time, blocked Blocked) *Item {
	top, served := 0, 0.0
	for _, bkt := range que.buckets {
		if !blocked.has(bkt) {
			top = max(top, bkt.items[0].Rank)
		}
	}
	for org := range que.queued {
		served += que.served[org] / float64(len(que.queued))
	}
	var best *Item
	bestRank := 0
	for _, bkt := range que.buckets {
		if blocked.has(bkt) {
			continue
		}
		head := bkt.items[0]
		rank := que.agedRank(now, top, served, head)
		if best == nil || rank > bestRank || (rank == bestRank && que.before(head, best)) {
			best, bestRank = head, rank
		}
	}
	return best
}

// before reports whether one item goes before another of the same rank.
func (que *Queue) before(one, two *Item) bool {
	if !que.Unfair && que.served[one.Organisation] != que.served[two.Organisation] {
		return que.served[one.Organisation] < que.served[two.Organisation]
	}
	return one.sequence < two.sequence
}

// agedRank returns the rank of an item, raised by its wait to at most the highest waiting rank. Items of an organisation
// that was served more than the mean of the waiting organisations are not raised by ageing. Otherwise its old backlog
// would go before the new requests of the others.
func (que *Queue) agedRank(now time.Time, top int, mean float64, itm *Item) int {
	if que.Urgent(now, itm) {
		return max(top, itm.Rank)
	}
	if que.Ageing <= 0 || (!que.Unfair && que.served[itm.Organisation] > mean*(1+1e-9)) {
		return itm.Rank
	}
	return min(max(top, itm.Rank), itm.Rank+int(now.Sub(itm.enqueuedAt)/que.Ageing))
}

// Urgent reports whether an item is about to miss its target. An item that has already missed it is not urgent, as it
// gains less from going first. Nor are items of an organisation with more than largeShare of the served tokens, so that
// its backlog doesn't go before the requests of the others.
func (que *Queue) Urgent(now time.Time, itm *Item) bool {
	wait := now.Sub(itm.enqueuedAt)
	return wait < itm.Target && wait >= itm.Target-urgentTime && que.Share(itm.Organisation) <= largeShare
}

// Share returns an organisation's share of the recently served tokens; it is 0 if Unfair is set.
func (que *Queue) Share(organisation string) float64 {
	total := 0.0
	for _, count := range que.served {
		total += max(0, count)
	}
	if total == 0 || que.Unfair {
		return 0
	}
	return que.served[organisation] / total
}

// leastWorth returns the item to drop from a full queue: the one of the least worth; among equals, of the organisation
// with the most waiting requests; then the newest.
func (que *Queue) leastWorth() *Item {
	var worst *Item
	for _, bkt := range que.buckets {
		itm := bkt.items[len(bkt.items)-1]
		if worst == nil || que.worse(itm, worst) {
			worst = itm
		}
	}
	return worst
}

// worse reports whether one item is dropped before another.
func (que *Queue) worse(one, two *Item) bool {
	if one.Worth != two.Worth {
		return one.Worth < two.Worth
	}
	if !que.Unfair && que.queued[one.Organisation] != que.queued[two.Organisation] {
		return que.queued[one.Organisation] > que.queued[two.Organisation]
	}
	return one.sequence > two.sequence
}

// Remove removes an item and reports whether it was waiting.
func (que *Queue) Remove(itm *Item) bool {
	key := bucketKey{itm.Organisation, itm.Class, itm.Resource}
	bkt, ok := que.buckets[key]
	if !ok {
		return false
	}
	pos := slices.Index(bkt.items, itm)
	if pos < 0 {
		return false
	}
	bkt.items = slices.Delete(bkt.items, pos, pos+1)
	if len(bkt.items) == 0 {
		delete(que.buckets, key)
	}
	if que.queued[itm.Organisation]--; que.queued[itm.Organisation] == 0 {
		delete(que.queued, itm.Organisation)
	}
	que.length--
	return true
}

// Expire removes and returns the items whose deadline has passed.
func (que *Queue) Expire(now time.Time) []*Item {
	if que.length == 0 || now.Before(que.nextDeadline) {
		return nil
	}
	var expired []*Item
	que.nextDeadline = time.Time{}
	for _, bkt := range que.buckets {
		for _, itm := range bkt.items {
			if !now.Before(itm.Deadline) {
				expired = append(expired, itm)
			} else if que.nextDeadline.IsZero() || itm.Deadline.Before(que.nextDeadline) {
				que.nextDeadline = itm.Deadline
			}
		}
	}
	slices.SortFunc(expired, func(one, two *Item) int { return int(one.sequence - two.sequence) })
	for _, itm := range expired {
		que.Remove(itm)
	}
	return expired
}

// Served adds to the tokens served to an organisation; a negative number corrects an estimate that was too high.
func (que *Queue) Served(now time.Time, organisation string, tokens float64) {
	que.decay(now)
	que.served[organisation] += tokens
}

// decay reduces the counts of served tokens by the time since the last decay, at most once per servedStep.
func (que *Queue) decay(now time.Time) {
	if que.decayedAt.IsZero() {
		que.decayedAt = now
	}
	elapsed := now.Sub(que.decayedAt)
	if elapsed < servedStep {
		return
	}
	que.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(servedHalfLife))
	for org, count := range que.served {
		if count *= factor; math.Abs(count) < 1 {
			delete(que.served, org)
			continue
		}
		que.served[org] = count
	}
}
