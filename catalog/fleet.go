package catalog

import (
	"maps"
	"time"
)

// State is the state that an endpoint reports in its entry in the store.
type State string

// The states of an endpoint.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Endpoint is the entry by which one incarnation of an endpoint registered in the store.
type Endpoint struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	State         State
	Slots         int
	// StartedAt is the time at which this incarnation started, in Unix milliseconds. It identifies the incarnation: after
	// a restart under the same id it is greater.
	StartedAt int64
	// Sequence numbers the entries that the incarnation wrote; they may reach the store in another order.
	Sequence int64
	// WarmAt is the time from which the endpoint has its full speed; it is slow until then, after a start.
	WarmAt time.Time
	// ReadAt is when this daemon learnt of the entry.
	ReadAt time.Time
}

// SameAs reports whether two entries are equal apart from Sequence, WarmAt and ReadAt.
func (edp *Endpoint) SameAs(other *Endpoint) bool {
	one, two := *edp, *other
	one.Sequence, two.Sequence = 0, 0
	one.WarmAt, two.WarmAt = time.Time{}, time.Time{}
	one.ReadAt, two.ReadAt = time.Time{}, time.Time{}
	return one == two
}

// IsOlderThan reports whether the entry was written before another one of the same endpoint. Entries of one incarnation are
// ordered by their numbers; without the start of an incarnation, the numbers of a restarted endpoint can't be recognised.
func (edp *Endpoint) IsOlderThan(other *Endpoint) bool {
	if edp.StartedAt != other.StartedAt {
		return edp.StartedAt < other.StartedAt
	}
	return edp.StartedAt > 0 && edp.Sequence < other.Sequence
}

// LeavingMark records that one incarnation of an endpoint is leaving, and since when this daemon has known.
type LeavingMark struct {
	At        time.Time
	StartedAt int64
	// Sequence is the number of the last entry that said so, or of the last one before the entry was removed; noSequence
	// if the mark follows from no entry.
	Sequence int64
	// Stated is true if the endpoint itself said so in an answer. Then no entry of the incarnation lifts the mark.
	Stated bool
}

// noSequence is lower than the number of any entry.
const noSequence = -1

// IsCancelledBy reports whether an entry that says that the endpoint is ready was written after the mark's reason.
func (mrk LeavingMark) IsCancelledBy(edp *Endpoint) bool {
	if edp.StartedAt != mrk.StartedAt {
		return edp.StartedAt > mrk.StartedAt
	}
	return edp.StartedAt == 0 || !mrk.Stated && edp.Sequence > mrk.Sequence
}

// outageGrace is the time that endpoints have to register again after an outage of the store. Until then the daemon
// does not act on removed entries, which may have expired only because endpoints could not renew them.
const outageGrace = 2500 * time.Millisecond

// Fleet is a daemon's view of the endpoints.
// Entries that expire during an outage of the store are kept until the endpoints had time to register again.
type Fleet struct {
	Endpoints map[string]Endpoint
	// Leaving holds, by endpoint id, the first mark of each endpoint that drains or whose entry was removed.
	Leaving map[string]LeavingMark

	// pendingRemovals holds, by endpoint id, the time at which an entry that was removed during an outage is dropped
	// unless the endpoint has registered again.
	pendingRemovals map[string]time.Time
	// graceUntil is the time until which the removal of an entry may be an effect of an outage.
	graceUntil time.Time
	// evacuations is replaced at each change, so that views can share its map.
	evacuations Evacuations
	// changes counts the changes of Endpoints, Leaving and evacuations; view is the copy that View made last.
	changes int64
	view    FleetView
}

// NewFleet returns a fleet without endpoints.
func NewFleet() *Fleet {
	return &Fleet{
		Endpoints: map[string]Endpoint{}, Leaving: map[string]LeavingMark{}, pendingRemovals: map[string]time.Time{},
		evacuations: Evacuations{Unread: true},
	}
}

// RecordOutage records that the store could not be read. Removals of entries are delayed for outageGrace from then on.
func (flt *Fleet) RecordOutage(now time.Time) {
	flt.graceUntil = now.Add(outageGrace)
}

// Put applies an entry of an endpoint; it ignores late ones, as FleetView.IsLate defines them.
func (flt *Fleet) Put(now time.Time, edp Endpoint) {
	if (FleetView{Endpoints: flt.Endpoints, Leaving: flt.Leaving}).IsLate(&edp, false) {
		return
	}
	flt.put(now, edp)
}

func (flt *Fleet) put(now time.Time, edp Endpoint) {
	old, known := flt.Endpoints[edp.ID]
	delete(flt.pendingRemovals, edp.ID)
	edp.ReadAt = now
	flt.Endpoints[edp.ID] = edp
	lifted := flt.evacuations.LiftedAt(edp.FailureDomain)
	if !edp.SameAs(&old) || now.Before(edp.WarmAt) || now.Before(old.WarmAt) || !lifted.IsZero() && !old.ReadAt.After(lifted) {
		flt.changes++
	}
	switch {
	case edp.State == StateDraining:
		flt.recordLeaving(now, edp.ID, edp.StartedAt, edp.Sequence)
	case !known || edp.StartedAt > old.StartedAt || old.State == StateDraining:
		delete(flt.Leaving, edp.ID)
		flt.changes++
	}
}

// Remove drops an endpoint whose entry was removed from the store. Shortly after an outage it only schedules the
// removal of an endpoint that is ready.
func (flt *Fleet) Remove(now time.Time, id string) {
	edp, known := flt.Endpoints[id]
	if !known {
		return
	}
	if now.Before(flt.graceUntil) && edp.State == StateReady {
		if _, ok := flt.pendingRemovals[id]; !ok {
			flt.pendingRemovals[id] = flt.graceUntil
		}
		return
	}
	flt.drop(now, id)
}

// Replace applies a full list of entries: it removes the endpoints that the list does not contain.
func (flt *Fleet) Replace(now time.Time, endpoints []Endpoint) {
	listed := map[string]bool{}
	for _, edp := range endpoints {
		listed[edp.ID] = true
		if !(FleetView{Endpoints: flt.Endpoints, Leaving: flt.Leaving}).IsLate(&edp, true) {
			flt.put(now, edp)
		}
	}
	for id := range flt.Endpoints {
		if !listed[id] {
			flt.Remove(now, id)
		}
	}
}

// MarkLeaving records a report by the endpoint or by a peer that an endpoint is leaving; with stated, the endpoint said so in
// an answer. It returns false and changes nothing if the endpoint is marked so already or the report is about an earlier
// incarnation under the same id.
func (flt *Fleet) MarkLeaving(now time.Time, id string, bornAt int64, stated bool) bool {
	mrk, known := flt.Leaving[id]
	isNews := !known || stated && mrk.StartedAt <= bornAt && !mrk.Stated
	if !isNews || flt.Endpoints[id].StartedAt > bornAt {
		return false
	}
	flt.recordLeaving(now, id, bornAt, noSequence)
	if stated {
		mrk = flt.Leaving[id]
		mrk.Stated = true
		flt.Leaving[id] = mrk
		flt.changes++
	}
	return true
}

// Expire drops the endpoints that did not register again in time after an outage. It also deletes expired marks of
// endpoints without an entry, and lifts evacuations that were not confirmed.
func (flt *Fleet) Expire(now time.Time) {
	flt.expireEvacuations(now)
	for id, until := range flt.pendingRemovals {
		if until.Before(flt.graceUntil) {
			flt.pendingRemovals[id] = flt.graceUntil
		} else if !now.Before(until) {
			flt.drop(now, id)
		}
	}
	for id, mrk := range flt.Leaving {
		if _, listed := flt.Endpoints[id]; !listed && now.Sub(mrk.At) > leavingRetention {
			delete(flt.Leaving, id)
			flt.changes++
		}
	}
}

// leavingRetention is the time for which the mark of an endpoint without an entry is kept; it is well above the
// duration of any drain.
const leavingRetention = time.Minute

// recordLeaving marks an endpoint as leaving. A mark for the same incarnation keeps its time, one for a later incarnation
// is kept as it is.
func (flt *Fleet) recordLeaving(now time.Time, id string, bornAt, sequence int64) {
	mrk, known := flt.Leaving[id]
	switch {
	case !known || mrk.StartedAt < bornAt:
		flt.Leaving[id] = LeavingMark{At: now, StartedAt: bornAt, Sequence: sequence}
		flt.changes++
	case mrk.StartedAt == bornAt && mrk.Sequence < sequence:
		// This is no change for readers of the view: a draining endpoint rewrites its entry all the time.
		mrk.Sequence = sequence
		flt.Leaving[id] = mrk
	}
}

// drop removes the entry of an endpoint and marks the endpoint as leaving.
func (flt *Fleet) drop(now time.Time, id string) {
	edp := flt.Endpoints[id]
	delete(flt.pendingRemovals, id)
	delete(flt.Endpoints, id)
	flt.changes++
	flt.recordLeaving(now, id, edp.StartedAt, edp.Sequence)
}

// View returns a copy that later changes to the fleet don't affect; without a change it is the last one.
func (flt *Fleet) View() FleetView {
	if flt.view.Endpoints == nil || flt.view.Changes != flt.changes {
		flt.view = FleetView{
			Changes: flt.changes, Endpoints: maps.Clone(flt.Endpoints), Leaving: maps.Clone(flt.Leaving), Evacuations: flt.evacuations,
		}
	}
	return flt.view
}

// FleetView is an immutable copy of a fleet.
type FleetView struct {
	// Changes is the number of changes that the fleet had seen.
	Changes   int64
	Endpoints map[string]Endpoint
	Leaving   map[string]LeavingMark
	// Evacuations are the failure domains to which no request may be sent.
	Evacuations Evacuations
}

// IsLate reports whether an entry was written before what is known of the endpoint: before its present entry, or before the
// entry that said that it drains or the last one before its removal. A write that was delayed on its way to the store is
// the newest one there all the same. Listed is true for an entry from a list of all entries. After the store returned from a copy,
// such a list may hold entries that were removed later, so they don't cancel a leaving mark.
func (vew FleetView) IsLate(edp *Endpoint, listed bool) bool {
	if old, known := vew.Endpoints[edp.ID]; known && edp.IsOlderThan(&old) {
		return true
	}
	mrk, leaving := vew.Leaving[edp.ID]
	if !leaving || edp.State != StateReady {
		return false
	}
	return listed && edp.StartedAt <= mrk.StartedAt || !mrk.IsCancelledBy(edp)
}

// HasNeighbour reports whether another endpoint of the same service and failure domain accepts new requests.
func (vew FleetView) HasNeighbour(edp *Endpoint) bool {
	if vew.Evacuations.Has(edp.FailureDomain) {
		return false
	}
	for id, one := range vew.Endpoints {
		_, leaving := vew.Leaving[id]
		if id != edp.ID && !leaving && one.State == StateReady && one.Service == edp.Service && one.FailureDomain == edp.FailureDomain {
			return true
		}
	}
	return false
}
