//go:build !race

package exchange_test

import (
	"testing"
	"time"

	"papayacroft/exchange"
)

// TestFleetEvacuations plays the cases of testdata/fleet_evacuation.yaml, as TestFleet plays those of fleet.yaml: all
// reachable daemons must learn of an evacuation and of its end within the bound, whichever daemon or part of the store fails.
func TestFleetEvacuations(t *testing.T) {
	playFleet(t, "testdata/fleet_evacuation.yaml")
}

// isZone reports whether it is a step of an evacuation, or one in which endpoints turn cold.
func (stp *fleetStep) isZone() bool {
	return stp.Evacuate != "" || stp.Lift != "" || stp.Trim != "" || stp.Cold > 0
}

// applyZone applies a step of an evacuation, or one in which endpoints turn cold.
func (flt *fleet) applyZone(stp *fleetStep) {
	if stp.Cold > 0 {
		flt.cool(stp.Cold)
		return
	}
	flt.evacuate(stp)
}

// evacuate makes the operator begin or end an evacuation, or the store drop its history with the record, and records the time
// until all daemons that are alive and not frozen know.
func (flt *fleet) evacuate(stp *fleetStep) {
	began := time.Now()
	domain, want := stp.Evacuate, true
	switch {
	case stp.Evacuate != "":
		flt.store.put(topicOperator, "evacuate/"+domain, []byte("{}"))
	case stp.Lift != "":
		domain, want = stp.Lift, false
		flt.store.put(topicOperator, "evacuate/"+domain, nil)
	default:
		domain, want = stp.Trim, false
		flt.store.trim(topicOperator, "evacuate/"+domain)
	}
	flt.await(func(dmn *fleetDaemon) bool {
		evs := dmn.Control.Snapshot().Fleet.Evacuations
		return !evs.Unread && evs.Has(domain) == want
	})
	flt.mutex.Lock()
	defer flt.mutex.Unlock()
	flt.result.evacuated = max(flt.result.evacuated, time.Since(began))
}

// coldTime is the time for which endpoints are cold; it is longer than any case.
const coldTime = time.Minute

// cool makes endpoints cold by the entries that they write from now on, and records the time until all daemons that are alive
// and not frozen know: an endpoint writes its entry every 1.2 s.
func (flt *fleet) cool(count int) {
	began := time.Now()
	flt.mutex.Lock()
	ids := flt.endpoints[:count]
	for _, id := range ids {
		flt.coldUntil[id] = began.Add(coldTime)
	}
	flt.mutex.Unlock()
	flt.await(func(dmn *fleetDaemon) bool {
		listed := dmn.Control.Snapshot().Fleet.Endpoints
		for _, id := range ids {
			if edp := listed[id]; !edp.WarmAt.After(time.Now()) {
				return false
			}
		}
		return true
	})
	flt.mutex.Lock()
	defer flt.mutex.Unlock()
	flt.result.known = max(flt.result.known, time.Since(began))
}

// trim writes a record that no daemon has read and drops a topic's records from the log with it, and the newest one of a key for
// good.
func (sto *simStore) trim(name, key string) {
	sto.mutex.Lock()
	defer sto.mutex.Unlock()
	top := sto.topic(name)
	top.records = append(top.records, exchange.Record{Key: "notice", Value: []byte("{}"), Offset: int64(len(top.records))})
	top.first = int64(len(top.records))
	for i := range top.records {
		if top.records[i].Key == key {
			top.records[i].Value = nil
		}
	}
	close(top.grown)
	top.grown = make(chan struct{})
}
