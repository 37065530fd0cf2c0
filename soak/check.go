package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"papayacroft/standin"
)

const (
	// maxMemory is the resident memory in bytes that a daemon may use at the target size.
	maxMemory = 128 << 20
	// maxDescriptors is the limit on open descriptors of a process on the users' machines, less those reserved for files.
	maxDescriptors = 3900
	// revokeTime is how long a daemon may accept a key after the configuration without it (revokeMs on the users' sites).
	revokeTime = 5 * time.Second
	// catchUpTime is how long after the last fault a daemon may use an old configuration (catchUpS on the users' sites).
	catchUpTime = 4 * time.Second
	// rollbackSlack is how long after a response by one configuration version a response by an older one may still
	// arrive (rollbackSlackMs on the users' sites).
	rollbackSlack = 250 * time.Millisecond
	// drainSlack is the longest transit time to an endpoint of a request sent before the end of drainTime.
	drainSlack = 250 * time.Millisecond
	// lossSlack is how long after it was sent a request may fail unread, without a run (lossSlackMs on the users' sites).
	lossSlack = 200 * time.Millisecond
	// maxListed is the number of findings of one kind that are printed.
	maxListed = 5
)

// report is the result of a run.
type report struct {
	findings []string
	calls    int
	statuses map[int]int
	memory   int64
}

// check compares what callers and endpoints recorded with the guarantees of the daemons. From quietFrom on, when no
// fault is active, each call with the key that is always valid must succeed.
func (wld *world) check(quietFrom time.Time) *report {
	wld.mutex.Lock()
	defer wld.mutex.Unlock()
	rpt := &report{calls: len(wld.calls), statuses: map[int]int{}, memory: wld.memory}
	runs := map[string][]standin.SiteRun{}
	for _, eng := range wld.engines {
		all, drains := eng.runs()
		for i, run := range all {
			runs[run.CallID] = append(runs[run.CallID], run)
			if finding := wld.checkDrain(run, drains[i]); finding != "" {
				rpt.findings = append(rpt.findings, finding)
			}
		}
	}
	for _, cal := range wld.calls {
		rpt.statuses[cal.status]++
		for _, one := range []func(*call, []standin.SiteRun) string{checkRuns, checkAnswer, checkAbandoned, wld.checkKey, wld.checkLoss} {
			if finding := one(cal, runs[cal.id]); finding != "" {
				rpt.findings = append(rpt.findings, fmt.Sprintf("%s (%s of %s at %s, key %s, sent %.3f s, took %.3f s, status %d, %v)", finding, cal.id, cal.route,
					cal.daemon.name, cal.key, cal.sent.Sub(wld.began).Seconds(), cal.ended.Sub(cal.sent).Seconds(), cal.status, cal.err))
			}
		}
		if cal.sent.After(quietFrom) && cal.key == "one" && !cal.abandoned && (!cal.complete || cal.status != http.StatusOK) {
			rpt.findings = append(rpt.findings, fmt.Sprintf("not served although no fault was active: %s of %s at %s, status %d, %s, %v",
				cal.id, cal.route, cal.daemon.name, cal.status, cal.body, cal.err))
		}
	}
	rpt.findings = append(rpt.findings, wld.checkRollback()...)
	for _, dmn := range wld.daemons {
		rpt.findings = append(rpt.findings, dmn.findings...)
	}
	if wld.memory > maxMemory || wld.descriptors > maxDescriptors {
		rpt.findings = append(rpt.findings, fmt.Sprintf("a daemon used %d bytes and %d descriptors, want %d and %d at most",
			wld.memory, wld.descriptors, maxMemory, maxDescriptors))
	}
	return rpt
}

// checkRuns checks that a request runs at most once, or as often as its route allows, and never if it was refused; and
// that the endpoint gets the caller's organisation and not the caller's key.
func checkRuns(cal *call, runs []standin.SiteRun) string {
	var begun int
	for _, run := range runs {
		if !run.Copied {
			begun++
		}
		if run.Authorized || run.Organisation != cal.key {
			return fmt.Sprintf("ran for organisation %q, key forwarded %t", run.Organisation, run.Authorized)
		}
	}
	most := 1
	if cal.repeatable() {
		most = maxAttempts
	}
	switch cal.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusUnauthorized:
		most = 0
	}
	if begun > most {
		return fmt.Sprintf("ran %d times, want %d at most", begun, most)
	}
	return ""
}

// checkAnswer checks that a complete response comes from the endpoint unchanged, and that events arrive once and in
// order.
func checkAnswer(cal *call, _ []standin.SiteRun) string {
	for i, event := range cal.events {
		if event != i+1 {
			return fmt.Sprintf("got events %v, want each once and in order", cal.events)
		}
	}
	switch {
	case cal.foreign:
		return "got an event of another request"
	case cal.status != http.StatusOK || !cal.complete:
		return ""
	case cal.isStream() && len(cal.events) != cal.wanted:
		return fmt.Sprintf("got a stream that looks complete after %d of %d events", len(cal.events), cal.wanted)
	case cal.signature == "":
		return "got a response without a signature"
	case !cal.isStream() && !strings.HasSuffix(cal.body, " to "+cal.id):
		return fmt.Sprintf("got the response %q", cal.body)
	}
	return ""
}

// checkAbandoned checks that no run of a request starts after its caller abandoned it, unless a fault kept the daemon from
// noticing that: a paused one reads what has arrived meanwhile only when it goes on.
func checkAbandoned(cal *call, runs []standin.SiteRun) string {
	if !cal.abandoned || cal.err == nil || len(runs) == 0 {
		return ""
	}
	last := slices.MaxFunc(runs, func(one, other standin.SiteRun) int { return one.At.Compare(other.At) })
	if last.At.After(cal.ended.Add(time.Second)) && !cal.daemon.wasDisturbed(cal.ended, last.At) {
		return "began to run after its caller had abandoned it"
	}
	return ""
}

// checkKey checks that a daemon never refuses the key that all configurations have, and that it doesn't accept the key
// two for longer than revokeTime after a configuration without it.
func (wld *world) checkKey(cal *call, _ []standin.SiteRun) string {
	if cal.key == "one" {
		if cal.status == http.StatusUnauthorized {
			return "got 401 for a key that all configurations have"
		}
		return ""
	}
	var last keyVersion
	for _, one := range wld.keys {
		if one.at.Before(cal.sent) {
			last = one
		}
	}
	// A daemon that no fault has hit for catchUpTime has the last version, whatever faults hit it before.
	if cal.daemon.wasDisturbed(cal.sent.Add(-catchUpTime), cal.ended) {
		return ""
	}
	if !last.hasTwo && cal.sent.Sub(last.at) > revokeTime && cal.status == http.StatusOK {
		return "got a success for a revoked key"
	}
	return ""
}

// checkLoss checks that no request fails in transit while only planned work is in progress, except for long streams at the
// end of a planned stop, or at the end of their endpoint if no other one could continue them.
func (wld *world) checkLoss(cal *call, runs []standin.SiteRun) string {
	if cal.err == nil || cal.abandoned || cal.daemon.mayBreakOff(cal) || wld.endedWithEngine(cal) {
		return ""
	}
	for _, one := range wld.unplanned {
		if one.from.Before(cal.ended) && cal.sent.Add(-detectionTime).Before(one.to) {
			return ""
		}
	}
	if len(runs) > 0 || cal.ended.Sub(cal.sent) > lossSlack && cal.status != 0 {
		return "broken off although only planned work was in progress"
	}
	return ""
}

// endedWithEngine reports whether a stream broke off when an endpoint ended, and no other endpoint of the service was there
// for it in the detectionTime before.
func (wld *world) endedWithEngine(cal *call) bool {
	if !cal.isStream() {
		return false
	}
	isEnded := false
	for _, eng := range wld.engines {
		if eng.service != streamService {
			continue
		}
		if eng.wasAvailable(cal.ended.Add(-detectionTime), cal.ended) {
			return false
		}
		isEnded = isEnded || eng.endedBetween(cal.ended.Add(-lossSlack), cal.ended)
	}
	return isEnded
}

// checkRollback checks that a process doesn't return to an older configuration: once it has refused the key two, it must
// not accept the key before a new configuration has it again. Refusals within catchUpTime after the last configuration
// with the key are ignored, because a process that is behind may still apply several versions in turn: it refuses the
// key by one version, accepts it by the next and refuses it by the last.
func (wld *world) checkRollback() []string {
	type process struct {
		daemon      *daemon
		incarnation int
	}
	var findings []string
	refused := map[process]time.Time{}
	calls := slices.Clone(wld.calls)
	slices.SortFunc(calls, func(one, other *call) int { return one.ended.Compare(other.ended) })
	var granted time.Time
	next := 0
	for _, cal := range calls {
		for ; next < len(wld.keys) && wld.keys[next].at.Before(cal.ended); next++ {
			if wld.keys[next].hasTwo {
				clear(refused)
				granted = wld.keys[next].at
			}
		}
		prc := process{cal.daemon, cal.daemon.incarnation(cal.sent)}
		since, ok := refused[prc]
		switch {
		case cal.key != "two":
		case cal.status == http.StatusUnauthorized && !ok && cal.sent.Sub(granted) > catchUpTime:
			refused[prc] = cal.ended
		case cal.status == http.StatusOK && ok && cal.sent.Sub(since) > rollbackSlack:
			findings = append(findings, fmt.Sprintf("%s accepted key two for %s after it had refused it", cal.daemon.name, cal.id))
		}
	}
	return findings
}

// checkDrain checks that no run begins at an endpoint later than drainTime after the endpoint announced that it drains,
// unless a fault hit a daemon meanwhile.
func (wld *world) checkDrain(run standin.SiteRun, drain time.Time) string {
	if drain.IsZero() || run.Copied || run.At.Sub(drain) < drainTime+drainSlack {
		return ""
	}
	for _, dmn := range wld.daemons {
		if dmn.wasDisturbed(drain.Add(-detectionTime), run.At) {
			return ""
		}
	}
	return fmt.Sprintf("%s began at an endpoint %.3f s after the endpoint announced that it drains", run.CallID, run.At.Sub(drain).Seconds())
}

// list returns the findings, at most maxListed of each kind. The first four words tell the kind.
func (rpt *report) list() []string {
	var lines []string
	counts := map[string]int{}
	for _, finding := range rpt.findings {
		kind := strings.SplitN(finding, " (", 2)[0]
		kind = strings.Join(strings.Fields(kind)[:min(4, len(strings.Fields(kind)))], " ")
		if counts[kind]++; counts[kind] <= maxListed {
			lines = append(lines, finding)
		}
	}
	return lines
}
