package retry

import "time"

// aloneCrashes is the number of crashes from which a suspect runs only alone on its endpoint.
const aloneCrashes = 2

// Trial is the next step before a request is sent to its endpoint, which depends on whether it is a suspect.
type Trial int

// The steps of a trial.
const (
	// TrialNone means that the request is no suspect and may run.
	TrialNone Trial = iota
	// TrialShared means that the suspect may run beside other requests; a crash of the endpoint will not condemn it.
	TrialShared
	// TrialAsk means that the caller must ask the other daemons and the endpoint whether anything else runs there, and
	// pass the answer to Settle.
	TrialAsk
	// TrialAlone means that the suspect may run, alone on its endpoint.
	TrialAlone
	// TrialWait means that the suspect must wait until its endpoint is idle; the endpoint stays closed meanwhile.
	TrialWait
)

// Try begins the trial of a suspect and closes its endpoint to other requests. If other requests of this daemon run there
// or more than maxClosed endpoints would be closed, the suspect shares the endpoint instead, unless it has aloneCrashes
// crashes. The report is to be sent to the other daemons with TrialShared and TrialAsk.
func (qua *Quarantine) Try(now time.Time, id string, maxClosed int) (Trial, Report) {
	one, ok := qua.runs[id]
	if !ok || !qua.Suspect(now, one.digest) {
		return TrialNone, Report{}
	}
	one.closedUntil = now.Add(ClosedTime)
	qua.runs[id] = one
	if !qua.mustBeAlone(one.digest) && (qua.sharesEndpoint(id) || len(qua.Closed(now)) > maxClosed) {
		return qua.share(id)
	}
	return TrialAsk, qua.report(one.digest, one.endpoint, VerdictRunning)
}

// Settle continues a trial after TrialAsk; idle is true if the other daemons and the endpoint have answered that nothing
// else runs there. The report is to be sent to the other daemons with TrialShared.
func (qua *Quarantine) Settle(id string, idle bool) (Trial, Report) {
	one, ok := qua.runs[id]
	switch {
	case !ok:
		return TrialNone, Report{}
	case idle && !qua.sharesEndpoint(id):
		one.alone = true
		qua.runs[id] = one
		return TrialAlone, Report{}
	case qua.mustBeAlone(one.digest):
		return TrialWait, Report{}
	default:
		return qua.share(id)
	}
}

// share reopens the endpoint of a run to other requests.
func (qua *Quarantine) share(id string) (Trial, Report) {
	one := qua.runs[id]
	qua.reopen(one.digest, one.endpoint)
	return TrialShared, qua.report(one.digest, one.endpoint, VerdictShared)
}

// reopen allows other requests to start on an endpoint beside the runs of a request, which are then not alone there.
func (qua *Quarantine) reopen(digest, endpoint string) {
	for id, one := range qua.runs {
		if one.digest == digest && one.endpoint == endpoint {
			one.closedUntil, one.alone = time.Time{}, false
			qua.runs[id] = one
		}
	}
}

// mustBeAlone reports whether a suspect has so many crashes that it may only run alone on its endpoint.
func (qua *Quarantine) mustBeAlone(digest string) bool {
	return qua.suspects[digest].crashes >= aloneCrashes
}

// sharesEndpoint reports whether this daemon runs another request on the endpoint of a run.
func (qua *Quarantine) sharesEndpoint(id string) bool {
	own := qua.runs[id]
	for _, one := range qua.runs {
		if one.digest != own.digest && one.endpoint == own.endpoint {
			return true
		}
	}
	return false
}

// Busy reports whether this daemon has a run on an endpoint.
func (qua *Quarantine) Busy(endpoint string) bool {
	for _, one := range qua.runs {
		if one.endpoint == endpoint {
			return true
		}
	}
	return false
}

// Closed returns the endpoints that accept no new requests because a suspect runs there alone or waits to do so; nil if
// there are none.
func (qua *Quarantine) Closed(now time.Time) map[string]bool {
	if len(qua.suspects) == 0 {
		return nil
	}
	var closed map[string]bool
	add := func(endpoint string) {
		if closed == nil {
			closed = map[string]bool{}
		}
		closed[endpoint] = true
	}
	for _, one := range qua.runs {
		if now.Before(one.closedUntil) {
			add(one.endpoint)
		}
	}
	for _, one := range qua.remote {
		if now.Before(one.closedUntil) {
			add(one.endpoint)
		}
	}
	return closed
}

// closedFor reports whether an endpoint is closed to a request because of a suspect. It is not closed to requests with
// the same content as the suspect.
func (qua *Quarantine) closedFor(now time.Time, digest, endpoint string) bool {
	if len(qua.suspects) == 0 {
		return false
	}
	for _, one := range qua.runs {
		if one.endpoint == endpoint && one.digest != digest && now.Before(one.closedUntil) {
			return true
		}
	}
	for other, one := range qua.remote {
		if one.endpoint == endpoint && other != digest && now.Before(one.closedUntil) {
			return true
		}
	}
	return false
}
