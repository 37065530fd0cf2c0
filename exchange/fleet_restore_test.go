//go:build !race

package exchange_test

import (
	"fmt"
	"testing"
	"time"
)

const topicDaemons = "keyed.status"

// TestFleetRestore plays the cases of testdata/fleet_restore.yaml, as TestFleet plays those of fleet.yaml: the store returns from a
// copy, and all daemons must learn of what is written after that, whoever reads it for all and whatever else fails.
func TestFleetRestore(t *testing.T) {
	playFleet(t, "testdata/fleet_restore.yaml")
}

// isRestore reports whether it is a step of a store that returns from a copy.
func (stp *fleetStep) isRestore() bool {
	return stp.Copy || stp.Restore > 0 || stp.Start
}

func (flt *fleet) applyRestore(stp *fleetStep) {
	switch {
	case stp.Copy:
		copied := flt.store.copyTopics()
		flt.mutex.Lock()
		flt.copied = copied
		flt.mutex.Unlock()
	case stp.Start:
		flt.startAll(len(flt.daemons)-flt.cse.Late, len(flt.daemons))
	default:
		flt.restore(stp)
	}
}

// restore takes the store away and brings it back from the copy.
func (flt *fleet) restore(stp *fleetStep) {
	flt.setAway(stp.Silent, true)
	time.Sleep(stp.Restore)
	flt.mutex.Lock()
	published := flt.published
	flt.mutex.Unlock()
	flt.store.restore(flt.copied)
	flt.setAway(stp.Silent, false)
	flt.publish(published)
	if stp.Publish == 0 {
		return
	}
	time.Sleep(stp.Pause)
	flt.publish(stp.Publish)
	flt.awaitVersion(stp.Publish)
}

func (flt *fleet) setAway(silent, away bool) {
	if silent {
		flt.store.setSilent(away)
		return
	}
	for _, dmn := range flt.daemons {
		dmn.setTurnedAway(away)
	}
}

// startAll starts the daemons from one index up to another.
func (flt *fleet) startAll(from, to int) {
	for i := from; i < to; i++ {
		flt.start(flt.group, flt.daemons[i], fmt.Sprintf("front-%d", i))
	}
}

func (dmn *fleetDaemon) isStarted() bool {
	return dmn.started.Load()
}

// countUnregistered returns the number of running daemons whose entries the store lacks.
func (flt *fleet) countUnregistered() int {
	records, _, _ := flt.store.since(topicDaemons, 0)
	registered := map[string]bool{}
	for _, rec := range records {
		registered[rec.Key] = true
	}
	count := 0
	for i, dmn := range flt.daemons {
		if dmn.isStarted() && dmn.isServing() && !registered[fmt.Sprintf("front-%d", i)] {
			count++
		}
	}
	return count
}
