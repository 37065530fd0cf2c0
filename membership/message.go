package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// noticeTime is the time for which messages repeat a notice, so that a daemon that missed it receives it later.
	noticeTime = 30 * time.Second
	// pendingTime bounds the time for which messages carry a change before other entries; a change reaches
	// 400 members in about ten exchanges.
	pendingTime = 30 * time.Second
	// recentStartTime is the time for which a start is recent. Messages carry the number of recent starts, so that a
	// daemon that missed one notices the difference.
	recentStartTime = 5 * time.Minute
	// justStartedTime is the time after a member's start for which messages to it carry the entry of its former
	// incarnation.
	justStartedTime = time.Minute
	// antiEntropyChanges is the number of random changes in each message for daemons that missed them. Without these,
	// some of 400 daemons took one of 240 lost members for live for ten minutes.
	antiEntropyChanges = 2
	// maxNoticeBytes bounds the notices of a message, to leave room for entries when many endpoints leave at once.
	maxNoticeBytes = 240
)

type noticeRecord struct {
	Notice
	receivedAt time.Time
	sends      int
}

// AddNotice stores the notice of a leaving endpoint and reports whether it is new.
func (tab *Table) AddNotice(now time.Time, ntc Notice) bool {
	if ntc.Endpoint == "" || size(ntc) > maxNoticeBytes {
		return false
	}
	if old, ok := tab.notices[ntc.Endpoint]; ok && !ntc.Since.After(old.Since) {
		return false
	}
	tab.notices[ntc.Endpoint] = &noticeRecord{Notice: ntc, receivedAt: now}
	return true
}

// Notices lists the stored notices of leaving endpoints.
func (tab *Table) Notices() []Notice {
	var notices []Notice
	for _, name := range sortedNames(tab.notices) {
		notices = append(notices, tab.notices[name].Notice)
	}
	return notices
}

// Message composes the request to a member, or the reply to its request.
// Information on the receiver goes first: its former incarnation, or a state that it has to refute. Pending changes
// follow, then one random member if it is a request, and random changes for daemons that missed them. A request also
// names one organisation that is over its limit.
func (tab *Table) Message(now time.Time, rnd *rand.Rand, to string, reply bool) Message {
	msg := Message{Sender: tab.self}
	msg.Known, msg.RecentStarts = tab.known, tab.recentStarts
	cps := composer{Message: &msg}
	cps.room = targetMessageBytes - size(msg) - len(`,"members":[],"changes":[],"leaving":[]`)
	cps.firstExtra = MaxMessageBytes - targetMessageBytes
	// Only every second message carries notices, because the longest names leave no room for both notices and entries.
	// Only the other messages carry the receiver's former incarnation, which in each message would leave no room for
	// the changes that a restarted daemon needs.
	if tab.messages++; tab.messages%2 == 1 {
		tab.addNotices(rnd, &cps)
	}
	peer, found := tab.members[to]
	justStarted := !found || now.Sub(time.UnixMilli(peer.Epoch)) < justStartedTime
	switch {
	case found && justStarted && peer.formerEntry != nil && tab.messages%2 == 0:
		cps.entry(*peer.formerEntry)
	case found && peer.nameConflict:
		cps.entry(peer.Entry)
	case found && (peer.State == StateSuspect || peer.State == StateGone):
		cps.change(peer)
	}
	tab.addPending(now, to, &cps, reply && 2*tab.recentStarts > tab.known)
	if !reply {
		tab.addRandom(rnd, &cps)
	}
	tab.addAntiEntropy(rnd, &cps)
	if !reply {
		tab.addOverLimit(now, &cps)
	}
	return msg
}

// composer fills a message up to its bound.
type composer struct {
	*Message
	// room is the number of bytes left until the message has targetMessageBytes.
	room int
	// firstExtra is the number of bytes by which the first item may exceed the room, so that the longest names fit.
	firstExtra int
}

// reserve takes the bytes of an item from the room and reports whether there were enough.
func (cps *composer) reserve(need int) bool {
	if need > cps.room+cps.firstExtra {
		return false
	}
	cps.room, cps.firstExtra = cps.room-need, 0
	return true
}

func (cps *composer) entry(ent Entry) bool {
	if !cps.reserve(size(ent)) {
		return false
	}
	cps.Members = append(cps.Members, ent)
	return true
}

func (cps *composer) change(rec *record) bool {
	cha := rec.change()
	if !cps.reserve(size(cha)) {
		return false
	}
	cps.Changes = append(cps.Changes, cha)
	return true
}

// addRandom adds one random member.
func (tab *Table) addRandom(rnd *rand.Rand, cps *composer) {
	names := tab.sortedMembers()
	if len(names) == 0 {
		return
	}
	rec := tab.members[names[rnd.IntN(len(names))]]
	if !slices.ContainsFunc(cps.Members, func(ent Entry) bool { return ent.Name == rec.Name }) {
		cps.entry(rec.Entry)
	}
}

// addAntiEntropy adds the states of some random members that are gone or whose state has changed.
func (tab *Table) addAntiEntropy(rnd *rand.Rand, cps *composer) {
	if len(tab.antiEntropy) == 0 {
		return
	}
	for range antiEntropyChanges {
		cps.change(tab.antiEntropy[rnd.IntN(len(tab.antiEntropy))])
	}
}

// addPending adds pending changes, those that were sent least often first, and drops expired ones.
// Incarnations that this daemon first saw within pendingTime are sent as entries, the others as changes. Replies omit
// the entries (changesOnly) while most members have just started, because a list takes a third of the bytes.
func (tab *Table) addPending(now time.Time, to string, cps *composer, changesOnly bool) {
	bound := tab.changeSends()
	var records []*record
	for _, name := range sortedNames(tab.pendingChanges) {
		rec := tab.pendingChanges[name]
		if now.Sub(rec.pendingSince) >= pendingTime || rec.sends >= bound {
			delete(tab.pendingChanges, name)
		} else if name != to {
			records = append(records, rec)
		}
	}
	slices.SortStableFunc(records, func(one, other *record) int { return cmp.Compare(one.sends, other.sends) })
	for _, rec := range records {
		var added bool
		switch whole := now.Sub(rec.firstSeenAt) < pendingTime; {
		case whole && changesOnly:
			continue
		case whole:
			added = cps.entry(rec.Entry)
		default:
			added = cps.change(rec)
		}
		if !added {
			return
		}
		rec.sends++
	}
}

// changeSends is the number of messages that carry a change before other entries.
func (tab *Table) changeSends() int {
	return changeSendsPerBit * bits.Len(uint(len(tab.members)+1))
}

func (tab *Table) addNotices(rnd *rand.Rand, cps *composer) {
	names := sortedNames(tab.notices)
	rnd.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(one, other string) int {
		return cmp.Compare(tab.notices[one].sends, tab.notices[other].sends)
	})
	left := maxNoticeBytes
	for _, name := range names {
		ntc := tab.notices[name]
		need := size(ntc.Notice)
		if need > left || !cps.reserve(need) {
			break
		}
		left -= need
		ntc.sends++
		cps.Leaving = append(cps.Leaving, ntc.Notice)
	}
}
