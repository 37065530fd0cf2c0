package membership

import "math/rand/v2"

const (
	// absentOdds bounds the exchanges with absent targets, which are not known to answer: at most one in ten.
	absentOdds = 10
	// absentCallsPerSecond is the number of calls a second that an absent member gets from all daemons together. With 1,
	// some daemons still took a member of a region for gone ten minutes after the region was connected again.
	absentCallsPerSecond = 2
)

// Target is the address of a daemon to exchange with. Its name need not be that of a member.
type Target struct {
	Name    string
	Address string
}

// Target chooses the target of the next exchange at random.
// Occasionally it is one that is not known to answer, so that restarted daemons and separated regions find each other.
func (tab *Table) Target(rnd *rand.Rand) (Target, bool) {
	if tab.present == nil && tab.absent == nil {
		tab.findTargets()
	}
	present := tab.present
	if absent := len(tab.absent); absent > 0 {
		// A few absent members get a few times the calls of one that answers. With absentOdds alone, 400 daemons called
		// a single absent member 40 times a second.
		odds := max(absentOdds, (len(present)+absent)/(absentCallsPerSecond*absent))
		if len(present) == 0 || rnd.IntN(odds) == 0 {
			present = tab.absent
		}
	}
	if len(present) == 0 {
		return Target{}, false
	}
	return present[rnd.IntN(len(present))], true
}

func (tab *Table) findTargets() {
	tab.antiEntropy = nil
	for _, name := range tab.sortedMembers() {
		rec := tab.members[name]
		if rec.State == StateGone || rec.Revision > 0 {
			tab.antiEntropy = append(tab.antiEntropy, rec)
		}
		if rec.State == StateGone {
			tab.absent = append(tab.absent, Target{name, rec.Address})
		} else {
			tab.present = append(tab.present, Target{name, rec.Address})
		}
	}
	for _, name := range tab.vmNames {
		vmm := tab.vms[name]
		rec, ok := tab.members[name]
		if name == tab.self.Name || vmm.Address == tab.self.Address || ok && rec.Address == vmm.Address {
			continue
		}
		// A VM of the list that was not called yet is taken for a new daemon and not for a failed one.
		if ok || tab.unanswered[name] {
			tab.absent = append(tab.absent, Target{name, vmm.Address})
		} else {
			tab.present = append(tab.present, Target{name, vmm.Address})
		}
	}
}

// Sample returns up to count random members that are not gone, other than this daemon.
func (tab *Table) Sample(rnd *rand.Rand, count int) []Target {
	var live []Target
	for _, name := range tab.sortedMembers() {
		if rec := tab.members[name]; rec.State != StateGone {
			live = append(live, Target{name, rec.Address})
		}
	}
	rnd.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(count, len(live))]
}
