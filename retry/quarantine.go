package retry

import (
	"slices"
	"time"
)

const (
	// QuarantineTime is how long a condemned request is refused, and how long a request is a suspect after a crash.
	QuarantineTime = time.Hour
	// remoteRunTime is how long a suspect that another daemon has reported as running counts as running there, unless a
	// later report ends the run.
	remoteRunTime = 10 * time.Minute
	// ClosedTime is how long a suspect's endpoint is closed to other requests at most, since the suspect's daemon may
	// crash without reopening it. A crash of the endpoint after this time does not condemn the suspect.
	ClosedTime = 2 * time.Minute
	// maxDigests is the number of suspects and condemned requests from which reports of other daemons are ignored, so
	// that they cannot fill this daemon's memory.
	maxDigests = 10_000
	// maxReportBytes is the largest length of the digest and of the endpoint's name in a report.
	maxReportBytes = 128
)

// Verdict is the state of a request in a report.
type Verdict string

// The verdicts.
const (
	// VerdictSuspect says that a request may have crashed an endpoint and is not running.
	VerdictSuspect Verdict = "suspect"
	// VerdictRunning says that a suspect is about to run on the endpoint; the receiver must start no other request there.
	VerdictRunning Verdict = "running"
	// VerdictShared says that a suspect runs beside other requests, so that more requests may start there.
	VerdictShared Verdict = "shared"
	// VerdictCleared says that a request has completed and is no longer a suspect.
	VerdictCleared Verdict = "cleared"
	// VerdictCondemned says that a request has crashed an endpoint on which it ran alone, and must be refused.
	VerdictCondemned Verdict = "condemned"
)

// Report is a message to the other daemons about a request that is or was a suspect.
type Report struct {
	// Digest identifies the request by its content.
	Digest   string  `json:"digest"`
	Endpoint string  `json:"endpoint"`
	Verdict  Verdict `json:"verdict"`
	// Crashes is the number of crashes of endpoints on which the suspect was running.
	Crashes int `json:"crashes,omitempty"`
}

// suspicion is the state of a suspect.
type suspicion struct {
	until time.Time
	// crashes is the number of crashes of endpoints on which the suspect was running.
	crashes int
}

// run is a request that this daemon runs on an endpoint.
type run struct {
	digest   string
	endpoint string
	began    time.Time
	// closedUntil is when other requests may start on the endpoint again.
	closedUntil time.Time
	// alone is true if no other request ran on the endpoint when the run started, and none was started while the
	// endpoint was closed.
	alone bool
}

// wasAlone reports whether no other request ran on the endpoint of the run at a time.
func (one run) wasAlone(at time.Time) bool {
	return one.alone && at.Before(one.closedUntil)
}

// remoteRun is a suspect that another daemon has reported as running.
type remoteRun struct {
	endpoint string
	// until is when the run expires; closedUntil is when other requests may start on the endpoint again.
	until       time.Time
	closedUntil time.Time
}

// Quarantine finds requests that crash endpoints; it is not safe for concurrent use.
//
// Every request that was running on an endpoint when it crashed becomes a suspect. Two suspects are not started on the
// same endpoint. If possible, a suspect runs alone on an idle endpoint; if it crashes that endpoint, it is condemned: it is
// refused for QuarantineTime. A crash of an endpoint that a suspect shares with other requests doesn't condemn it, since
// one of them may be the cause. From its second crash on, a suspect therefore waits for an endpoint on which it can run
// alone.
type Quarantine struct {
	// suspects and condemned are keyed by digest; condemned holds the time until which a request is refused.
	suspects  map[string]suspicion
	condemned map[string]time.Time
	// runs holds the runs of this daemon by their id.
	runs map[string]run
	// remote holds the running suspects of other daemons by digest.
	remote map[string]remoteRun
}

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		suspects: map[string]suspicion{}, condemned: map[string]time.Time{},
		runs: map[string]run{}, remote: map[string]remoteRun{},
	}
}

// Condemned reports whether a request is refused, and returns the time until which it is.
func (qua *Quarantine) Condemned(now time.Time, digest string) (time.Time, bool) {
	until, ok := qua.condemned[digest]
	return until, ok && now.Before(until)
}

// Suspect reports whether a request is a suspect, which must not run on the same endpoint as another suspect.
func (qua *Quarantine) Suspect(now time.Time, digest string) bool {
	return now.Before(qua.suspects[digest].until)
}

// suspect makes a request a suspect with at least the given number of crashes, and renews its expiry.
func (qua *Quarantine) suspect(now time.Time, digest string, crashes int) {
	qua.suspects[digest] = suspicion{now.Add(QuarantineTime), max(1, crashes, qua.suspects[digest].crashes)}
}

// Occupied returns the endpoints on which another suspect than the given one is running, at this daemon or another.
func (qua *Quarantine) Occupied(now time.Time, digest string) []string {
	var endpoints []string
	for _, one := range qua.runs {
		if one.digest != digest && qua.Suspect(now, one.digest) {
			endpoints = append(endpoints, one.endpoint)
		}
	}
	for other, one := range qua.remote {
		if other != digest && now.Before(one.until) {
			endpoints = append(endpoints, one.endpoint)
		}
	}
	slices.Sort(endpoints)
	return slices.Compact(endpoints)
}

// Begin records a run before it is sent to its endpoint. It returns false, and records nothing, if the endpoint is closed
// for another suspect, or if the request is a suspect and another one is running there. If the request is a suspect, its
// endpoint is closed to other requests until its trial is settled.
func (qua *Quarantine) Begin(now time.Time, id, digest, endpoint string) bool {
	if qua.closedFor(now, digest, endpoint) {
		return false
	}
	one := run{digest: digest, endpoint: endpoint, began: now}
	if qua.Suspect(now, digest) {
		if slices.Contains(qua.Occupied(now, digest), endpoint) {
			return false
		}
		one.closedUntil = now.Add(ClosedTime)
	}
	qua.runs[id] = one
	return true
}

// Attach records a run that was already started, by this daemon or another one, and returns the reports to send.
func (qua *Quarantine) Attach(now time.Time, id, digest, endpoint string) []Report {
	qua.runs[id] = run{digest: digest, endpoint: endpoint, began: now}
	if !qua.Suspect(now, digest) {
		return nil
	}
	return []Report{qua.report(digest, endpoint, VerdictShared)}
}

// Leave removes a run that ended without an answer and without a crash, and returns the reports to send. A suspect stays
// a suspect.
func (qua *Quarantine) Leave(now time.Time, id string) []Report {
	one, ok := qua.runs[id]
	delete(qua.runs, id)
	if !ok || !qua.Suspect(now, one.digest) {
		return nil
	}
	return []Report{qua.report(one.digest, one.endpoint, VerdictSuspect)}
}

// report returns a report about a suspect with its number of crashes.
func (qua *Quarantine) report(digest, endpoint string, verdict Verdict) Report {
	return Report{digest, endpoint, verdict, qua.suspects[digest].crashes}
}

// Complete removes a run that ended with its answer, and returns the reports to send. If the request was a suspect, it
// no longer is.
func (qua *Quarantine) Complete(now time.Time, id string) []Report {
	one, ok := qua.runs[id]
	delete(qua.runs, id)
	if !ok || !qua.Suspect(now, one.digest) {
		return nil
	}
	delete(qua.suspects, one.digest)
	return []Report{{Digest: one.digest, Endpoint: one.endpoint, Verdict: VerdictCleared}}
}

// Crash records that an endpoint crashed and broke the connection of a run at the given time, and returns the reports to
// send. It condemns the request of that run if it was a suspect and ran alone, and no suspect of another daemon was
// running there; otherwise it makes every request that was running on the endpoint a suspect. All these runs are removed, so that later calls for the same crash, one for each
// broken connection, have no effect.
func (qua *Quarantine) Crash(now time.Time, id string, brokenAt time.Time) []Report {
	crashed, ok := qua.runs[id]
	if !ok {
		return nil
	}
	qua.prune(now)
	// ran holds the digests of the runs on the endpoint, with true for a run that was alone there.
	ran := map[string]bool{crashed.digest: crashed.wasAlone(brokenAt)}
	for other, one := range qua.runs {
		if one.endpoint == crashed.endpoint && !one.began.After(brokenAt) {
			ran[one.digest] = one.wasAlone(brokenAt)
			delete(qua.runs, other)
		}
	}
	delete(qua.runs, id)
	if len(ran) == 1 && ran[crashed.digest] && qua.Suspect(now, crashed.digest) && !qua.remoteSuspect(now, crashed) {
		delete(qua.suspects, crashed.digest)
		qua.condemned[crashed.digest] = now.Add(QuarantineTime)
		return []Report{{Digest: crashed.digest, Endpoint: crashed.endpoint, Verdict: VerdictCondemned}}
	}
	var reports []Report
	for digest := range ran {
		before := 0
		if qua.Suspect(now, digest) {
			before = qua.suspects[digest].crashes
		}
		qua.suspect(now, digest, before+1)
		reports = append(reports, qua.report(digest, crashed.endpoint, VerdictSuspect))
	}
	return reports
}

// remoteSuspect reports whether a suspect of another daemon was running on the endpoint of a crashed run.
func (qua *Quarantine) remoteSuspect(now time.Time, crashed run) bool {
	for digest, one := range qua.remote {
		if one.endpoint == crashed.endpoint && now.Before(one.until) && digest != crashed.digest {
			return true
		}
	}
	return false
}

// Receive applies a report of another daemon. It returns false if the report is malformed.
func (qua *Quarantine) Receive(now time.Time, rep Report) bool {
	if rep.Digest == "" || len(rep.Digest) > maxReportBytes || len(rep.Endpoint) > maxReportBytes {
		return false
	}
	qua.prune(now)
	if len(qua.suspects)+len(qua.condemned) >= maxDigests {
		return true
	}
	switch rep.Verdict {
	case VerdictRunning, VerdictShared:
		// If this daemon has a run on the endpoint, the endpoint is not idle. Closing it then helps only a suspect that
		// waits until it is idle, which a suspect with aloneCrashes crashes does.
		one := remoteRun{endpoint: rep.Endpoint, until: now.Add(remoteRunTime)}
		if rep.Verdict == VerdictRunning && (!qua.Busy(rep.Endpoint) || rep.Crashes >= aloneCrashes) {
			one.closedUntil = now.Add(ClosedTime)
		}
		if rep.Verdict == VerdictShared {
			// The other daemon has reopened the endpoint to all requests, so a run of the same content that this daemon
			// has there isn't alone either.
			qua.reopen(rep.Digest, rep.Endpoint)
		}
		qua.remote[rep.Digest] = one
		qua.suspect(now, rep.Digest, rep.Crashes)
	case VerdictSuspect:
		delete(qua.remote, rep.Digest)
		qua.suspect(now, rep.Digest, rep.Crashes)
	case VerdictCleared:
		delete(qua.remote, rep.Digest)
		delete(qua.suspects, rep.Digest)
	case VerdictCondemned:
		delete(qua.remote, rep.Digest)
		delete(qua.suspects, rep.Digest)
		qua.condemned[rep.Digest] = now.Add(QuarantineTime)
	default:
		return false
	}
	return true
}

// prune removes expired suspects, condemned requests and remote runs.
func (qua *Quarantine) prune(now time.Time) {
	for digest, one := range qua.suspects {
		if !now.Before(one.until) {
			delete(qua.suspects, digest)
		}
	}
	for digest, until := range qua.condemned {
		if !now.Before(until) {
			delete(qua.condemned, digest)
		}
	}
	for digest, one := range qua.remote {
		if !now.Before(one.until) {
			delete(qua.remote, digest)
		}
	}
}
