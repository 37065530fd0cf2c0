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
	// WarmAt is the time from which the endpoint has its full speed; it is slow until then, after a start.
	WarmAt time.Time
}

// SameAs reports whether two entries are equal apart from WarmAt.
func (edp *Endpoint) SameAs(other *Endpoint) bool {
	one, two := *edp, *other
	one.WarmAt, two.WarmAt = time.Time{}, time.Time{}
	return one == two
}

// LeavingMark records that one incarnation of an endpoint is leaving, and since when this daemon has known.
type LeavingMark struct {
	At        time.Time
	StartedAt int64
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
	// changes counts the changes of Endpoints and Leaving; view is the copy that View made last.
	changes int64
	view    FleetView
}

// NewFleet returns a fleet without endpoints.
func NewFleet() *Fleet {
	return &Fleet{Endpoints: map[string]Endpoint{}, Leaving: map[string]LeavingMark{}, pendingRemovals: map[string]time.Time{}}
}

// RecordOutage records that the store could not be read. Removals of entries are delayed for outageGrace from then on.
func (flt *Fleet) RecordOutage(now time.Time) {
	flt.graceUntil = now.Add(outageGrace)
}

// Put applies the newest entry of an endpoint; it ignores entries of earlier incarnations.
func (flt *Fleet) Put(now time.Time, edp Endpoint) {
	old, known := flt.Endpoints[edp.ID]
	if known && edp.StartedAt < old.StartedAt {
		return
	}
	delete(flt.pendingRemovals, edp.ID)
	if !edp.SameAs(&old) || now.Before(edp.WarmAt) || now.Before(old.WarmAt) {
		flt.Endpoints[edp.ID] = edp
		flt.changes++
	}
	switch {
	case edp.State == StateDraining:
		flt.recordLeaving(now, edp.ID, edp.StartedAt)
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
		flt.Put(now, edp)
	}
	for id := range flt.Endpoints {
		if !listed[id] {
			flt.Remove(now, id)
		}
	}
}

// MarkLeaving records a report by the endpoint or by a peer that an endpoint is leaving. It returns false and changes
// nothing if the endpoint is marked already or the report is about an earlier incarnation under the same id.
func (flt *Fleet) MarkLeaving(now time.Time, id string, bornAt int64) bool {
	if _, known := flt.Leaving[id]; known || flt.Endpoints[id].StartedAt > bornAt {
		return false
	}
	flt.recordLeaving(now, id, bornAt)
	return true
}

// Expire drops the endpoints that did not register again in time after an outage. It also deletes expired marks of
// endpoints without an entry.
func (flt *Fleet) Expire(now time.Time) {
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

// recordLeaving marks an endpoint as leaving unless it has a mark for the same or a later incarnation.
func (flt *Fleet) recordLeaving(now time.Time, id string, bornAt int64) {
	if mrk, known := flt.Leaving[id]; !known || mrk.StartedAt < bornAt {
		flt.Leaving[id] = LeavingMark{At: now, StartedAt: bornAt}
		flt.changes++
	}
}

// drop removes the entry of an endpoint and marks the endpoint as leaving.
func (flt *Fleet) drop(now time.Time, id string) {
	bornAt := flt.Endpoints[id].StartedAt
	delete(flt.pendingRemovals, id)
	delete(flt.Endpoints, id)
	flt.changes++
	flt.recordLeaving(now, id, bornAt)
}

// View returns a copy that later changes to the fleet don't affect; without a change it is the last one.
func (flt *Fleet) View() FleetView {
	if flt.view.Endpoints == nil || flt.view.Changes != flt.changes {
		flt.view = FleetView{Changes: flt.changes, Endpoints: maps.Clone(flt.Endpoints), Leaving: maps.Clone(flt.Leaving)}
	}
	return flt.view
}

// FleetView is an immutable copy of a fleet.
type FleetView struct {
	// Changes is the number of changes that the fleet had seen.
	Changes   int64
	Endpoints map[string]Endpoint
	Leaving   map[string]LeavingMark
}

// HasNeighbour reports whether another endpoint of the same service and failure domain accepts new requests.
func (vew FleetView) HasNeighbour(edp *Endpoint) bool {
	for id, one := range vew.Endpoints {
		_, leaving := vew.Leaving[id]
		if id != edp.ID && !leaving && one.State == StateReady && one.Service == edp.Service && one.FailureDomain == edp.FailureDomain {
			return true
		}
	}
	return false
}
