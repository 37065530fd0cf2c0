package catalog

import (
	"maps"
	"time"
)

// State is what an endpoint says of itself.
type State string

// The states of an endpoint.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Endpoint is one start of an endpoint as it registered itself.
type Endpoint struct {
	ID            string
	Service       string
	Address       string
	FailureDomain string
	State         State
	Slots         int
	// BornAt is the start of the endpoint in Unix milliseconds; a restart under the same id has a later one.
	BornAt int64
	// WarmAt is when the endpoint stops being slow after its start.
	WarmAt time.Time
}

// SameAs reports whether two entries say the same but for the time at which the endpoint is warm.
func (edp *Endpoint) SameAs(other *Endpoint) bool {
	one, two := *edp, *other
	one.WarmAt, two.WarmAt = time.Time{}, time.Time{}
	return one == two
}

// Mark is a sign that one start of an endpoint leaves.
type Mark struct {
	At     time.Time
	BornAt int64
}

// lapseGrace is how long after an outage of the store the endpoints have to register again.
const lapseGrace = 2500 * time.Millisecond

// Fleet is what a daemon believes of the endpoints.
// Entries that lapse while the store is away stay until the endpoints had time to register again.
type Fleet struct {
	Endpoints map[string]Endpoint
	// Leaving has what the daemon first learnt of an endpoint that drains or is gone.
	Leaving map[string]Mark

	// missing holds entries removed during an outage and the time until which they may come back.
	missing map[string]time.Time
	// unsettled is the time until which removals may be an effect of an outage.
	unsettled time.Time
}

// NewFleet returns a fleet without endpoints.
func NewFleet() *Fleet {
	return &Fleet{Endpoints: map[string]Endpoint{}, Leaving: map[string]Mark{}, missing: map[string]time.Time{}}
}

// Outage notes that the store could not be read; entries that lapse about now are not trusted to be gone.
func (flt *Fleet) Outage(now time.Time) {
	flt.unsettled = now.Add(lapseGrace)
}

// Put takes in the newest entry of an endpoint.
func (flt *Fleet) Put(now time.Time, edp Endpoint) {
	old, known := flt.Endpoints[edp.ID]
	if known && edp.BornAt < old.BornAt {
		return
	}
	delete(flt.missing, edp.ID)
	flt.Endpoints[edp.ID] = edp
	switch {
	case edp.State == StateDraining:
		flt.leave(now, edp.ID, edp.BornAt)
	case !known || edp.BornAt > old.BornAt || old.State == StateDraining:
		delete(flt.Leaving, edp.ID)
	}
}

// Remove takes out an endpoint whose entry is gone.
func (flt *Fleet) Remove(now time.Time, id string) {
	edp, known := flt.Endpoints[id]
	if !known {
		return
	}
	if now.Before(flt.unsettled) && edp.State == StateReady {
		if _, ok := flt.missing[id]; !ok {
			flt.missing[id] = flt.unsettled
		}
		return
	}
	flt.drop(now, id)
}

// Replace takes in all entries at once; endpoints that are not among them are gone.
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

// MarkLeaving notes a sign that an endpoint leaves, from the endpoint or a peer; it reports whether that is news.
// A sign of an earlier start under the same id counts for nothing.
func (flt *Fleet) MarkLeaving(now time.Time, id string, bornAt int64) bool {
	if _, known := flt.Leaving[id]; known || flt.Endpoints[id].BornAt > bornAt {
		return false
	}
	flt.leave(now, id, bornAt)
	return true
}

// Settle drops the endpoints that did not come back after an outage, and old marks.
func (flt *Fleet) Settle(now time.Time) {
	for id, until := range flt.missing {
		if until.Before(flt.unsettled) {
			flt.missing[id] = flt.unsettled
		} else if !now.Before(until) {
			flt.drop(now, id)
		}
	}
	for id, mrk := range flt.Leaving {
		if _, listed := flt.Endpoints[id]; !listed && now.Sub(mrk.At) > leavingMemory {
			delete(flt.Leaving, id)
		}
	}
}

// leavingMemory is how long the mark of an endpoint without an entry is kept, well beyond any drain.
const leavingMemory = time.Minute

func (flt *Fleet) leave(now time.Time, id string, bornAt int64) {
	if mrk, known := flt.Leaving[id]; !known || mrk.BornAt < bornAt {
		flt.Leaving[id] = Mark{At: now, BornAt: bornAt}
	}
}

func (flt *Fleet) drop(now time.Time, id string) {
	bornAt := flt.Endpoints[id].BornAt
	delete(flt.missing, id)
	delete(flt.Endpoints, id)
	flt.leave(now, id, bornAt)
}

// View returns a copy that readers may keep.
func (flt *Fleet) View() FleetView {
	return FleetView{Endpoints: maps.Clone(flt.Endpoints), Leaving: maps.Clone(flt.Leaving)}
}

// FleetView is a fleet at one moment.
type FleetView struct {
	Endpoints map[string]Endpoint
	Leaving   map[string]Mark
}

// HasNeighbour reports whether another endpoint of the service takes work in the same failure domain.
func (vew FleetView) HasNeighbour(edp *Endpoint) bool {
	for id, one := range vew.Endpoints {
		_, leaving := vew.Leaving[id]
		if id != edp.ID && !leaving && one.State == StateReady && one.Service == edp.Service && one.FailureDomain == edp.FailureDomain {
			return true
		}
	}
	return false
}
