package routing

import "time"

// progressStep is the number of tokens of a generation after which its reservation in the tracker is updated.
const progressStep = 16

// Flight is a generation that this daemon has sent to an engine. Token and Progress must not be called concurrently:
// only the relay of the generation's events calls them.
type Flight struct {
	entry     *trackerEntry
	prompt    int
	generated int
	// profile is the memory that is reserved for the generation.
	profile   Profile
	startedAt time.Time
	endedAt   time.Time
	// stepAt is when the current step of progressStep tokens began.
	stepAt time.Time
	// tokenAt is when the last token came; it is zero before the first one.
	tokenAt time.Time
}

// Begin counts a generation that is sent to an engine, and reserves memory for its prompt and for as many output tokens
// as reserve says.
func (trk *Tracker) Begin(now time.Time, name string, prompt, reserve int) *Flight {
	flt := &Flight{entry: trk.entry(name), prompt: prompt, startedAt: now}
	flt.profile = GenerationProfile(prompt, reserve)
	flt.entry.update(func(sta *EndpointStatus) {
		flt.entry.flights[flt] = struct{}{}
		sta.InFlight++
		sta.OwnRunning++
		sta.OwnStarting++
		sta.OwnUnreported += prompt
		sta.Own.add(flt.profile, 1)
	})
	return flt
}

// Token counts a decoded token and reports whether the caller should update the reservation with Progress.
func (flt *Flight) Token(now time.Time) bool {
	flt.generated++
	if flt.tokenAt.IsZero() {
		flt.firstToken(now)
	}
	flt.tokenAt = now
	return flt.generated%progressStep == 0
}

// firstToken records that the prompt has been computed.
func (flt *Flight) firstToken(now time.Time) {
	flt.stepAt = now
	flt.entry.update(func(sta *EndpointStatus) {
		if flt.endedAt.IsZero() {
			sta.OwnStarting--
		}
	})
}

// Generated returns the number of decoded tokens.
func (flt *Flight) Generated() int {
	return flt.generated
}

// Progress replaces the reservation by one for the remaining number of tokens, and records the mean token interval since
// the last call. It has no effect after End.
func (flt *Flight) Progress(now time.Time, remaining int) {
	interval := now.Sub(flt.stepAt) / progressStep
	flt.stepAt = now
	old := flt.profile
	flt.entry.update(func(sta *EndpointStatus) {
		if !flt.endedAt.IsZero() {
			return
		}
		flt.profile = GenerationProfile(flt.prompt+flt.generated, remaining)
		sta.Own.add(old, -1)
		sta.Own.add(flt.profile, 1)
		sta.observeInterval(now, interval)
	})
}

// End removes the generation from the counts of the tracker; a second call has no effect.
func (flt *Flight) End(now time.Time) {
	if !flt.endedAt.IsZero() {
		return
	}
	flt.entry.update(func(sta *EndpointStatus) {
		flt.endedAt = now
		delete(flt.entry.flights, flt)
		flt.entry.ended = append(flt.entry.ended, flt)
		sta.InFlight--
		sta.OwnRunning--
		if flt.tokenAt.IsZero() {
			sta.OwnStarting--
		}
		sta.Own.add(flt.profile, -1)
	})
}

// heldAt estimates the memory that the generation held at an earlier time, from its current size and the token interval;
// it returns 0 if the generation was not running at that time.
func (flt *Flight) heldAt(at, now time.Time, interval time.Duration) int {
	if flt.startedAt.After(at) || (!flt.endedAt.IsZero() && flt.endedAt.Before(at)) {
		return 0
	}
	until := now
	if !flt.endedAt.IsZero() {
		until = flt.endedAt
	}
	since := 0
	if interval > 0 {
		since = int(until.Sub(at) / interval)
	}
	return flt.prompt + max(0, flt.profile[0]-flt.prompt-since)
}
