package limit

import (
	"maps"
	"math"
	"math/bits"
	"slices"
	"sync"
	"time"

	"papayacroft/inventory"
)

const (
	// reportsPerSecond is the rate at which an owner wants to receive reports of organisations over their limit.
	// A report and its answer take about 230 bytes, so this costs the owner 1.2 KB/s.
	reportsPerSecond = 5
	// belowLimitInterval is the time between reports of organisations that are not near their limit.
	belowLimitInterval = time.Minute
	// maxReportInterval bounds the time between reports; 500 reporting daemons reach it.
	maxReportInterval = 100 * time.Second
	// OverLimitTime is how long an organisation counts as over its limit after the last report that showed it so.
	OverLimitTime = time.Minute
	// overLimitFraction is the fraction of a limit above which the reported demand counts as over it. The remainder
	// allows for daemons that send no reports because they stay within their static shares.
	overLimitFraction = 0.5
)

// confirmTime is how long after a change of members an owner raises no shares. It covers the spread of the change
// by gossip, one exchange a second for each doubling of the members, and the period within which daemons report
// the shares that they hold to the new owner.
func confirmTime(live int) time.Duration {
	return Period + time.Duration(bits.Len(uint(live)))*time.Second
}

// Owner grants shares of the limits of the organisations that this daemon owns.
type Owner struct {
	mutex    sync.Mutex
	subjects map[string]*ownedSubject
	// members identifies the set of live daemons and changedAt is when it last changed.
	members   string
	changedAt time.Time
}

// Nodes counts the daemons that share the limits.
type Nodes struct {
	// Live counts the daemons that can reach this one; All adds those that may be on the other side of a partition.
	Live, All int
}

func (nds Nodes) small() bool { return nds.All <= smallDeployment }

// mayOvercommit reports whether daemons may use more than their static shares of organisations that are not over
// their limit.
func (nds Nodes) mayOvercommit() bool {
	return !nds.small() && float64(nds.Live) >= minLiveFraction*float64(nds.All)
}

// grantable returns the part of the limits that the owner may grant. The remainder is left for the static shares
// of the daemons that can't reach the owner.
func (nds Nodes) grantable(limits inventory.Limits) inventory.Limits {
	live, all := max(nds.Live, 1), max(nds.All, nds.Live, 1)
	return inventory.Limits{
		RequestsPerSecond: limits.RequestsPerSecond * float64(live) / float64(all),
		Concurrent:        (limits.Concurrent*live + all - 1) / all,
	}
}

// ownedSubject is the owner's record of one team or organisation.
type ownedSubject struct {
	// confirmUntil is when all shares of an earlier owner have expired or been reported to this one; until then
	// no share is raised.
	confirmUntil time.Time
	nodes        map[string]*nodeDemand
	// overSince and overUntil are the times between which the subject counts as over its limit.
	overSince, overUntil time.Time
}

// nodeDemand is the demand that one daemon reported and the share that it may be using.
type nodeDemand struct {
	rate       float64
	concurrent int
	// outstanding is the larger of the granted share and the one that the daemon held when it reported: the daemon
	// keeps the latter if the reply is lost. Its next report contains the one that it uses.
	outstanding Share
	expires     time.Time
}

// NewOwner returns an owner that has granted no shares.
func NewOwner() *Owner {
	return &Owner{subjects: map[string]*ownedSubject{}}
}

// Grant answers a daemon's reports with shares of the limits in the configuration. The unexpired grants of a limit
// add up to at most the limit, except where the shares of an earlier owner already exceeded it and where large
// deployments overcommit the limit of an organisation that is not over it.
func (own *Owner) Grant(now time.Time, cfg *inventory.Configuration, nodes Nodes, req ShareRequest) ShareReply {
	own.mutex.Lock()
	defer own.mutex.Unlock()
	var rep ShareReply
	interval := maxReportInterval
	var demands []*nodeDemand
	for _, one := range req.Reports {
		var share *Share
		if limits := Limits(cfg, one.Subject); limits != (inventory.Limits{}) {
			granted, dem := own.grant(now, limits, nodes, req.Node, one)
			share = &granted
			interval = min(interval, own.reportInterval(now, own.subjects[one.Subject]))
			demands = append(demands, dem)
			organisation := Organisation(one.Subject)
			if own.subjects[one.Subject].wantsMoreThan(limits, 1) && !slices.Contains(rep.Over, organisation) {
				rep.Over = append(rep.Over, organisation)
			}
		}
		rep.Shares = append(rep.Shares, share)
	}
	rep.NextReportSeconds = interval.Seconds()
	for _, dem := range demands {
		// If this reply is lost, the daemon keeps an earlier share, which may expire later.
		dem.expires = later(dem.expires, now.Add(lifetime(interval)))
	}
	return rep
}

// reportInterval returns the time after which the owner wants the next report of a subject. It grows with the number
// of reports that the owner receives of organisations over their limit.
func (own *Owner) reportInterval(now time.Time, sub *ownedSubject) time.Duration {
	switch {
	case now.Before(sub.overUntil):
		reporting := 0
		for _, other := range own.subjects {
			if now.Before(other.overUntil) {
				reporting += len(other.nodes)
			}
		}
		return min(max(time.Duration(reporting)*time.Second/reportsPerSecond, Period), maxReportInterval)
	case now.Before(sub.confirmUntil):
		return Period
	default:
		return belowLimitInterval
	}
}

// Over returns the organisations over or near their limit, each with the time until which it counts as such.
func (own *Owner) Over(now time.Time) map[string]time.Time {
	own.mutex.Lock()
	defer own.mutex.Unlock()
	over := map[string]time.Time{}
	for name, sub := range own.subjects {
		if organisation := Organisation(name); now.Before(sub.overUntil) {
			over[organisation] = later(over[organisation], sub.overUntil)
		}
	}
	return over
}

func (own *Owner) grant(now time.Time, limits inventory.Limits, nodes Nodes, node string, rep Report) (Share, *nodeDemand) {
	sub, ok := own.subjects[rep.Subject]
	if !ok {
		sub = &ownedSubject{confirmUntil: later(own.changedAt.Add(confirmTime(nodes.Live)), now.Add(Period)), nodes: map[string]*nodeDemand{}}
		own.subjects[rep.Subject] = sub
	}
	sub.expire(now, node)
	dem, known := sub.nodes[node]
	if !known {
		dem = &nodeDemand{}
		sub.nodes[node] = dem
	}
	dem.rate, dem.concurrent = max(rep.Wanted.Rate, 0), max(rep.Wanted.Concurrent, 0)
	var held Share
	if rep.Held != nil {
		held = Share{
			Rate:       min(max(rep.Held.Rate, 0), limits.RequestsPerSecond),
			Concurrent: min(max(rep.Held.Concurrent, 0), limits.Concurrent),
		}
	}
	if sub.wantsMoreThan(limits, overLimitFraction) {
		if !now.Before(sub.overUntil) {
			sub.overSince = now
		}
		sub.overUntil = now.Add(OverLimitTime)
	}
	var granted Share
	switch {
	case !now.Before(sub.confirmUntil):
		granted = sub.fairShare(sub.unreserved(now, limits, nodes), max(nodes.Live, 1), node)
	case rep.Held != nil:
		granted = held
	default:
		granted = StaticShare(limits, nodes.All)
	}
	granted = sub.bound(limits, node, granted)
	if nodes.mayOvercommit() && !now.Before(sub.overUntil) {
		// A daemon that sends no reports may use this share, so one that does must not get less.
		overcommitted := OvercommittedShare(limits, nodes)
		granted = Share{Rate: max(granted.Rate, overcommitted.Rate), Concurrent: max(granted.Concurrent, overcommitted.Concurrent)}
	}
	dem.outstanding = Share{Rate: max(granted.Rate, held.Rate), Concurrent: max(granted.Concurrent, held.Concurrent)}
	return granted, dem
}

// unreserved returns the part of the limits that the owner may grant now. Until gossip has informed all daemons
// that the organisation is over its limit, the static shares of daemons that have not reported are reserved.
func (sub *ownedSubject) unreserved(now time.Time, limits inventory.Limits, nodes Nodes) inventory.Limits {
	part := nodes.grantable(limits)
	unreported := max(nodes.Live-len(sub.nodes), 0)
	if !now.Before(sub.overSince.Add(confirmTime(nodes.Live))) || unreported == 0 {
		return part
	}
	static := StaticShare(limits, nodes.All)
	return inventory.Limits{
		RequestsPerSecond: max(0, part.RequestsPerSecond-float64(unreported)*static.Rate),
		Concurrent:        max(0, part.Concurrent-unreported*static.Concurrent),
	}
}

// wantsMoreThan reports whether the demand of all reporting daemons exceeds a part of the limit.
func (sub *ownedSubject) wantsMoreThan(limits inventory.Limits, part float64) bool {
	var rate, concurrent float64
	for _, dem := range sub.nodes {
		rate += dem.rate
		concurrent += float64(dem.concurrent)
	}
	return limits.RequestsPerSecond > 0 && rate > limits.RequestsPerSecond*part ||
		limits.Concurrent > 0 && concurrent > float64(limits.Concurrent)*part
}

// Observe records the live daemons. If they changed, it removes the organisations that this daemon no longer owns.
func (own *Owner) Observe(now time.Time, members string, owned func(organisation string) bool) {
	own.mutex.Lock()
	defer own.mutex.Unlock()
	if own.members == members {
		return
	}
	own.members, own.changedAt = members, now
	maps.DeleteFunc(own.subjects, func(name string, _ *ownedSubject) bool { return !owned(Organisation(name)) })
}

// expire removes the daemons whose shares have expired, except the reporting one, which may still hold its share.
func (sub *ownedSubject) expire(now time.Time, asking string) {
	maps.DeleteFunc(sub.nodes, func(node string, dem *nodeDemand) bool {
		return node != asking && !now.Before(dem.expires)
	})
}

// fairShare computes one daemon's share by max-min fairness. Live daemons that have not reported take part with a
// demand of zero, so that a part of the surplus is available when they begin to report.
func (sub *ownedSubject) fairShare(limits inventory.Limits, live int, node string) Share {
	names := slices.Sorted(maps.Keys(sub.nodes))
	slots := max(len(names), live)
	rates, concurrent := make([]float64, slots), make([]float64, slots)
	scale := 1.0
	if !sub.wantsMoreThan(limits, overLimitFraction) {
		// Organisations below their limit are reported rarely, so the share allows for twice the demand.
		scale = 1 / overLimitFraction
	}
	for i, name := range names {
		rates[i], concurrent[i] = scale*sub.nodes[name].rate, scale*float64(sub.nodes[name].concurrent)
	}
	pos := slices.Index(names, node)
	whole := wholeNumbers(limits.Concurrent, Divide(float64(limits.Concurrent), concurrent))
	if limits.Concurrent > 0 {
		// With more daemons than concurrent requests, some daemons get none of them and could not use a rate.
		for i := range names {
			if whole[i] == 0 {
				rates[i] = 0
			}
		}
	}
	return Share{Rate: Divide(limits.RequestsPerSecond, rates)[pos], Concurrent: whole[pos]}
}

// bound limits a share to the limit minus the outstanding shares of the other daemons.
func (sub *ownedSubject) bound(limits inventory.Limits, node string, share Share) Share {
	left := Share{Rate: limits.RequestsPerSecond, Concurrent: limits.Concurrent}
	for name, dem := range sub.nodes {
		if name != node {
			left.Rate -= dem.outstanding.Rate
			left.Concurrent -= dem.outstanding.Concurrent
		}
	}
	return Share{Rate: roundDown(max(0, min(share.Rate, left.Rate))), Concurrent: max(0, min(share.Concurrent, left.Concurrent))}
}

// roundDown cuts off decimal places of a rate, so that it takes fewer bytes in a message.
func roundDown(value float64) float64 {
	const coarse, fine = 1e3, 1e6
	if value >= 1 {
		return math.Floor(value*coarse) / coarse
	}
	return math.Floor(value*fine) / fine
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// Prune removes the subjects that no daemon reports any more.
func (own *Owner) Prune(now time.Time) {
	own.mutex.Lock()
	defer own.mutex.Unlock()
	maps.DeleteFunc(own.subjects, func(_ string, sub *ownedSubject) bool {
		sub.expire(now, "")
		return len(sub.nodes) == 0
	})
}

// Divide splits a limit by max-min fairness: no demand is cut while a larger one is met in full.
// What exceeds the sum of the demands is added in equal parts, so that rising demand is met before the next period.
func Divide(limit float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(one, other int) int {
		switch {
		case demands[one] < demands[other]:
			return -1
		case demands[one] > demands[other]:
			return 1
		default:
			return 0
		}
	})
	shares := make([]float64, len(demands))
	left := limit
	for rank, i := range order {
		shares[i] = min(demands[i], left/float64(len(order)-rank))
		left -= shares[i]
	}
	for i := range shares {
		shares[i] += left / float64(len(shares))
	}
	return shares
}

// wholeNumbers rounds shares to whole numbers by the largest-remainder method; of equal fractions the first is
// rounded up first.
func wholeNumbers(limit int, shares []float64) []int {
	whole := make([]int, len(shares))
	order := make([]int, len(shares))
	left := limit
	for i, share := range shares {
		whole[i], order[i] = int(math.Floor(share)), i
		left -= whole[i]
	}
	slices.SortStableFunc(order, func(one, other int) int {
		switch a, b := shares[one]-math.Floor(shares[one]), shares[other]-math.Floor(shares[other]); {
		case a > b:
			return -1
		case a < b:
			return 1
		default:
			return 0
		}
	})
	for _, i := range order {
		if left <= 0 {
			break
		}
		whole[i]++
		left--
	}
	return whole
}
