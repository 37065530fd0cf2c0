package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayacroft/provider"
)

const (
	// ExchangeInterval is the time between two exchanges that a daemon begins.
	ExchangeInterval = time.Second
	// suspectTime is the time in which a suspect may show that it lives; five exchanges
	// reach every one of 400 members with a probability above 99%.
	suspectTime = 5 * time.Second
	// forgetTime is the time for which a member that is gone is still tried now and then.
	// It exceeds the hour for which regions may be apart.
	forgetTime = 2 * time.Hour
	// changeSendsPerBit bounds the messages that carry a change before others,
	// by the logarithm of the member count.
	changeSendsPerBit = 2
)

// Table holds what a daemon knows of all daemons. It isn't safe for concurrent use.
type Table struct {
	self    Entry
	members map[string]*record
	// names holds the sorted names of the members, or nil after one came or went.
	names []string
	// byID holds the members by the identifier of their incarnation.
	byID map[int64]*record
	// news holds the members with a change that others should hear of soon.
	news    map[string]*record
	vms     map[string]vmEntry
	vmNames []string
	notices map[string]*noticeRecord
	// over holds the organisations over their limit.
	over map[string]*overRecord
	// messages is the number of messages composed.
	messages int
	// former is the greatest version that another incarnation of this daemon had in force.
	former int64
	// unanswered holds names of the VM list that did not answer and were never met.
	unanswered map[string]bool
	// known and young are the numbers of members that are not gone, and of those that started lately, at the last tick.
	known, young int
	// listPause is the least time between two lists of members, listAt the time of the last one.
	listPause time.Duration
	listAt    time.Time
	// doubted holds the members that were gone, or had shown that they live, when present and absent were found.
	doubted []*record
	// present and absent are the targets of exchanges, or nil after a change.
	present, absent []Target
	// changed is true until Members is called.
	changed bool
}

type record struct {
	Entry
	// former is the entry of the incarnation that this one replaced; the daemon itself is told of it.
	former *Entry
	// contested is true after another incarnation with an earlier clock called under the same name.
	contested bool
	seenAt    time.Time
	stateAt   time.Time
	// metAt is the time at which this daemon first heard of the incarnation.
	metAt time.Time
	// newsAt is the time of a change that others should hear of soon.
	newsAt time.Time
	sends  int
}

type vmEntry struct {
	provider.VM
	// leavingIncarnation is the one that lived when the list first said that the VM is leaving.
	leavingIncarnation string
}

// NewTable returns the table of a daemon that has just started.
func NewTable(now time.Time, self Member) *Table {
	return &Table{
		self: Entry{
			Name: self.Name, Address: self.Address, AdminAddress: self.AdminAddress, FailureDomain: self.FailureDomain,
			Incarnation: self.Incarnation, Epoch: now.UnixMilli(), State: StateLive,
		},
		members: map[string]*record{},
		byID:    map[int64]*record{},
		news:    map[string]*record{},
		vms:     map[string]vmEntry{},
		notices: map[string]*noticeRecord{},
		over:    map[string]*overRecord{},

		unanswered: map[string]bool{},
		listPause:  minListPause,
		changed:    true,
	}
}

// SetVersion notes the version that this daemon has in force.
func (tab *Table) SetVersion(version int64) {
	if tab.self.Version != version {
		tab.self.Version = version
		tab.touch()
	}
}

// Leave notes that this daemon takes no new work and reports whether that is new.
func (tab *Table) Leave() bool {
	if tab.self.State == StateLeaving {
		return false
	}
	tab.self.State = StateLeaving
	tab.self.Beat++
	tab.touch()
	return true
}

// Former returns the greatest version that another incarnation of this daemon had in force.
func (tab *Table) Former() int64 {
	return tab.former
}

// SetVMs takes in the platform's list.
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
	tab.touch()
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
		tab.Notice(now, ntc)
	}
	for organisation, seconds := range msg.Over {
		tab.Over(now, organisation, time.Duration(min(seconds, int(maxOverTime/time.Second)))*time.Second)
	}
}

// mergeChange takes in a change of an incarnation; entries of unknown ones come later.
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
	ent.Beat, ent.State = cha[1], states[cha[2]]
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
		rec := &record{Entry: ent, seenAt: now, stateAt: now, metAt: now}
		if now.Sub(time.UnixMilli(ent.Epoch)) < newsTime {
			tab.setNews(now, rec)
		}
		tab.members[ent.Name], tab.byID[id(ent.Incarnation)] = rec, rec
		tab.names = nil
		delete(tab.unanswered, ent.Name)
		tab.touch()
		return
	}
	if ent.Incarnation == rec.Incarnation && ent.Version > rec.Version {
		rec.Version, tab.changed = ent.Version, true
	}
	switch {
	case ent.newer(rec.Entry):
		tab.replace(now, rec, ent, direct)
	case direct && ent.Incarnation == rec.Incarnation:
		tab.heard(now, rec, ent)
	case direct:
		rec.contested = true
	}
}

// replace takes over a newer entry.
func (tab *Table) replace(now time.Time, rec *record, ent Entry, direct bool) {
	if ent.Incarnation == rec.Incarnation {
		ent.Version = rec.Version
	} else {
		old := rec.Entry
		rec.former, rec.metAt = &old, now
		delete(tab.byID, id(old.Incarnation))
		tab.byID[id(ent.Incarnation)] = rec
	}
	if ent.State != rec.State || ent.Incarnation != rec.Incarnation {
		rec.stateAt = now
		tab.setNews(now, rec)
	}
	if direct || ent.Beat > rec.Beat || ent.Epoch > rec.Epoch {
		rec.seenAt = now
	}
	rec.Entry = ent
	tab.touch()
}

// heard notes that a member answers, whatever others say; it refutes them once it hears of it.
func (tab *Table) heard(now time.Time, rec *record, ent Entry) {
	rec.seenAt = now
	if rec.State != ent.State {
		tab.setState(now, rec, ent.State)
		tab.touch()
	}
}

// mergeSelf refutes what others say of this daemon and learns of its former incarnation.
func (tab *Table) mergeSelf(ent Entry) {
	if ent.Incarnation != tab.self.Incarnation {
		tab.former = max(tab.former, ent.Version)
		if ent.Epoch >= tab.self.Epoch {
			tab.self.Epoch = ent.Epoch + 1
			tab.touch()
		}
		return
	}
	if ent.newer(tab.self) {
		tab.self.Beat = ent.Beat + 1
		tab.touch()
	}
}

// Failed notes that a member did not answer an exchange.
func (tab *Table) Failed(now time.Time, name string) {
	rec, ok := tab.members[name]
	if !ok {
		tab.unanswered[name] = true
		tab.present, tab.absent = nil, nil
		return
	}
	if rec.State == StateLive || rec.State == StateLeaving {
		tab.setState(now, rec, StateSuspect)
		tab.touch()
	}
}

func (tab *Table) setState(now time.Time, rec *record, sta State) {
	rec.State, rec.stateAt = sta, now
	tab.setNews(now, rec)
}

func (tab *Table) setNews(now time.Time, rec *record) {
	rec.newsAt, rec.sends = now, 0
	tab.news[rec.Name] = rec
}

// Tick applies the bounds on time.
func (tab *Table) Tick(now time.Time) {
	tab.known, tab.young = 0, 0
	for name, rec := range tab.members {
		if rec.State != StateGone {
			tab.known++
			if now.Sub(time.UnixMilli(rec.Epoch)) < recentTime {
				tab.young++
			}
		}
		age := now.Sub(rec.stateAt)
		switch {
		case rec.State == StateSuspect && age > suspectTime:
			tab.setState(now, rec, StateGone)
		case rec.State == StateGone && age > forgetTime:
			delete(tab.members, name)
			delete(tab.byID, id(rec.Incarnation))
			delete(tab.news, name)
			tab.names = nil
		default:
			continue
		}
		tab.touch()
	}
	for name, ntc := range tab.notices {
		if now.Sub(ntc.heardAt) > noticeTime {
			delete(tab.notices, name)
		}
	}
	for organisation, rec := range tab.over {
		if !now.Before(rec.until) {
			delete(tab.over, organisation)
		}
	}
}

// touch notes that what the table knows has changed.
func (tab *Table) touch() {
	tab.changed = true
	tab.present, tab.absent = nil, nil
}

// Changed reports whether Members would return something new, and clears the mark.
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
