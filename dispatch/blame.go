package dispatch

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// condemningCrashes is the number of engines that must have crashed after the head of an answer and before its first event
	// before requests with a part of a prompt that these requests had in common are refused.
	condemningCrashes = 2
	// condemningLosses is the number of engines if some had sent events, or no head: such a request may have run, or waited,
	// while another one crashed the engine.
	condemningLosses = 3
	// condemningSoundCrashes is the number of engines for a part that has been in a whole answer.
	condemningSoundCrashes = 4
	// condemningTogether is the number of engines if they crashed within startedInterval or lossInterval, or while most
	// engines crash without the part.
	condemningTogether = 5
	// startedInterval is the time within which crashes count once if the engines had sent events: several sound requests may
	// be running when engines end together.
	startedInterval = 500 * time.Millisecond
	// lossInterval is the time within which crashes count once if the engines had not begun to answer, as the engines of
	// a failure domain may end together.
	lossInterval = time.Second
	// togetherDelay is the time after which condemningTogether crashes count without regard to the intervals, as the requests
	// that run elsewhere have shown by then that their parts are sound.
	togetherDelay = time.Second
	// crashSpread is the time within which all reports of an endpoint without a start time are about the same crash. An
	// engine that has crashed takes longer to start again.
	crashSpread = 1500 * time.Millisecond
	// blameRetention is how long a crash is counted.
	blameRetention = 2 * time.Minute
	// maxBlameCrashes bounds the crashes that are counted; the oldest ones are dropped.
	maxBlameCrashes = 64
	// maxCrashReports bounds the requests that one crash is blamed on.
	maxCrashReports = 256
	// maxSoundParts bounds each of the two generations of parts that are known to be sound.
	maxSoundParts = 4096
	// maxSharedRuns bounds the runs with one part in Refuting, and maxKnownParts the parts that are known to be sound.
	maxSharedRuns = 4
	maxKnownParts = 64
	// trialInterval is the minimum time between two trials of a part; see Blame.tries.
	trialInterval = time.Second
	// maxTrialCrashes is the number of engines that crashed in trials of a part from which it is no longer tried.
	maxTrialCrashes = 2
	// evaluationInterval is the time after which the condemned parts are evaluated again without new reports.
	evaluationInterval = 500 * time.Millisecond
)

// PartCrash is a report that an endpoint crashed while it ran a request, or after that.
type PartCrash struct {
	Incarnation
	// Digest identifies the request.
	Digest uint64
	// Parts are the parts of the request's prompt that other requests may have in common with it.
	Parts []string
	// Begun is true if the endpoint had begun to answer the request and had sent no event, Started if it had sent events or
	// ended the answer.
	Begun, Started bool
	// Age is the time from the start of the answer to the crash.
	Age time.Duration
	// Trial is true if the request ran as a trial; see Condemned.
	Trial bool
}

func (rep *PartCrash) stage() stage {
	switch {
	case rep.Begun:
		return stageBegun
	case rep.Started:
		return stageStarted
	}
	return stageWaiting
}

// stage is how far the answer to a request was when its endpoint crashed, the least suspicious one first.
type stage int

const (
	stageWaiting stage = iota
	stageStarted
	stageBegun
)

// Blame finds the parts of prompts that crash the engines that begin to answer requests with them, whatever else the
// requests hold. Such requests differ, so Suspects finds none of them twice. An engine may crash at once, after some events,
// or after the end of a short answer.
//
// A crash is blamed on the parts of all requests that its engine ran. It is not blamed on a part if another run with it began
// later and its engine has gone on for longer. A run that has not ended refutes one crash only, as its engine may crash yet.
// Parts that have never been in a whole answer are blamed first.
type Blame struct {
	// crashes are the known crashes, the oldest first.
	crashes []*blameCrash
	// exposures are the runs that have not crashed their engine, the oldest first.
	exposures []*Exposure
	// sound has what is known of sound parts. Once it is full, it becomes older.
	sound, older map[string]soundness
	// condemned has the crashes that each condemned part explains, and reported the parts that Changes has returned.
	condemned map[string]map[*blameCrash]bool
	reported  map[string]bool
	triedAt   map[string]time.Time
	// announced are the blamed parts for which the daemons have been sent that they were in a whole answer.
	announced map[string]bool
	// refuting are the runs that refute a crash, by part.
	refuting map[string][]refutation
	// changed is true if there are new reports or runs since the evaluation at evaluatedAt.
	changed     bool
	evaluatedAt time.Time
}

// soundness is what is known of a part of prompts.
type soundness struct {
	// knownAt is when the latest whole answer to a request with the part began.
	knownAt time.Time
	// at is when the latest run began whose engine is known not to have crashed for exposureRetention.
	at time.Time
}

// blameCrash is one crash of an endpoint, with what the daemons reported of it.
type blameCrash struct {
	endpoint Incarnation
	at       time.Time
	reports  []PartCrash
	parts    map[string]suspicion
}

// refutation is a run because of which a crash is not blamed on a part.
type refutation struct {
	run *Exposure
	// needed is how long the run must have lasted.
	needed time.Duration
}

// NewBlame returns a Blame that knows no crash.
func NewBlame() *Blame {
	return &Blame{
		sound: map[string]soundness{}, condemned: map[string]map[*blameCrash]bool{}, reported: map[string]bool{},
		triedAt: map[string]time.Time{}, announced: map[string]bool{}, refuting: map[string][]refutation{},
	}
}

// Crashed records a crash at the time at. It returns reports on the requests that this daemon had sent to the endpoint before
// and that had ended by then.
func (bla *Blame) Crashed(now, at time.Time, rep PartCrash) (ended []PartCrash) {
	// Without a start time, a report without parts may be about an earlier start of the endpoint.
	if now.Sub(at) >= blameRetention || len(rep.Parts) == 0 && rep.StartedAt == 0 {
		return nil
	}
	runs := bla.crashedWith(rep.Incarnation, rep.Digest, at)
	if len(rep.Parts) > 0 {
		bla.record(at, rep)
	}
	for _, exp := range runs {
		own := PartCrash{Incarnation: exp.Incarnation, Digest: exp.Digest, Parts: exp.Parts, Started: true, Age: at.Sub(exp.BeganAt)}
		bla.record(at, own)
		ended = append(ended, own)
	}
	return ended
}

func (bla *Blame) record(at time.Time, rep PartCrash) {
	crs := bla.find(at, rep.Incarnation)
	known := slices.IndexFunc(crs.reports, func(old PartCrash) bool { return old.Digest == rep.Digest })
	switch {
	case known >= 0 && rep.stage() <= crs.reports[known].stage():
		return
	case known >= 0:
		// The daemon that sent the request reports the latest stage.
		crs.reports[known] = rep
	case len(crs.reports) >= maxCrashReports:
		return
	default:
		crs.reports = append(crs.reports, rep)
	}
	for _, part := range rep.Parts {
		sus, known := crs.parts[part]
		beganAt := at.Add(-rep.Age)
		if answered := rep.stage() > stageWaiting; !known || answered && (sus.stage == stageWaiting || beganAt.After(sus.beganAt)) {
			sus.beganAt = beganAt
		}
		sus.crash, sus.stage = crs, max(sus.stage, rep.stage())
		crs.parts[part] = sus
	}
	bla.changed = true
}

// find returns the crash of an endpoint at a time; it adds one if it is not known yet.
func (bla *Blame) find(at time.Time, endpoint Incarnation) *blameCrash {
	for _, crs := range bla.crashes {
		if crs.endpoint == endpoint && (endpoint.StartedAt != 0 || crs.at.Sub(at).Abs() < crashSpread) {
			// A daemon that was frozen notices a crash late.
			if at.Before(crs.at) {
				crs.at = at
				bla.sortCrashes()
			}
			return crs
		}
	}
	crs := &blameCrash{endpoint: endpoint, at: at, parts: map[string]suspicion{}}
	bla.crashes = append(bla.crashes, crs)
	bla.sortCrashes()
	if len(bla.crashes) > maxBlameCrashes {
		bla.crashes = slices.Delete(bla.crashes, 0, 1)
	}
	return crs
}

func (bla *Blame) sortCrashes() {
	slices.SortStableFunc(bla.crashes, func(one, other *blameCrash) int { return one.at.Compare(other.at) })
}

// hasCrashed reports whether an endpoint is known to have crashed after a time.
func (bla *Blame) hasCrashed(endpoint Incarnation, since time.Time) bool {
	return slices.ContainsFunc(bla.crashes, func(crs *blameCrash) bool { return crs.endpoint == endpoint && !crs.at.Before(since) })
}

// IsKnownSound reports whether each of the parts has been in a request with a whole answer.
func (bla *Blame) IsKnownSound(parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return bla.soundness(part).knownAt.IsZero() })
}

// Sound records that an engine that began to answer a request with these parts at the time at has gone on long enough.
func (bla *Blame) Sound(at time.Time, parts []string) {
	for _, part := range parts {
		bla.markKnown(part, at)
		if snd := bla.sound[part]; at.After(snd.at) {
			snd.at = at
			bla.sound[part] = snd
			bla.changed = bla.changed || bla.condemned[part] != nil
		}
	}
}

// markKnown records a whole answer that began at the time at.
func (bla *Blame) markKnown(part string, at time.Time) {
	snd := bla.soundness(part)
	if at.After(snd.knownAt) {
		snd.knownAt = at
	}
	if len(bla.sound) >= maxSoundParts {
		bla.sound, bla.older = map[string]soundness{}, bla.sound
	}
	bla.sound[part] = snd
}

func (bla *Blame) soundness(part string) soundness {
	if snd, ok := bla.sound[part]; ok {
		return snd
	}
	return bla.older[part]
}

// Refuting returns the runs that refute that parts are at fault for crashes, for the other daemons. With onlyNews, it returns
// those that have not been announced yet, and marks them as announced.
func (bla *Blame) Refuting(now time.Time, onlyNews bool) []Exposure {
	bla.evaluate(now)
	runs := bla.known(onlyNews)
	added := map[*Exposure]bool{}
	for _, all := range bla.refuting {
		count := 0
		for _, ref := range all {
			exp := ref.run
			if count >= maxSharedRuns || added[exp] || onlyNews && (exp.remote || exp.announced >= ref.needed) {
				continue
			}
			runs = append(runs, *exp)
			added[exp] = true
			count++
			if onlyNews {
				exp.announced = exp.lasted(now)
			}
		}
	}
	return runs
}

// known returns what is known of the soundness of blamed parts besides the runs that are kept: first one run with the parts that
// have been in whole answers, those of the most crashes first.
func (bla *Blame) known(onlyNews bool) []Exposure {
	counts := map[string]int{}
	for _, crs := range bla.crashes {
		for part := range crs.parts {
			counts[part]++
		}
	}
	maps.DeleteFunc(bla.announced, func(part string, _ bool) bool { return counts[part] == 0 })
	var parts []string
	var settled []Exposure
	for part, count := range counts {
		snd := bla.soundness(part)
		if snd.knownAt.IsZero() || onlyNews && bla.announced[part] {
			continue
		}
		parts = append(parts, part)
		if !snd.at.IsZero() && count >= condemningCrashes {
			settled = append(settled, Exposure{Parts: []string{part}, BeganAt: snd.at, HeardAt: snd.at, Settled: true})
		}
	}
	if len(parts) == 0 {
		return nil
	}
	slices.SortFunc(parts, func(one, other string) int {
		return cmp.Or(cmp.Compare(counts[other], counts[one]), cmp.Compare(one, other))
	})
	parts = parts[:min(len(parts), maxKnownParts)]
	if onlyNews {
		for _, part := range parts {
			bla.announced[part] = true
		}
	}
	at := bla.soundness(parts[0]).knownAt
	return append([]Exposure{{Parts: parts, BeganAt: at, HeardAt: at}}, settled...)
}

// Crashes returns the reports of crashes that parts are blamed for, with their times: first one for each crash that a
// condemned part explains, then the latest.
func (bla *Blame) Crashes(now time.Time) iter.Seq2[time.Time, PartCrash] {
	if bla.changed {
		bla.evaluate(now)
	}
	return func(yield func(time.Time, PartCrash) bool) {
		first := bla.condemning()
		for crs, at := range first {
			if !yield(crs.at, crs.reports[at]) {
				return
			}
		}
		for _, crs := range slices.Backward(bla.crashes) {
			for i, rep := range crs.reports {
				if at, isFirst := first[crs]; (!isFirst || at != i) && !yield(crs.at, rep) {
					return
				}
			}
		}
	}
}

// condemning returns the index of a report with a condemned part, for each crash that has one.
func (bla *Blame) condemning() map[*blameCrash]int {
	first := map[*blameCrash]int{}
	for part, explained := range bla.condemned {
		for crs := range explained {
			at := slices.IndexFunc(crs.reports, func(rep PartCrash) bool { return slices.Contains(rep.Parts, part) })
			if _, known := first[crs]; !known && at >= 0 {
				first[crs] = at
			}
		}
	}
	return first
}

// Condemned returns a part because of which a request with these parts must not be run. The part is empty if the request
// may run; trial is true if it may only run to show which of several parts is at fault.
func (bla *Blame) Condemned(now time.Time, parts []string) (condemned string, trial bool) {
	if bla.changed {
		bla.evaluate(now)
	}
	if len(bla.condemned) == 0 {
		return "", false
	}
	for _, part := range parts {
		if _, ok := bla.condemned[part]; !ok {
			continue
		}
		if !bla.tries(now, part, parts) {
			return part, false
		}
		trial = true
	}
	return "", trial
}

// Changes returns the parts that have been condemned, and those that no longer are, since its last call. It drops what has
// expired.
func (bla *Blame) Changes(now time.Time) (condemned, lifted []string) {
	bla.forgetExposures(now)
	if bla.changed || len(bla.crashes) > 0 && now.Sub(bla.evaluatedAt) >= evaluationInterval {
		bla.evaluate(now)
	}
	for part := range bla.condemned {
		if !bla.reported[part] {
			condemned = append(condemned, part)
			bla.reported[part] = true
		}
	}
	for part := range bla.reported {
		if bla.condemned[part] == nil {
			lifted = append(lifted, part)
			delete(bla.reported, part)
		}
	}
	slices.Sort(condemned)
	slices.Sort(lifted)
	return condemned, lifted
}

// CondemnedCount returns the number of condemned parts.
func (bla *Blame) CondemnedCount() int {
	return len(bla.condemned)
}

// tries reports whether a request with a condemned part may run as a trial. If requests had several parts in common when
// they crashed engines, any of these may be at fault. A request with only some of them shows which.
func (bla *Blame) tries(now time.Time, part string, parts []string) bool {
	explained := bla.condemned[part]
	tried := 0
	for crs := range explained {
		if slices.ContainsFunc(crs.reports, func(rep PartCrash) bool { return rep.Trial && slices.Contains(rep.Parts, part) }) {
			tried++
		}
	}
	if tried >= maxTrialCrashes || now.Sub(bla.triedAt[part]) < trialInterval {
		return false
	}
	if bla.isExplained(explained, parts) {
		bla.triedAt[part] = now
		return true
	}
	return false
}

// isExplained reports whether a condemned part that is not among the excluded ones explains all of the crashes.
func (bla *Blame) isExplained(crashes map[*blameCrash]bool, excluded []string) bool {
	for other, explained := range bla.condemned {
		if !slices.Contains(excluded, other) && isSubset(crashes, explained) {
			return true
		}
	}
	return false
}

func isSubset(one, other map[*blameCrash]bool) bool {
	for crs := range one {
		if !other[crs] {
			return false
		}
	}
	return true
}
