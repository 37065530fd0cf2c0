package dispatch

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// condemningCrashes is the number of engines that must have crashed just as they began to answer requests with a part
	// of a prompt in common before requests with that part are refused.
	condemningCrashes = 2
	// condemningSoundCrashes is the number of engines for a part that was sound before the crashes, if each of the requests
	// had other parts that come before it; see Blame.
	condemningSoundCrashes = 4
	// condemningLosses is the number of engines if some had not begun to answer, or had sent events: such a request may have
	// waited, or have just begun too, while another one crashed the engine.
	condemningLosses = 3
	// startedInterval is the time within which crashes count once if the engines had sent their first events: several
	// sound requests may just have begun when engines end together.
	startedInterval = 500 * time.Millisecond
	// lossInterval is the time within which crashes count once if the engines had not begun to answer, as the engines of
	// a failure domain may end together.
	lossInterval = time.Second
	// crashSpread is the time within which all reports of an endpoint are about the same crash. An engine that has
	// crashed takes longer to start again.
	crashSpread = 1500 * time.Millisecond
	// blameRetention is how long a crash is counted.
	blameRetention = 2 * time.Minute
	// maxBlameCrashes bounds the crashes that are counted; the oldest ones are dropped.
	maxBlameCrashes = 64
	// maxSoundParts bounds each of the two generations of parts that are known to be sound.
	maxSoundParts = 4096
	// trialInterval is the minimum time between two trials of a part; see Blame.tries.
	trialInterval = time.Second
	// maxTrialCrashes is the number of crashes from which a part is no longer tried.
	maxTrialCrashes = 4
)

// PartCrash is a report that an endpoint crashed before a request there had its first event, or just after it.
type PartCrash struct {
	Incarnation
	// Digest identifies the request.
	Digest uint64
	// Parts are the parts of the request's prompt that other requests may have in common with it.
	Parts []string
	// Begun is true if the endpoint had just begun to answer the request and had sent no event, Started if it had just sent the
	// first events.
	Begun, Started bool
}

// Blame finds the parts of prompts that crash the engines that begin to answer requests with them, whatever else the
// requests hold. Such requests differ, so Suspects finds none of them twice.
//
// A request whose engine has not crashed just after its first event shows that all parts of its prompt are sound. A crash is
// blamed on the parts of the request that have not been shown to be sound since; of these, on the parts that have never been
// shown to be sound if there are any.
type Blame struct {
	// crashes are the known crashes, the oldest first.
	crashes []*blameCrash
	// sound has the time of the latest first event by part. Once it is full, it becomes older.
	sound, older map[string]time.Time
	// shared has what all daemons know of the soundness of blamed parts.
	shared map[string]time.Time
	// condemned has the crashes that each condemned part explains.
	condemned map[string]map[*blameCrash]bool
	triedAt   map[string]time.Time
}

// blameCrash is one crash of an endpoint, with what the daemons reported of it.
type blameCrash struct {
	endpoint string
	at       time.Time
	reports  []PartCrash
}

// NewBlame returns a Blame that knows no crash.
func NewBlame() *Blame {
	return &Blame{sound: map[string]time.Time{}, shared: map[string]time.Time{}, condemned: map[string]map[*blameCrash]bool{}, triedAt: map[string]time.Time{}}
}

// Crashed records a crash at the time at and returns the parts that are condemned from now on.
func (bla *Blame) Crashed(now, at time.Time, rep PartCrash) (condemned []string) {
	if len(rep.Parts) == 0 || now.Sub(at) >= blameRetention {
		return nil
	}
	crs := bla.find(at, rep.Endpoint)
	if slices.ContainsFunc(crs.reports, func(old PartCrash) bool { return old.Digest == rep.Digest }) {
		return nil
	}
	crs.reports = append(crs.reports, rep)
	return bla.evaluate(now)
}

// find returns the crash of an endpoint at a time; it adds one if it is not known yet.
func (bla *Blame) find(at time.Time, endpoint string) *blameCrash {
	for _, crs := range bla.crashes {
		if crs.endpoint == endpoint && crs.at.Sub(at).Abs() < crashSpread {
			return crs
		}
	}
	crs := &blameCrash{endpoint: endpoint, at: at}
	bla.crashes = append(bla.crashes, crs)
	slices.SortStableFunc(bla.crashes, func(one, other *blameCrash) int { return one.at.Compare(other.at) })
	if len(bla.crashes) > maxBlameCrashes {
		bla.crashes = slices.Delete(bla.crashes, 0, 1)
	}
	return crs
}

// IsKnownSound reports whether a request with each of the parts has been shown to be sound.
func (bla *Blame) IsKnownSound(parts []string) bool {
	return !slices.ContainsFunc(parts, func(part string) bool { return bla.soundAt(part).IsZero() })
}

// Sound records that an engine that began to answer a request with these parts at the time at did not crash. It reports
// whether a crash has been blamed on one of them, so that other daemons must learn of it.
func (bla *Blame) Sound(now, at time.Time, parts []string) (blamed bool) {
	for _, part := range parts {
		if at.After(bla.soundAt(part)) {
			bla.setSound(part, at)
		}
		blamed = blamed || bla.isBlamed(part)
	}
	if blamed && len(bla.condemned) > 0 {
		bla.evaluate(now)
	}
	return blamed
}

func (bla *Blame) setSound(part string, at time.Time) {
	if len(bla.sound) >= maxSoundParts {
		bla.sound, bla.older = map[string]time.Time{}, bla.sound
	}
	bla.sound[part] = at
}

// soundAt returns the time of the latest event for a request with the part; zero if none is known.
func (bla *Blame) soundAt(part string) time.Time {
	if at, ok := bla.sound[part]; ok {
		return at
	}
	return bla.older[part]
}

func (bla *Blame) isBlamed(part string) bool {
	return slices.ContainsFunc(bla.crashes, func(crs *blameCrash) bool { return crs.has(part) })
}

func (crs *blameCrash) has(part string) bool {
	return slices.ContainsFunc(crs.reports, func(rep PartCrash) bool { return slices.Contains(rep.Parts, part) })
}

// SoundAges returns the time since the latest event of a request with each of the parts, for those that had one.
func (bla *Blame) SoundAges(now time.Time, parts []string) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, part := range parts {
		if at := bla.soundAt(part); !at.IsZero() {
			ages[part] = now.Sub(at)
		}
	}
	return ages
}

// News returns the SoundAges of blamed parts that the other daemons do not know yet and that change what they blame.
func (bla *Blame) News(now time.Time) map[string]time.Duration {
	var parts []string
	for _, crs := range bla.crashes {
		for _, rep := range crs.reports {
			parts = append(parts, rep.Parts...)
		}
	}
	news := bla.SoundAges(now, parts)
	for part := range news {
		known, at := bla.shared[part], bla.soundAt(part)
		changes := slices.ContainsFunc(bla.crashes, func(crs *blameCrash) bool {
			return crs.has(part) && known.Before(crs.at) && at.After(crs.at)
		})
		if !known.IsZero() && !changes {
			delete(news, part)
		}
	}
	bla.Shared(now, news)
	return news
}

// Shared records that all daemons know of the soundness of parts, given as in SoundAges.
func (bla *Blame) Shared(now time.Time, ages map[string]time.Duration) {
	for part, age := range ages {
		if at := now.Add(-age); bla.isBlamed(part) && at.After(bla.shared[part]) {
			bla.shared[part] = at
		}
	}
}

// Crashes returns the reports of crashes that parts are blamed for, with their times: first those for which parts are
// condemned, then the latest.
func (bla *Blame) Crashes() iter.Seq2[time.Time, PartCrash] {
	crashes := slices.Clone(bla.crashes)
	slices.Reverse(crashes)
	slices.SortStableFunc(crashes, func(one, other *blameCrash) int {
		return cmp.Compare(bla.rank(one), bla.rank(other))
	})
	return func(yield func(time.Time, PartCrash) bool) {
		for _, crs := range crashes {
			begun := crs.hasBegun() || crs.hasStarted()
			for _, rep := range crs.reports {
				if (rep.Begun || rep.Started) == begun && !yield(crs.at, rep) {
					return
				}
			}
		}
	}
}

// rank returns 0 for a crash that a condemned part explains, 1 for others.
func (bla *Blame) rank(crs *blameCrash) int {
	for _, explained := range bla.condemned {
		if explained[crs] {
			return 0
		}
	}
	return 1
}

// Condemned returns a part because of which a request with these parts must not be run. The part is empty if the request
// may run; trial is true if it may only run to show which of several parts is at fault.
func (bla *Blame) Condemned(now time.Time, parts []string) (condemned string, trial bool) {
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

// Forget drops expired crashes and what is condemned for them.
func (bla *Blame) Forget(now time.Time) {
	if len(bla.crashes) > 0 && now.Sub(bla.crashes[0].at) >= blameRetention {
		bla.evaluate(now)
	}
}

// CondemnedCount returns the number of condemned parts.
func (bla *Blame) CondemnedCount() int {
	return len(bla.condemned)
}

// tries reports whether a request with a condemned part may run as a trial. If requests had several parts in common when
// they crashed engines, any of these may be at fault. A request with only some of them shows which.
func (bla *Blame) tries(now time.Time, part string, parts []string) bool {
	explained := bla.condemned[part]
	if len(explained) >= maxTrialCrashes || now.Sub(bla.triedAt[part]) < trialInterval {
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

// evaluate drops expired crashes, determines the condemned parts and returns those that were not condemned before.
func (bla *Blame) evaluate(now time.Time) (added []string) {
	bla.crashes = slices.DeleteFunc(bla.crashes, func(crs *blameCrash) bool { return now.Sub(crs.at) >= blameRetention })
	old := bla.condemned
	bla.condemned = map[string]map[*blameCrash]bool{}
	first, unproven := bla.candidates()
	for part, crashes := range first {
		if begun, started, lost := bla.count(crashes); begun >= condemningCrashes || begun+started+lost >= condemningLosses {
			bla.condemned[part] = unproven[part]
		}
	}
	for part, crashes := range unproven {
		if begun, started, _ := bla.count(crashes); begun+started >= condemningSoundCrashes && bla.condemned[part] == nil && !bla.isExplained(crashes, nil) {
			bla.condemned[part] = crashes
		}
	}
	for part := range bla.condemned {
		if old[part] == nil {
			added = append(added, part)
		}
	}
	for part := range bla.shared {
		if !bla.isBlamed(part) {
			delete(bla.shared, part)
		}
	}
	for part := range bla.triedAt {
		if bla.condemned[part] == nil {
			delete(bla.triedAt, part)
		}
	}
	slices.Sort(added)
	return added
}

// count returns how many of the crashes came just as an endpoint began to answer, how many just after its first events, spaced
// by startedInterval, and how many others, spaced by lossInterval.
func (bla *Blame) count(crashes map[*blameCrash]bool) (begun, started, lost int) {
	var lastStart, lastLoss time.Time
	for _, crs := range bla.crashes {
		switch {
		case !crashes[crs]:
		case crs.hasBegun():
			begun++
		case crs.hasStarted():
			if crs.at.Sub(lastStart) >= startedInterval {
				started++
				lastStart = crs.at
			}
		case crs.at.Sub(lastLoss) >= lossInterval:
			lost++
			lastLoss = crs.at
		}
	}
	return begun, started, lost
}

func (crs *blameCrash) hasBegun() bool {
	return slices.ContainsFunc(crs.reports, func(rep PartCrash) bool { return rep.Begun })
}

func (crs *blameCrash) hasStarted() bool {
	return slices.ContainsFunc(crs.reports, func(rep PartCrash) bool { return rep.Started })
}

// candidates returns the crashes by part that may be at fault for them: first the parts of requests that are blamed
// before their other parts, unproven all parts without an event since the crash.
func (bla *Blame) candidates() (first, unproven map[string]map[*blameCrash]bool) {
	first, unproven = map[string]map[*blameCrash]bool{}, map[string]map[*blameCrash]bool{}
	for _, crs := range bla.crashes {
		begun := crs.hasBegun() || crs.hasStarted()
		for _, rep := range crs.reports {
			// If the endpoint had begun to answer a request, the requests that waited there are not at fault.
			if (rep.Begun || rep.Started) != begun {
				continue
			}
			neverSent := slices.ContainsFunc(rep.Parts, func(part string) bool { return bla.soundAt(part).IsZero() })
			for _, part := range rep.Parts {
				at := bla.soundAt(part)
				if at.After(crs.at) {
					continue
				}
				add(unproven, part, crs)
				if at.IsZero() || !neverSent {
					add(first, part, crs)
				}
			}
		}
	}
	return first, unproven
}

func add(sets map[string]map[*blameCrash]bool, part string, crs *blameCrash) {
	if sets[part] == nil {
		sets[part] = map[*blameCrash]bool{}
	}
	sets[part][crs] = true
}
