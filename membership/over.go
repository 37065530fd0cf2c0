package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxOverLimitTime is the longest time for which one message can mark an organisation as over its limit; owners
	// send the mark again if the organisation stays over its limit.
	maxOverLimitTime = time.Minute
	// minOverExtension is the least extension of an organisation's time that is applied and broadcast; shorter ones
	// are ignored.
	minOverExtension = 10 * time.Second
)

// overRecord holds the time until which an organisation is marked as over its limit.
type overRecord struct {
	until time.Time
	sends int
}

// MarkOverLimit marks an organisation as over its limit for some time. Messages carry durations instead of times, so
// that clocks need not agree. A duration only decreases when daemons pass it on, so that an outdated mark expires.
func (tab *Table) MarkOverLimit(now time.Time, organisation string, left time.Duration) {
	until := now.Add(min(left, maxOverLimitTime))
	rec, ok := tab.over[organisation]
	switch {
	case organisation == "" || left <= 0:
	case !ok:
		tab.over[organisation] = &overRecord{until: until}
	case until.Sub(rec.until) >= minOverExtension:
		rec.until, rec.sends = until, 0
	}
}

// IsOverLimit reports whether an organisation is marked as over its limit.
func (tab *Table) IsOverLimit(now time.Time, organisation string) bool {
	rec, ok := tab.over[organisation]
	return ok && now.Before(rec.until)
}

// addOverLimit adds the organisation that was sent least often, if there is room. One organisation per message bounds
// the bytes.
func (tab *Table) addOverLimit(now time.Time, cps *composer) {
	names := sortedNames(tab.over)
	if len(names) == 0 {
		return
	}
	name := slices.MinFunc(names, func(one, other string) int { return cmp.Compare(tab.over[one].sends, tab.over[other].sends) })
	left := tab.over[name].until.Sub(now)
	over := map[string]int{name: int(left / time.Second)}
	if left < time.Second || size(over)+len(`"over":`) > cps.room+MaxMessageBytes-targetMessageBytes {
		return
	}
	tab.over[name].sends++
	cps.OverLimit = over
}
