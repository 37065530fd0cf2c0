package dispatch

import (
	"slices"
	"time"
)

const (
	// exposureRetention is how long an exposure is kept after its end.
	exposureRetention = 30 * time.Second
	// maxExposures bounds the exposures that are kept; the oldest ones that have ended are dropped.
	maxExposures = 2048
	// maxEndedReports is the number of ended runs that are blamed for a crash of their endpoint, and maxEndedTime how long ago
	// they may have ended.
	maxEndedReports = 8
	maxEndedTime    = 2 * time.Second
	// answeringMargin is how long after a reported crash an endpoint must have answered to show that it has not crashed: an
	// answer that arrived before the crash may be read later.
	answeringMargin = time.Second
	// SurvivalMargin is how much longer than the run that a crash is blamed on another run must have lasted to refute that.
	SurvivalMargin = 250 * time.Millisecond
)

// Exposure is one run of a request that an endpoint has begun to answer. As long as its endpoint does not crash, it shows
// that no part of the request's prompt crashes each endpoint.
type Exposure struct {
	Incarnation
	// Digest identifies the request.
	Digest uint64
	// Parts are the parts of the request's prompt that other requests may have in common with it.
	Parts []string
	// BeganAt is when the endpoint began to answer, HeardAt when the latest part of the answer arrived.
	BeganAt, HeardAt time.Time
	// Whole is true if the answer has ended whole.
	Whole bool
	// Settled is true if the run ended so long ago that its endpoint is known not to have crashed with it.
	Settled bool

	endedAt time.Time
	// remote is true if another daemon has observed the run.
	remote bool
	// announced is how long the run had lasted when it was last sent to the other daemons.
	announced time.Duration
}

// lasted returns the time for which the endpoint is known to have gone on since it began to answer. After a whole answer, the
// endpoint counts as alive until a crash is reported, which drops the run.
func (exp *Exposure) lasted(now time.Time) time.Duration {
	if exp.Whole {
		return now.Sub(exp.BeganAt)
	}
	return exp.HeardAt.Sub(exp.BeganAt)
}

// Begin records that an endpoint begins to answer a request.
func (bla *Blame) Begin(now time.Time, endpoint Incarnation, digest uint64, parts []string) *Exposure {
	exp := &Exposure{Incarnation: endpoint, Digest: digest, Parts: parts, BeganAt: now, HeardAt: now}
	bla.expose(exp)
	return exp
}

// End records the end of a run. It reports whether the run shows that a condemned part is sound.
func (bla *Blame) End(now time.Time, exp *Exposure, whole bool) (clears bool) {
	if !exp.endedAt.IsZero() {
		return false
	}
	exp.endedAt, exp.Whole = now, whole
	if !whole {
		return false
	}
	exp.HeardAt = now
	for _, part := range exp.Parts {
		bla.markKnown(part, exp.BeganAt)
		clears = clears || bla.condemned[part] != nil
	}
	return clears
}

// Survived records runs that other daemons have observed. Without an endpoint, a run only makes its parts known as sound.
func (bla *Blame) Survived(now time.Time, runs []Exposure) {
	for _, run := range runs {
		if run.Endpoint == "" {
			bla.learn(&run)
			continue
		}
		if bla.hasCrashed(run.Incarnation, run.BeganAt) {
			continue
		}
		same := func(exp *Exposure) bool { return exp.Incarnation == run.Incarnation && exp.Digest == run.Digest }
		if at := slices.IndexFunc(bla.exposures, same); at < 0 {
			run.remote, run.endedAt = true, now
			bla.expose(&run)
		} else if exp := bla.exposures[at]; exp.remote && run.HeardAt.After(exp.HeardAt) {
			exp.HeardAt, exp.Whole, exp.endedAt = run.HeardAt, run.Whole, now
		}
		bla.changed = bla.changed || len(bla.condemned) > 0
	}
}

// Break drops a run whose answer broke off: it shows nothing, and if its endpoint has crashed, that is reported for itself.
func (bla *Blame) Break(exp *Exposure) {
	bla.exposures = slices.DeleteFunc(bla.exposures, func(old *Exposure) bool { return old == exp })
}

func (bla *Blame) learn(run *Exposure) {
	if run.Settled {
		bla.Sound(run.BeganAt, run.Parts)
		return
	}
	for _, part := range run.Parts {
		bla.markKnown(part, run.BeganAt)
		bla.announced[part] = true
		bla.changed = bla.changed || bla.condemned[part] != nil
	}
}

func (bla *Blame) expose(exp *Exposure) {
	if len(bla.exposures) >= maxExposures {
		if at := slices.IndexFunc(bla.exposures, func(old *Exposure) bool { return !old.endedAt.IsZero() }); at >= 0 {
			bla.settle(bla.exposures[at])
			bla.exposures = slices.Delete(bla.exposures, at, at+1)
		}
	}
	bla.exposures = append(bla.exposures, exp)
}

// settle keeps the result of a run that is dropped.
func (bla *Blame) settle(exp *Exposure) {
	if exp.Whole {
		bla.Sound(exp.BeganAt, exp.Parts)
	}
}

// forgetExposures drops the runs that ended long ago.
func (bla *Blame) forgetExposures(now time.Time) {
	bla.exposures = slices.DeleteFunc(bla.exposures, func(exp *Exposure) bool {
		old := !exp.endedAt.IsZero() && now.Sub(exp.endedAt) >= exposureRetention
		if old {
			bla.settle(exp)
		}
		return old
	})
}

// crashedWith drops the runs that had ended at an endpoint that has crashed: they no longer show that their parts are sound. It
// returns the latest ones that this daemon has observed, but for the request with the digest: an endpoint may crash soon after a
// short answer that was whole.
func (bla *Blame) crashedWith(endpoint Incarnation, digest uint64, at time.Time) (ended []*Exposure) {
	bla.exposures = slices.DeleteFunc(bla.exposures, func(exp *Exposure) bool {
		if exp.Incarnation != endpoint || exp.BeganAt.After(at) || exp.endedAt.IsZero() {
			return false
		}
		if !exp.remote && exp.Digest != digest && at.Sub(exp.endedAt) < maxEndedTime {
			ended = append(ended, exp)
		}
		return true
	})
	return ended[max(0, len(ended)-maxEndedReports):]
}

// survivors returns the runs at endpoints that have not crashed, by part, and the endpoints that answer although they were
// reported as crashed: a daemon whose network is cut off reports all endpoints.
func (bla *Blame) survivors() (runs map[string][]*Exposure, answering map[Incarnation]bool) {
	runs, answering = map[string][]*Exposure{}, map[Incarnation]bool{}
	crashedAt := map[Incarnation]time.Time{}
	for _, crs := range bla.crashes {
		crashedAt[crs.endpoint] = crs.at
	}
	for _, exp := range bla.exposures {
		at, crashed := crashedAt[exp.Incarnation]
		if crashed && exp.StartedAt != 0 && exp.HeardAt.Sub(at) >= answeringMargin {
			answering[exp.Incarnation] = true
		}
	}
	for _, exp := range bla.exposures {
		if at, crashed := crashedAt[exp.Incarnation]; crashed && !answering[exp.Incarnation] && !exp.BeganAt.After(at) {
			continue
		}
		for _, part := range exp.Parts {
			runs[part] = append(runs[part], exp)
		}
	}
	return runs, answering
}

// refuter returns a run that shows that a part did not cause a crash, from runs with the part and without those in taken: it
// began later than the run that the crash is blamed on, and has lasted longer. It is nil if there is none.
func refuter(now time.Time, runs []*Exposure, sus *suspicion, taken map[*Exposure]bool) *Exposure {
	var best *Exposure
	for _, exp := range runs {
		if taken[exp] || !exp.BeganAt.After(sus.beganAt) || exp.lasted(now) < sus.needed() {
			continue
		}
		// Runs that all daemons know need not be shared again.
		if best == nil || exp.remote && !best.remote || exp.remote == best.remote && exp.lasted(now) < best.lasted(now) {
			best = exp
		}
	}
	return best
}
