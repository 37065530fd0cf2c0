package limit

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/inventory"
)

const (
	// Period is the shortest time between two reports of one limit to its owner.
	Period = 2 * time.Second
	// dueTolerance is how long before its due time a report may be sent, so that it goes with the present period
	// instead of the next.
	dueTolerance = Period / 4
	// lifetimePeriods is the lifetime of a share in report intervals; a share outlasts two lost messages.
	lifetimePeriods = 3
	// ShareLifetime is how long a share is valid after it was requested, if its owner wants the next report
	// after one period. After a request that the owner does not answer, it bounds the remaining validity.
	ShareLifetime = lifetimePeriods * Period
	// maxIdleReports is the number of consecutive reports without demand after which a subject is no longer reported.
	maxIdleReports = 3
	// maxMessages bounds the messages that a daemon sends in one period. A small deployment may send more, so that
	// a daemon of 8 sends reports to the 7 other owners within two periods, before a share expires.
	maxMessages, maxMessagesSmallDeployment = 1, 4
	// maxCandidates bounds the subjects whose owners are looked up in one period. A small deployment looks up more,
	// because several subjects have the same owner and go into one message.
	maxCandidates, maxCandidatesSmallDeployment = 4, 32
	// maxReportDelay is how long a due report of a larger deployment may wait: the time of ten messages of a daemon.
	maxReportDelay = 10 * Period
	// nonUrgentPause is the time between two messages of a daemon in a larger deployment if no report is urgent.
	nonUrgentPause = 2 * Period
	// One period in urgencyIgnoredEvery orders reports by their due times only. Otherwise reports that are not urgent
	// might never be sent, and shares that are no longer used would keep other daemons from using the limit.
	urgencyIgnoredEvery = 4
	// growthFactor and growthRate (requests/s) are the growth of demand since the last report that justifies a report
	// before it is due; smaller growth may be the noise of a few requests.
	growthFactor, growthRate = 2, 1
)

// Report is a daemon's demand under one limit, and the share that the daemon holds.
type Report struct {
	Subject string
	Wanted  Share
	// Held is nil while the daemon has no share that an owner granted.
	Held *Share
}

// MarshalJSON formats the report as an array, which takes half the bytes of an object.
func (rep Report) MarshalJSON() ([]byte, error) {
	fields := []any{rep.Subject, rep.Wanted}
	if rep.Held != nil {
		fields = append(fields, rep.Held)
	}
	data, err := json.Marshal(fields)
	return data, trace.Wrap(err)
}

// UnmarshalJSON parses the array that MarshalJSON formats.
func (rep *Report) UnmarshalJSON(data []byte) error {
	return trace.Wrap(json.Unmarshal(data, &[]any{&rep.Subject, &rep.Wanted, &rep.Held}))
}

// MarshalJSON formats the share as an array.
func (shr Share) MarshalJSON() ([]byte, error) {
	data, err := json.Marshal([2]float64{shr.Rate, float64(shr.Concurrent)})
	return data, trace.Wrap(err)
}

// UnmarshalJSON parses the array that MarshalJSON formats.
func (shr *Share) UnmarshalJSON(data []byte) error {
	return trace.Wrap(json.Unmarshal(data, &[]any{&shr.Rate, &shr.Concurrent}))
}

// ShareRequest is the message with a daemon's reports to an owner.
type ShareRequest struct {
	Node    string   `json:"node"`
	Reports []Report `json:"reports"`
}

// ShareReply holds a share for each report in order, or nil where the owner's configuration sets no limit.
type ShareReply struct {
	Shares []*Share `json:"shares"`
	// NextReportSeconds is the time after which the owner wants the next report.
	NextReportSeconds float64 `json:"again"`
	// Over holds the organisations of the request whose demand over all daemons exceeds the limit.
	Over []string `json:"over,omitempty"`
}

// reportInterval returns NextReportSeconds within bounds, so that no value in a reply stops this daemon's reports.
func (rep ShareReply) reportInterval() time.Duration {
	return min(max(time.Duration(rep.NextReportSeconds*float64(time.Second)), Period), maxReportInterval)
}

// lifetime returns how long a share is valid if its owner wants the next report after an interval. Intervals of more
// than a period add maxReportDelay, since in larger deployments a report may wait until others have been sent.
func lifetime(interval time.Duration) time.Duration {
	if interval > Period {
		return lifetimePeriods*interval + maxReportDelay
	}
	return lifetimePeriods * interval
}

// Organisation returns the organisation of a subject; its owner grants the shares of its teams too.
func Organisation(subject string) string {
	organisation, _, _ := strings.Cut(subject, "/")
	return organisation
}

// candidate is a subject that should be reported to its owner. It is urgent if requests were refused or the
// organisation is over its limit. Of equally urgent candidates the one with the earliest time in since goes first.
type candidate struct {
	name   string
	urgent bool
	since  time.Time
}

// Candidates ends a period and returns the subjects to report to their owners: urgent ones first, then those that
// have waited longest. Demand within the static share is not reported, unless the organisation is over its limit.
func (lim *Limiter) Candidates(now time.Time, over func(organisation string) bool) []string {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	nodes := lim.Nodes()
	var candidates []candidate
	for name, sub := range lim.subjects {
		if cdt, ok := sub.candidate(now, nodes, func() bool { return over(Organisation(name)) }); ok {
			candidates = append(candidates, cdt)
		}
	}
	lim.periods++
	ignoreUrgency := lim.periods%urgencyIgnoredEvery == 0
	slices.SortFunc(candidates, func(one, other candidate) int {
		if one.urgent != other.urgent && !ignoreUrgency {
			if one.urgent {
				return -1
			}
			return 1
		}
		return cmp.Or(one.since.Compare(other.since), cmp.Compare(one.name, other.name))
	})
	most, pausing := maxCandidates, now.Add(dueTolerance).Before(lim.reportedAt.Add(nonUrgentPause))
	if nodes.small() {
		most, pausing = maxCandidatesSmallDeployment, false
	}
	var names []string
	for _, cdt := range candidates[:min(len(candidates), most)] {
		if cdt.urgent || !pausing {
			names = append(names, cdt.name)
		}
	}
	return names
}

func (sub *subject) candidate(now time.Time, nodes Nodes, over func() bool) (candidate, bool) {
	sub.mutex.Lock()
	defer sub.mutex.Unlock()
	held := now.Before(sub.expires)
	if !held && sub.demand == (demand{}) {
		sub.since = now
		return candidate{}, false
	}
	wanted, overLimit, due := sub.wanted(now), over(), sub.due
	if overLimit && sub.grantedBelowLimit {
		// The owner granted this share before the organisation was over its limit, so a report is due now.
		due = sub.since
	}
	if now.Add(dueTolerance).Before(due) && !(sub.demand.refused && wanted.Rate > growthFactor*sub.reportedRate+growthRate) {
		return candidate{}, false
	}
	if !overLimit && !sub.needsReport(wanted, StaticShare(sub.limits, nodes.All), held) {
		sub.restart(now)
		return candidate{}, false
	}
	urgent := sub.demand.refused || overLimit
	if !urgent {
		due = later(due, sub.since)
	}
	return candidate{sub.name, urgent, due}, sub.idleReports < maxIdleReports || sub.demand != (demand{})
}

// needsReport reports whether the subject has to be reported to the owner though it is not over its limit.
func (sub *subject) needsReport(wanted, static Share, held bool) bool {
	switch {
	case sub.demand.refused || wanted.Concurrent > static.Concurrent:
		return true
	case !held:
		return sub.demand.beyondStatic
	default:
		// A new owner needs a report of each share that an earlier one granted.
		return wanted.Rate > static.Rate || sub.owner == ""
	}
}

// restart resets the demand to the requests in flight; the caller holds the mutex.
func (sub *subject) restart(now time.Time) {
	sub.demand, sub.since = demand{peak: sub.inFlight}, now
}

// Reports returns reports of the demand for subjects since their last reports.
func (lim *Limiter) Reports(now time.Time, names []string) []Report {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	var reports []Report
	for _, name := range names {
		if sub, ok := lim.subjects[name]; ok {
			reports = append(reports, sub.report(now))
			lim.reportedAt = now
		}
	}
	return reports
}

func (sub *subject) report(now time.Time) Report {
	sub.mutex.Lock()
	defer sub.mutex.Unlock()
	rep := Report{Subject: sub.name, Wanted: sub.wanted(now)}
	if now.Before(sub.expires) {
		share := sub.share
		rep.Held = &share
	}
	// After maxIdleReports the subject is no longer reported, so that its share expires.
	if sub.idleReports++; sub.demand != (demand{}) {
		sub.idleReports = 0
	}
	// If the owner does not answer, the next report follows in one period.
	sub.due, sub.reportedRate = now.Add(Period), rep.Wanted.Rate
	sub.restart(now)
	return rep
}

// wanted returns the demand since the last report; the caller holds the mutex.
func (sub *subject) wanted(now time.Time) (wanted Share) {
	dem := sub.demand
	if sub.limits.RequestsPerSecond > 0 {
		wanted.Rate = float64(dem.requests) / max(now.Sub(sub.since), Period).Seconds()
	}
	if sub.limits.Concurrent > 0 {
		// The number of refusals does not measure concurrency, so the demand at most doubles between two reports.
		wanted.Concurrent = min(dem.peak+min(dem.concurrencyRefusals, max(dem.peak, 1)), sub.limits.Concurrent)
	}
	return wanted
}

// Apply applies granted shares; requestedAt is the time at which the request was sent to the owner.
func (lim *Limiter) Apply(now, requestedAt time.Time, owner string, req ShareRequest, rep ShareReply) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	if len(rep.Shares) != len(req.Reports) {
		return
	}
	interval := rep.reportInterval()
	for i, one := range req.Reports {
		if sub, ok := lim.subjects[one.Subject]; ok && rep.Shares[i] != nil {
			sub.mutex.Lock()
			overLimit := slices.Contains(rep.Over, Organisation(one.Subject))
			sub.set(now, sub.clamp(*rep.Shares[i]), overLimit, requestedAt.Add(lifetime(interval)))
			sub.due, sub.owner, sub.grantedBelowLimit = requestedAt.Add(interval), owner, interval == belowLimitInterval
			sub.mutex.Unlock()
		}
	}
}

// RequestFailed shortens the validity of the shares in a request that the owner did not answer to ShareLifetime.
func (lim *Limiter) RequestFailed(now time.Time, req ShareRequest) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	for _, one := range req.Reports {
		if sub, ok := lim.subjects[one.Subject]; ok {
			sub.mutex.Lock()
			if bound := now.Add(ShareLifetime); sub.expires.After(bound) {
				sub.expires = bound
			}
			sub.mutex.Unlock()
		}
	}
}

// ReportToNewOwners makes a report due at once for each share whose organisation now has another owner.
func (lim *Limiter) ReportToNewOwners(owner func(organisation string) string) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	for name, sub := range lim.subjects {
		sub.mutex.Lock()
		if sub.owner != "" && owner(Organisation(name)) != sub.owner {
			sub.owner, sub.due = "", time.Time{}
		}
		sub.mutex.Unlock()
	}
}

// clamp limits a share to the limits of this daemon's own configuration.
func (sub *subject) clamp(share Share) Share {
	return Share{
		Rate:       min(max(share.Rate, 0), sub.limits.RequestsPerSecond),
		Concurrent: min(max(share.Concurrent, 0), sub.limits.Concurrent),
	}
}

// Expire replaces expired shares by the default share.
func (lim *Limiter) Expire(now time.Time, over func(organisation string) bool) {
	lim.mutex.Lock()
	defer lim.mutex.Unlock()
	nodes := lim.Nodes()
	for name, sub := range lim.subjects {
		sub.mutex.Lock()
		if !now.Before(sub.expires) {
			sub.applyDefaultShare(now, nodes, over(Organisation(name)))
		}
		sub.mutex.Unlock()
	}
}

// Limits returns a subject's limits in a configuration.
func Limits(cfg *inventory.Configuration, subject string) inventory.Limits {
	if strings.Contains(subject, "/") {
		tem, _ := cfg.Team(subject)
		return tem.Limits
	}
	return cfg.Organisations[subject].Limits
}
