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
	// maxMemory is the bound for each daemon at the size goal.
	maxMemory = 128 << 20
	// maxDescriptors is what the users' machines allow a process, less those reserved for files.
	maxDescriptors = 3900
	// revokeTime is how long a key that was taken away may be used (revokeMs on the users' sites).
	revokeTime = 5 * time.Second
	// catchUp is how long a process may be behind after the last disturbance (catchUpS on the users' sites).
	catchUp = 4 * time.Second
	// backSlack is how long after an effect of a version an older one may still show (rollbackSlackMs).
	backSlack = 250 * time.Millisecond
	// drainSlack is the time on the way for a request sent before the end of drainTime.
	drainSlack = 250 * time.Millisecond
	// lossSlack is how soon after it was sent a request may end unread (lossSlackMs).
	lossSlack = 200 * time.Millisecond
	// shown is the number of findings of one promise that are listed.
	shown = 5
)

// report is what a run showed.
type report struct {
	findings []string
	calls    int
	statuses map[int]int
	memory   int64
}

// check compares what callers and endpoints saw with what is promised.
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
		for _, one := range []func(*call, []standin.SiteRun) string{checkRuns, checkAnswer, checkLeft, wld.checkKey, wld.checkLoss} {
			if finding := one(cal, runs[cal.id]); finding != "" {
				rpt.findings = append(rpt.findings, fmt.Sprintf("%s (%s of %s at %s, key %s, sent %.3f s, took %.3f s, status %d, %v)", finding, cal.id, cal.route,
					cal.daemon.name, cal.key, cal.sent.Sub(wld.began).Seconds(), cal.ended.Sub(cal.sent).Seconds(), cal.status, cal.err))
			}
		}
		if cal.sent.After(quietFrom) && cal.key == "one" && !cal.left && (!cal.whole || cal.status != http.StatusOK) {
			rpt.findings = append(rpt.findings, fmt.Sprintf("not served though nothing disturbed the site: %s of %s at %s, status %d, %s, %v",
				cal.id, cal.route, cal.daemon.name, cal.status, cal.body, cal.err))
		}
	}
	rpt.findings = append(rpt.findings, wld.checkBack()...)
	for _, dmn := range wld.daemons {
		rpt.findings = append(rpt.findings, dmn.findings...)
	}
	if wld.memory > maxMemory || wld.descriptors > maxDescriptors {
		rpt.findings = append(rpt.findings, fmt.Sprintf("a daemon used %d bytes and %d descriptors, want %d and %d at most",
			wld.memory, wld.descriptors, maxMemory, maxDescriptors))
	}
	return rpt
}

// checkRuns checks that a request runs once, or as often as its route allows, and not if it was refused.
func checkRuns(cal *call, runs []standin.SiteRun) string {
	var begun int
	for _, run := range runs {
		if !run.Copied {
			begun++
		}
		if run.Authorized || run.Organisation != cal.key {
			return fmt.Sprintf("ran for organisation %q, key passed on %t", run.Organisation, run.Authorized)
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

// checkAnswer checks that a whole answer is the endpoint's, and that events come once and in order.
func checkAnswer(cal *call, _ []standin.SiteRun) string {
	for i, event := range cal.events {
		if event != i+1 {
			return fmt.Sprintf("got events %v, want each once and in order", cal.events)
		}
	}
	switch {
	case cal.foreign:
		return "got an event of another request"
	case cal.status != http.StatusOK || !cal.whole:
		return ""
	case cal.isStream() && len(cal.events) != cal.wanted:
		return fmt.Sprintf("got a stream that looks complete after %d of %d events", len(cal.events), cal.wanted)
	case cal.signature == "":
		return "got an answer without a signature"
	case !cal.isStream() && !strings.HasSuffix(cal.body, " to "+cal.id):
		return fmt.Sprintf("got the answer %q", cal.body)
	}
	return ""
}

// checkLeft checks that a generation ends when its caller left.
func checkLeft(cal *call, runs []standin.SiteRun) string {
	if !cal.left || cal.err == nil || len(runs) == 0 {
		return ""
	}
	last := slices.MaxFunc(runs, func(one, other standin.SiteRun) int { return one.At.Compare(other.At) })
	if last.At.After(cal.ended.Add(time.Second)) {
		return "began to run after its caller had left"
	}
	return ""
}

// checkKey checks that a key is taken for as long as a configuration has it, and not long after.
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
	// A daemon that has been in touch for catchUp knows the last version, whatever happened to it before.
	if cal.daemon.isDisturbed(cal.sent.Add(-catchUp), cal.ended) {
		return ""
	}
	if !last.hasTwo && cal.sent.Sub(last.at) > revokeTime && cal.status == http.StatusOK {
		return "got an answer for a key that was taken away"
	}
	return ""
}

// checkLoss checks that planned work breaks off no request.
func (wld *world) checkLoss(cal *call, runs []standin.SiteRun) string {
	if cal.err == nil || cal.left {
		return ""
	}
	for _, one := range wld.unplanned {
		if one.from.Before(cal.ended) && cal.sent.Add(-contact).Before(one.to) {
			return ""
		}
	}
	if len(runs) > 0 || cal.ended.Sub(cal.sent) > lossSlack && cal.status != 0 {
		return "broken off though only planned work was under way"
	}
	return ""
}

// checkBack checks that a process that refused a key does not take it again before a configuration has it again.
// A refusal counts only once the last configuration with the key is older than catchUp: a process that is behind may
// refuse by one version, take the key by the next and refuse it again by the last.
func (wld *world) checkBack() []string {
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
		case cal.status == http.StatusUnauthorized && !ok && cal.sent.Sub(granted) > catchUp:
			refused[prc] = cal.ended
		case cal.status == http.StatusOK && ok && cal.sent.Sub(since) > backSlack:
			findings = append(findings, fmt.Sprintf("%s took key two for %s after it had refused it", cal.daemon.name, cal.id))
		}
	}
	return findings
}

// checkDrain checks that no run begins at an endpoint that said so long ago that it drains.
func (wld *world) checkDrain(run standin.SiteRun, drain time.Time) string {
	if drain.IsZero() || run.Copied || run.At.Sub(drain) < drainTime+drainSlack {
		return ""
	}
	for _, dmn := range wld.daemons {
		if dmn.isDisturbed(drain.Add(-contact), run.At) {
			return ""
		}
	}
	return fmt.Sprintf("%s began at an endpoint %.3f s after that said that it drains", run.CallID, run.At.Sub(drain).Seconds())
}

// list returns the findings, a few of each kind.
func (rpt *report) list() []string {
	var lines []string
	counts := map[string]int{}
	for _, finding := range rpt.findings {
		kind := strings.SplitN(finding, " (", 2)[0]
		kind = strings.Join(strings.Fields(kind)[:min(4, len(strings.Fields(kind)))], " ")
		if counts[kind]++; counts[kind] <= shown {
			lines = append(lines, finding)
		}
	}
	return lines
}
