// Package limit enforces the limits of teams and organisations across all daemons.
// Each organisation has an owner among the daemons, which divides the limits into shares by the demand that
// the daemons report; each daemon admits requests within its shares.
package limit

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"papayacroft/inventory"
)

const (
	// maxRetryAfterSeconds bounds the time after which a refused caller is asked to retry.
	maxRetryAfterSeconds = 30
	// minBurst is the smallest burst of a daemon's share, but at most the number of requests that arrive in
	// minBurst seconds at the whole limit. With 400 daemons a share is far below 1 request/s; random arrivals
	// at a quarter of it exceed a burst of 1 for one request in five and a burst of 4 for one in a thousand.
	minBurst = 4
	// minConcurrent is the static share of a concurrency limit that is smaller than the number of daemons.
	minConcurrent = 2
	// smallDeployment is the largest number of daemons of a small deployment, in which a daemon may send several
	// messages in one period and uses its static share until the owner grants one.
	smallDeployment = 16
	// overcommitFactor is the multiple of its static share that a daemon of a larger deployment may use while the
	// owner does not see the organisation near its limit, since reports take a minute or more to reach all owners.
	overcommitFactor = 4
	// minLiveFraction is the fraction of the daemons that must be live for overcommitted shares. With fewer, the
	// network may be partitioned, and the daemons on each side keep to their static shares.
	minLiveFraction = 0.9
)

// Share is the part of a limit that one daemon may use. A field that the configuration does not limit is zero
// and not enforced.
type Share struct {
	Rate       float64
	Concurrent int
}

// Denial is the refusal of a request that would exceed a limit.
type Denial struct {
	Reason            string
	RetryAfterSeconds int
}

// Limiter checks requests against this daemon's shares.
type Limiter struct {
	// Nodes returns the numbers of daemons that share the limits.
	Nodes func() Nodes

	mutex    sync.Mutex
	table    atomic.Pointer[table]
	subjects map[string]*subject
	// reportedAt is the time of the last report.
	reportedAt time.Time
	// periods counts the calls of Candidates.
	periods int
}

// table maps each team of one configuration to the subjects whose limits apply to it.
type table struct {
	index *inventory.Index
	teams map[inventory.TeamRef]teamSubjects
}

// teamSubjects holds the subjects of one team; a field is nil if the configuration sets no limit.
type teamSubjects struct {
	organisation, team *subject
}

// NewLimiter returns a limiter that applies whole limits, as the only daemon, until Nodes is set.
func NewLimiter() *Limiter {
	return &Limiter{Nodes: func() Nodes { return Nodes{Live: 1, All: 1} }, subjects: map[string]*subject{}}
}

// Permit is an admitted request; it must be released when the request ends.
type Permit struct {
	subjects teamSubjects
}

// Release takes the ended request out of the concurrent requests of its team and organisation.
func (pmt Permit) Release() {
	pmt.subjects.organisation.finish()
	pmt.subjects.team.finish()
}

// Acquire admits a request or returns a denial with the limit that it would exceed.
func (lim *Limiter) Acquire(now time.Time, idx *inventory.Index, ref inventory.TeamRef) (Permit, *Denial) {
	sub := lim.lookUp(now, idx).teams[ref]
	if den := sub.team.start(now); den != nil {
		return Permit{}, den
	}
	if den := sub.organisation.start(now); den != nil {
		sub.team.finish()
		return Permit{}, den
	}
	return Permit{sub}, nil
}

func (lim *Limiter) lookUp(now time.Time, idx *inventory.Index) *table {
	if tab := lim.table.Load(); tab != nil && tab.index == idx {
		return tab
	}
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	// Another request may have built the table while this one waited for the mutex.
	if tab := lim.table.Load(); tab != nil && tab.index == idx {
		return tab
	}
	tab := &table{index: idx, teams: map[inventory.TeamRef]teamSubjects{}}
	kept := map[string]*subject{}
	for _, org := range idx.Configuration.Organisations {
		whole := lim.subject(now, kept, org.Name, org.Limits)
		for _, tem := range org.Teams {
			ref := inventory.TeamRef{Organisation: org.Name, Team: tem.Name}
			one := teamSubjects{organisation: whole, team: lim.subject(now, kept, ref.String(), tem.Limits)}
			if one != (teamSubjects{}) {
				tab.teams[ref] = one
			}
		}
	}
	lim.subjects = kept
	lim.table.Store(tab)
	return tab
}

func (lim *Limiter) subject(now time.Time, kept map[string]*subject, name string, limits inventory.Limits) *subject {
	if limits == (inventory.Limits{}) {
		return nil
	}
	sub, ok := lim.subjects[name]
	if !ok {
		sub = newSubject(name)
	}
	kept[name] = sub
	sub.configure(now, limits, lim.Nodes())
	return sub
}

// subject is a team or organisation with a limit, named organisation or organisation/team. A nil subject has no limit.
type subject struct {
	name string

	mutex   sync.Mutex
	limits  inventory.Limits
	share   Share
	expires time.Time
	bucket  *rate.Limiter
	// static detects demand beyond the daemon's static share, which is reported to the owner. It refuses no request.
	static   *rate.Limiter
	inFlight int
	// demand covers the time from since, which is the last report or the last end of a period that needed no report.
	demand demand
	since  time.Time
	// idleReports is the number of consecutive reports without demand.
	idleReports int
	// owner is the incarnation that granted the share, empty without a share or when the organisation has a new owner.
	// The next report is due at the time in due; reportedRate (requests/s) is the demand in the last one.
	// grantedBelowLimit is true if the reply asked for the rare reports of organisations that are not near their limit.
	owner             string
	due               time.Time
	reportedRate      float64
	grantedBelowLimit bool
}

// demand counts the requests of callers, admitted and refused.
type demand struct {
	requests int
	// peak is the largest number of requests in flight at once.
	peak int
	// concurrencyRefusals counts the refusals for concurrency; refused is true after a refusal of any kind and
	// beyondStatic after a request beyond the static share.
	concurrencyRefusals   int
	refused, beyondStatic bool
}

func newSubject(name string) *subject {
	return &subject{name: name, bucket: rate.NewLimiter(rate.Inf, 0), static: rate.NewLimiter(rate.Inf, 0)}
}

// configure applies the limits of a new configuration. If they differ, the default share replaces a granted one.
func (sub *subject) configure(now time.Time, limits inventory.Limits, nodes Nodes) {
	sub.mutex.Lock()
	defer sub.mutex.Unlock()
	if sub.limits == limits {
		return
	}
	sub.limits = limits
	// A share of the old limits must not outlast them; the owner grants one of the new limits on the next report.
	sub.applyDefaultShare(now, nodes, false)
}

// applyDefaultShare applies the share of a daemon to which the owner has granted none: the static share if the
// organisation is over its limit, otherwise the overcommitted one. The caller holds the mutex.
func (sub *subject) applyDefaultShare(now time.Time, nodes Nodes, over bool) {
	share := StaticShare(sub.limits, nodes.All)
	sub.static = sub.resize(now, sub.static, share.Rate, false)
	if !over {
		share = OvercommittedShare(sub.limits, nodes)
	}
	sub.owner = ""
	sub.set(now, share, false, time.Time{})
}

// set applies a share; the caller holds the mutex.
func (sub *subject) set(now time.Time, share Share, overLimit bool, expires time.Time) {
	sub.share, sub.expires = share, expires
	sub.bucket = sub.resize(now, sub.bucket, share.Rate, overLimit)
}

// resize sets a bucket's rate and burst; the bucket keeps its tokens up to the new burst.
// If the organisation is over its limit, the burst is one second of the share without the minimum of minBurst,
// because the minimum bursts of 400 daemons together exceed a limit by far.
func (sub *subject) resize(now time.Time, bucket *rate.Limiter, perSecond float64, overLimit bool) *rate.Limiter {
	limit := sub.limits.RequestsPerSecond
	if limit == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	smallest := min(minBurst, int(math.Ceil(limit*minBurst)))
	if overLimit {
		smallest = 1
	}
	burst := max(smallest, int(math.Ceil(perSecond)))
	if bucket.Limit() == rate.Inf {
		return rate.NewLimiter(rate.Limit(perSecond), burst)
	}
	if bucket.Limit() != rate.Limit(perSecond) || bucket.Burst() != burst {
		bucket.SetLimitAt(now, rate.Limit(perSecond))
		bucket.SetBurstAt(now, burst)
	}
	return bucket
}

func (sub *subject) start(now time.Time) *Denial {
	if sub == nil {
		return nil
	}
	sub.mutex.Lock()
	defer sub.mutex.Unlock()
	if sub.since.IsZero() {
		sub.since = now
	}
	sub.demand.requests++
	if !sub.static.AllowN(now, 1) {
		sub.demand.beyondStatic = true
	}
	if sub.limits.Concurrent > 0 && sub.inFlight >= sub.share.Concurrent {
		sub.demand.concurrencyRefusals++
		sub.demand.refused = true
		return &Denial{Reason: fmt.Sprintf("%s has its share of %d concurrent requests in flight", sub.name, sub.share.Concurrent), RetryAfterSeconds: 1}
	}
	if !sub.bucket.AllowN(now, 1) {
		sub.demand.refused = true
		return &Denial{Reason: fmt.Sprintf("%s exceeds its share of %.3g requests/s", sub.name, sub.share.Rate), RetryAfterSeconds: retryAfter(sub.share.Rate)}
	}
	sub.inFlight++
	sub.demand.peak = max(sub.demand.peak, sub.inFlight)
	return nil
}

func (sub *subject) finish() {
	if sub == nil {
		return
	}
	sub.mutex.Lock()
	defer sub.mutex.Unlock()
	sub.inFlight--
}

func retryAfter(perSecond float64) int {
	if perSecond <= 0 {
		return maxRetryAfterSeconds
	}
	return min(max(int(math.Ceil(1/perSecond)), 1), maxRetryAfterSeconds)
}

// StaticShare is a daemon's equal part of a limit, which needs no grant from the owner.
// If there are more daemons than concurrent requests, each daemon allows two of them, or one if the limit is one,
// so that a small limit does not refuse all callers of a daemon.
func StaticShare(limits inventory.Limits, nodes int) Share {
	nodes = max(nodes, 1)
	concurrent := (limits.Concurrent + nodes - 1) / nodes
	if limits.Concurrent < nodes {
		concurrent = min(limits.Concurrent, minConcurrent)
	}
	return Share{Rate: limits.RequestsPerSecond / float64(nodes), Concurrent: concurrent}
}

// OvercommittedShare is a daemon's part of a limit while the owner does not see the organisation near its limit.
// In a large deployment without a partition it is a multiple of the static share.
func OvercommittedShare(limits inventory.Limits, nodes Nodes) Share {
	share := StaticShare(limits, nodes.All)
	if nodes.mayOvercommit() {
		share.Rate *= overcommitFactor
		share.Concurrent = max(share.Concurrent, (overcommitFactor*limits.Concurrent+nodes.All-1)/nodes.All)
	}
	return share
}
