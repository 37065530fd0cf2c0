package dispatch

import (
	"maps"
	"slices"
	"time"
)

// suspicion connects a crash with a part of the requests that ran at the endpoint.
type suspicion struct {
	crash *blameCrash
	// stage is the most suspicious one of the requests with the part.
	stage stage
	// beganAt is when the endpoint began to answer the latest of these requests.
	beganAt time.Time
}

// needed returns how long another run with the part must have lasted to show that the part is not at fault.
func (sus *suspicion) needed() time.Duration {
	return sus.crash.at.Sub(sus.beganAt) + SurvivalMargin
}

// evaluate drops expired crashes and determines the condemned parts.
func (bla *Blame) evaluate(now time.Time) {
	bla.changed, bla.evaluatedAt = false, now
	if len(bla.crashes) == 0 {
		return
	}
	bla.crashes = slices.DeleteFunc(bla.crashes, func(crs *blameCrash) bool { return now.Sub(crs.at) >= blameRetention })
	clear(bla.condemned)
	clear(bla.refuting)
	suspects := bla.suspects(now)
	for _, suffices := range []grounds{isBegunTwice, isStartedOften, isLostOften} {
		bla.condemn(now, suspects, false, suffices)
	}
	bla.condemn(now, suspects, true, hasTurned)
	maps.DeleteFunc(bla.triedAt, func(part string, _ time.Time) bool { return bla.condemned[part] == nil })
}

// grounds decides whether the crashes that no other part explains suffice to condemn a part.
type grounds func(now time.Time, all []suspicion) bool

// condemn condemns the parts for which the grounds suffice: with known, those that have been in a whole answer, otherwise the
// others. Crashes that a part explains which was condemned on stronger grounds are left out.
func (bla *Blame) condemn(now time.Time, suspects map[string][]suspicion, known bool, suffices grounds) {
	explained := map[*blameCrash]bool{}
	for _, crashes := range bla.condemned {
		maps.Copy(explained, crashes)
	}
	for part, all := range suspects {
		if bla.condemned[part] != nil || known == bla.soundness(part).knownAt.IsZero() {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(all), func(sus suspicion) bool { return explained[sus.crash] })
		if suffices(now, left) && (len(left) >= condemningTogether || bla.isMajority(left)) {
			bla.condemned[part] = crashesOf(all)
		}
	}
}

// isMajority reports whether at least half of all crashes from the first to the last of the given ones are among them. While
// engines crash for other reasons, it takes more crashes to show that a part is at fault.
func (bla *Blame) isMajority(some []suspicion) bool {
	from, to, total := some[0].crash.at, some[len(some)-1].crash.at, 0
	for _, crs := range bla.crashes {
		if !crs.at.Before(from) && !crs.at.After(to) {
			total++
		}
	}
	return 2*len(some) >= total
}

func crashesOf(all []suspicion) map[*blameCrash]bool {
	crashes := map[*blameCrash]bool{}
	for _, sus := range all {
		crashes[sus.crash] = true
	}
	return crashes
}

// suspects returns the crashes that each part may be at fault for, the oldest first. It leaves out parts with too few.
func (bla *Blame) suspects(now time.Time) map[string][]suspicion {
	suspects := map[string][]suspicion{}
	runs, answering := bla.survivors()
	for _, crs := range bla.crashes {
		if answering[crs.endpoint] {
			continue
		}
		begun := slices.ContainsFunc(crs.reports, func(rep PartCrash) bool { return rep.Begun })
		for part, sus := range crs.parts {
			// If the endpoint had just begun to answer a request, the requests that waited there are not at fault.
			if !begun || sus.stage != stageWaiting {
				suspects[part] = append(suspects[part], sus)
			}
		}
	}
	maps.DeleteFunc(suspects, func(_ string, all []suspicion) bool { return len(all) < condemningCrashes })
	for part, all := range suspects {
		if suspects[part] = bla.unrefuted(now, part, all, runs[part]); len(suspects[part]) == 0 {
			delete(suspects, part)
		}
	}
	return suspects
}

// unrefuted returns the crashes for which no run with the part shows that the part is not at fault.
func (bla *Blame) unrefuted(now time.Time, part string, all []suspicion, runs []*Exposure) []suspicion {
	soundAt := bla.soundness(part).at
	taken := map[*Exposure]bool{}
	var left []suspicion
	for _, sus := range slices.Backward(all) {
		if soundAt.After(sus.beganAt) {
			continue
		}
		if exp := refuter(now, runs, &sus, taken); exp != nil {
			taken[exp] = !exp.Whole
			bla.refuting[part] = append(bla.refuting[part], refutation{run: exp, needed: sus.needed()})
			continue
		}
		left = append(left, sus)
	}
	slices.Reverse(left)
	return left
}

// isBegunTwice reports whether engines crashed after the head of answers and before the first event.
func isBegunTwice(_ time.Time, all []suspicion) bool {
	begun, _, _ := count(all)
	return begun >= condemningCrashes
}

// isStartedOften reports whether engines crashed during answers or after them.
func isStartedOften(now time.Time, all []suspicion) bool {
	answered := slices.DeleteFunc(slices.Clone(all), func(sus suspicion) bool { return sus.stage == stageWaiting })
	begun, started, _ := count(answered)
	return begun+started >= condemningLosses || isTogether(now, answered)
}

// isLostOften reports whether engines crashed while they ran requests, some of them before the answer began.
func isLostOften(now time.Time, all []suspicion) bool {
	begun, started, lost := count(all)
	return begun+started+lost >= condemningLosses || isTogether(now, all)
}

// hasTurned reports whether engines crashed with a part that was sound before.
func hasTurned(now time.Time, all []suspicion) bool {
	begun, started, lost := count(all)
	return begun+started+lost >= condemningSoundCrashes || isTogether(now, all)
}

// isTogether reports whether so many engines crashed that the part is at fault even if they crashed at the same time.
func isTogether(now time.Time, all []suspicion) bool {
	return len(all) >= condemningTogether && now.Sub(all[condemningTogether-1].crash.at) >= togetherDelay
}

// count returns how many of the crashes came after the head of an answer and before its first event, how many later, spaced by
// startedInterval, and how many others, spaced by lossInterval.
func count(all []suspicion) (begun, started, lost int) {
	var lastStart, lastLoss time.Time
	for _, sus := range all {
		at := sus.crash.at
		switch {
		case sus.stage == stageBegun:
			begun++
		case sus.stage == stageStarted && at.Sub(lastStart) >= startedInterval:
			started++
			lastStart = at
		case sus.stage == stageWaiting && at.Sub(lastLoss) >= lossInterval:
			lost++
			lastLoss = at
		}
	}
	return begun, started, lost
}
