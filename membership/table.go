package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayacroft/provider"
)

const (
	// ExchangeInterval is the time between two exchanges that a daemon starts.
	ExchangeInterval = time.Second
	// suspectTime is the time in which a suspect member can refute the suspicion before it is gone; five exchanges
	// reach every one of 400 members with a probability above 99%.
	suspectTime = 5 * time.Second
	// forgetTime is the time for which a member that is gone is kept and called occasionally.
	// It exceeds the hour for which regions may be cut off from each other.
	forgetTime = 2 * time.Hour
	// changeSendsPerBit is the number of messages that carry a change before other entries, for each bit of
	// the member count.
	changeSendsPerBit = 2
)

// Table holds a daemon's view of all entry daemons. It isn't safe for concurrent use.
type Table struct {
	self    Entry
	members map[string]*record
	// names holds the sorted names of the members, or nil after a member was added or removed.
	names []string
	// byID holds the members by the identifier of their incarnation.
	byID map[int64]*record
	// pendingChanges holds the members with a change that messages carry before other entries.
	pendingChanges map[string]*record
	vms            map[string]vmEntry
	vmNames        []string
	notices        map[string]*noticeRecord
	// over holds the organisations that are over their limit.
	over map[string]*overRecord
	// messages is the number of messages composed.
	messages int
	// formerVersion is the greatest version of the configuration that another incarnation of this daemon had in force.
	formerVersion int64
	// unanswered holds the names of the VMs in the platform's list that did not answer a call and are not members.
	unanswered map[string]bool
	// known is the number of members that were not gone at the last tick. recentStarts is the number of those that
	// started within recentStartTime.
	known, recentStarts int
	// listPause is the least time between two requests for a list of members, listAt the time of the last request.
	listPause time.Duration
	listAt    time.Time
	// antiEntropy holds the members whose states messages repeat at random for daemons that missed them: those that are
	// gone, and those that have refuted a suspicion or are leaving. It is computed along with present and absent.
	antiEntropy []*record
	// present and absent are the targets of exchanges: those expected to answer, and those that are gone or did not
	// answer. Both are nil after a change of the table.
	present, absent []Target
	// changed is true if the table changed after the last call of Changed.
	changed bool
}

type record struct {
	Entry
	// formerEntry is the entry of the incarnation that this one replaced; it is sent to the new incarnation.
	formerEntry *Entry
	// nameConflict is true after a message from another incarnation of the same name that is older by its clock.
	nameConflict bool
	seenAt       time.Time
	stateAt      time.Time
	// firstSeenAt is the time at which this daemon first received an entry of the incarnation.
	firstSeenAt time.Time
	// pendingSince is the time of the last change that was put into pendingChanges.
	pendingSince time.Time
	// sends is the number of messages that carried that change.
	sends int
}

type vmEntry struct {
	provider.VM
	// leavingIncarnation is the incarnation that the table held when the list first marked the VM as leaving.
	leavingIncarnation string
}

// NewTable returns the table of a daemon that has just started.
func NewTable(now time.Time, self Member) *Table {
	return &Table{
		self: Entry{
			Name: self.Name, Address: self.Address, AdminAddress: self.AdminAddress, FailureDomain: self.FailureDomain,
			Incarnation: self.Incarnation, Epoch: now.UnixMilli(), State: StateLive,
		},
		members:        map[string]*record{},
		byID:           map[int64]*record{},
		pendingChanges: map[string]*record{},
		vms:            map[string]vmEntry{},
		notices:        map[string]*noticeRecord{},
		over:           map[string]*overRecord{},

		unanswered: map[string]bool{},
		listPause:  minListPause,
		changed:    true,
	}
}

// SetVersion sets the version of the configuration that this daemon has in force.
func (tab *Table) SetVersion(version int64) {
	if tab.self.Version != version {
		tab.self.Version = version
		tab.markChanged()
	}
}

// Leave marks this daemon as leaving, which means that it takes no new work. It reports whether the mark is new.
func (tab *Table) Leave() bool {
	if tab.self.State == StateLeaving {
		return false
	}
	tab.self.State = StateLeaving
	tab.self.Revision++
	tab.markChanged()
	return true
}

// FormerVersion returns the greatest version of the configuration that another incarnation of this daemon had in force.
func (tab *Table) FormerVersion() int64 {
	return tab.formerVersion
}

// SetVMs applies the platform's list of VMs.
func (tab *Table) SetVMs(vms []provider.VM) {
	next := make(map[string]vmEntry, len(vms))
	for _, vmm := range vms {
		ent := vmEntry{VM: vmm}
		if vmm.State == provider.VMLeaving {
			ent.leavingIncarnation = tab.vms[vmm.Name].leavingIncarnation
			if rec, ok := tab.members[vmm.Name]; ok && ent.leavingIncarnation == "" {
				ent.leavingIncarnation = rec.Incarnation
			}
		}
		if tab.vms[vmm.Name].Address != vmm.Address {
			delete(tab.unanswered, vmm.Name)
		}
		next[vmm.Name] = ent
	}
	tab.vms, tab.vmNames = next, sortedNames(next)
	tab.markChanged()
}

// Receive merges a message from another daemon.
func (tab *Table) Receive(now time.Time, msg Message) {
	tab.merge(now, msg.Sender, true)
	for _, ent := range msg.Members {
		tab.merge(now, ent, false)
	}
	for _, cha := range msg.Changes {
		tab.mergeChange(now, cha)
	}
	for _, ntc := range msg.Leaving {
		tab.AddNotice(now, ntc)
	}
	for organisation, seconds := range msg.OverLimit {
		tab.MarkOverLimit(now, organisation, time.Duration(min(seconds, int(maxOverLimitTime/time.Second)))*time.Second)
	}
}

// mergeChange applies a change of a known incarnation. It ignores the others, whose entries arrive in other messages.
func (tab *Table) mergeChange(now time.Time, cha Change) {
	ent := tab.self
	if rec, ok := tab.byID[cha[0]]; ok {
		ent = rec.Entry
	} else if cha[0] != id(tab.self.Incarnation) {
		return
	}
	if cha[2] < 0 || cha[2] >= int64(len(states)) {
		return
	}
	ent.Revision, ent.State = cha[1], states[cha[2]]
	tab.merge(now, ent, false)
}

func (tab *Table) merge(now time.Time, ent Entry, direct bool) {
	if !ent.valid() {
		return
	}
	if ent.Name == tab.self.Name {
		tab.mergeSelf(ent)
		return
	}
	rec, ok := tab.members[ent.Name]
	if !ok {
		if ent.State == StateGone {
			return
		}
		rec := &record{Entry: ent, seenAt: now, stateAt: now, firstSeenAt: now}
		if now.Sub(time.UnixMilli(ent.Epoch)) < pendingTime {
			tab.queueChange(now, rec)
		}
		tab.members[ent.Name], tab.byID[id(ent.Incarnation)] = rec, rec
		tab.names = nil
		delete(tab.unanswered, ent.Name)
		tab.markChanged()
		return
	}
	if ent.Incarnation == rec.Incarnation && ent.Version > rec.Version {
		rec.Version, tab.changed = ent.Version, true
	}
	switch {
	case ent.newer(rec.Entry):
		tab.replace(now, rec, ent, direct)
	case direct && ent.Incarnation == rec.Incarnation:
		tab.confirm(now, rec, ent)
	case direct:
		rec.nameConflict = true
	}
}

// replace replaces the entry of a member by a newer one.
func (tab *Table) replace(now time.Time, rec *record, ent Entry, direct bool) {
	if ent.Incarnation == rec.Incarnation {
		ent.Version = rec.Version
	} else {
		old := rec.Entry
		rec.formerEntry, rec.firstSeenAt = &old, now
		delete(tab.byID, id(old.Incarnation))
		tab.byID[id(ent.Incarnation)] = rec
	}
	if ent.State != rec.State || ent.Incarnation != rec.Incarnation {
		rec.stateAt = now
		tab.queueChange(now, rec)
	}
	if direct || ent.Revision > rec.Revision || ent.Epoch > rec.Epoch {
		rec.seenAt = now
	}
	rec.Entry = ent
	tab.markChanged()
}

// confirm records that a member sent a message, and its state, whatever others report. The member refutes such reports
// once it receives them.
func (tab *Table) confirm(now time.Time, rec *record, ent Entry) {
	rec.seenAt = now
	if rec.State != ent.State {
		tab.setState(now, rec, ent.State)
		tab.markChanged()
	}
}

// mergeSelf refutes reports of others on this daemon's state. From entries of its other incarnations it learns their
// versions, and it raises its own epoch above theirs.
func (tab *Table) mergeSelf(ent Entry) {
	if ent.Incarnation != tab.self.Incarnation {
		tab.formerVersion = max(tab.formerVersion, ent.Version)
		if ent.Epoch >= tab.self.Epoch {
			tab.self.Epoch = ent.Epoch + 1
			tab.markChanged()
		}
		return
	}
	if ent.newer(tab.self) {
		tab.self.Revision = ent.Revision + 1
		tab.markChanged()
	}
}

// Failed records that a member did not answer an exchange, and makes it suspect.
func (tab *Table) Failed(now time.Time, name string) {
	rec, ok := tab.members[name]
	if !ok {
		tab.unanswered[name] = true
		tab.present, tab.absent = nil, nil
		return
	}
	if rec.State == StateLive || rec.State == StateLeaving {
		tab.setState(now, rec, StateSuspect)
		tab.markChanged()
	}
}

func (tab *Table) setState(now time.Time, rec *record, sta State) {
	rec.State, rec.stateAt = sta, now
	tab.queueChange(now, rec)
}

func (tab *Table) queueChange(now time.Time, rec *record) {
	rec.pendingSince, rec.sends = now, 0
	tab.pendingChanges[rec.Name] = rec
}

// Tick applies the time-outs: suspect members become gone, and members that are gone, notices and marks of
// organisations over their limit are removed.
func (tab *Table) Tick(now time.Time) {
	tab.known, tab.recentStarts = 0, 0
	for name, rec := range tab.members {
		if rec.State != StateGone {
			tab.known++
			if now.Sub(time.UnixMilli(rec.Epoch)) < recentStartTime {
				tab.recentStarts++
			}
		}
		age := now.Sub(rec.stateAt)
		switch {
		case rec.State == StateSuspect && age > suspectTime:
			tab.setState(now, rec, StateGone)
		case rec.State == StateGone && age > forgetTime:
			delete(tab.members, name)
			delete(tab.byID, id(rec.Incarnation))
			delete(tab.pendingChanges, name)
			tab.names = nil
		default:
			continue
		}
		tab.markChanged()
	}
	for name, ntc := range tab.notices {
		if now.Sub(ntc.receivedAt) > noticeTime {
			delete(tab.notices, name)
		}
	}
	for organisation, rec := range tab.over {
		if !now.Before(rec.until) {
			delete(tab.over, organisation)
		}
	}
}

// markChanged records that the table has changed, so that the targets of exchanges are computed again.
func (tab *Table) markChanged() {
	tab.changed = true
	tab.present, tab.absent = nil, nil
}

// Changed reports whether the table changed after the last call, so that Members may return something new.
func (tab *Table) Changed() bool {
	changed := tab.changed
	tab.changed = false
	return changed
}

// Members lists all known daemons in order of name, this one included.
func (tab *Table) Members(now time.Time) []Member {
	members := []Member{tab.self.member(now)}
	for _, rec := range tab.members {
		mem := rec.member(rec.seenAt)
		if vmm := tab.vms[rec.Name]; mem.State == StateLive && vmm.leavingIncarnation == rec.Incarnation {
			mem.State = StateLeaving
		}
		members = append(members, mem)
	}
	slices.SortFunc(members, func(one, other Member) int { return cmp.Compare(one.Name, other.Name) })
	return members
}

func (ent Entry) member(seenAt time.Time) Member {
	return Member{
		Name: ent.Name, Address: ent.Address, AdminAddress: ent.AdminAddress, FailureDomain: ent.FailureDomain,
		Incarnation: ent.Incarnation, State: ent.State, Version: ent.Version, SeenAt: seenAt,
	}
}

func (tab *Table) sortedMembers() []string {
	if tab.names == nil {
		tab.names = sortedNames(tab.members)
	}
	return tab.names
}

func sortedNames[T any](items map[string]T) []string {
	return slices.Sorted(maps.Keys(items))
}
