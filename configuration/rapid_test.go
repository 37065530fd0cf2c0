package configuration

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"papayacroft/inventory"
)

const (
	rapidNodes     = 4
	rapidRetention = 64 * time.Second
)

// cluster is the state machine that rapid drives: daemons that read the same log in any interleaving.
type cluster struct {
	log   *modelLog
	nodes []*State
	// lastVersions holds the newest version that each daemon has had since its last restart.
	lastVersions []int64
	// reference applies every record as soon as it is appended and is never restarted.
	reference *State
	// contents holds the content of each version, as found on the first daemon that reached it.
	contents  map[int64]string
	published []string
}

func newCluster() *cluster {
	clu := &cluster{log: newModelLog(), reference: NewState(), contents: map[int64]string{}}
	for range rapidNodes {
		clu.nodes = append(clu.nodes, NewState())
		clu.lastVersions = append(clu.lastVersions, 0)
	}
	return clu
}

func (clu *cluster) node(t *rapid.T) (int, *State) {
	pos := rapid.IntRange(0, rapidNodes-1).Draw(t, "node")
	return pos, clu.nodes[pos]
}

func (clu *cluster) publish(t *rapid.T) {
	_, sta := clu.node(t)
	id := fmt.Sprintf("p%d", len(clu.published))
	if len(clu.published) > 0 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
		id = rapid.SampledFrom(clu.published).Draw(t, "id")
	}
	clu.published = append(clu.published, id)
	class := rapid.SampledFrom([]string{"ballot", "tally", "writeUp"}).Draw(t, "class")
	clu.log.publish(id, sta.Current.Number, class, rapid.IntRange(0, 4).Draw(t, "worth"))
	clu.log.read(clu.reference, 0)
}

func (clu *cluster) read(t *rapid.T) {
	_, sta := clu.node(t)
	to := rapid.Int64Range(sta.Next, max(sta.Next, clu.log.next()-1)).Draw(t, "to")
	clu.log.read(sta, to)
}

func (clu *cluster) snapshot(t *rapid.T) {
	_, sta := clu.node(t)
	clu.log.appendRecord(&Record{Snapshot: snapshotOf(t, sta)})
	clu.log.read(clu.reference, 0)
}

func (clu *cluster) fetch(t *rapid.T) {
	pos, sta := clu.node(t)
	other, peer := clu.node(t)
	rep, err := peer.View().Answer(FetchRequest{Version: sta.Current.Number, ReadTo: sta.AppliedTo})
	if err != nil {
		t.Fatal(err)
	}
	// AdoptReply also applies the pending records and returns an error for an invalid one, which is no fault of the fetch.
	if _, err := sta.AdoptReply(rep); err != nil && !strings.Contains(err.Error(), "is invalid") {
		t.Fatalf("node %d from %d: %v", pos, other, err)
	}
}

// restart replaces a daemon by one with an empty state, which has to catch up from the log and from peers.
func (clu *cluster) restart(t *rapid.T) {
	pos, _ := clu.node(t)
	clu.nodes[pos] = NewState()
	clu.lastVersions[pos] = 0
}

// pass advances the clock and expires old records. Before that, the reference appends a snapshot if one is due;
// it is the only daemon that does so.
func (clu *cluster) pass(t *rapid.T) {
	clu.log.now = clu.log.now.Add(time.Duration(rapid.IntRange(1, int(rapidRetention/time.Second)/4).Draw(t, "seconds")) * time.Second)
	if clu.reference.SnapshotDue(clu.log.now, rapidRetention) {
		clu.log.appendRecord(&Record{Snapshot: snapshotOf(t, clu.reference)})
		clu.log.read(clu.reference, 0)
	}
	for len(clu.log.records) > 0 && clu.log.now.Sub(clu.log.records[0].At) > rapidRetention {
		clu.log.expire(clu.log.first + 1)
	}
}

// check verifies that daemons with the same version have the same content and a correct index, that daemons which
// applied the same records have the same outcomes, that no daemon returns to an older version, and that a daemon
// with an empty state reaches the newest version from the log alone.
func (clu *cluster) check(t *rapid.T) {
	for pos, sta := range append([]*State{clu.reference}, clu.nodes...) {
		if want, ok := clu.contents[sta.Current.Number]; !ok {
			clu.contents[sta.Current.Number] = content(sta.Current.Configuration)
		} else if got := content(sta.Current.Configuration); got != want {
			t.Fatalf("got version %d of node %d as %q; want %q", sta.Current.Number, pos-1, got, want)
		}
		if got, want := sta.Index(), inventory.NewIndex(sta.Current.Configuration); !reflect.DeepEqual(got, want) {
			t.Fatalf("got index %+v of node %d; want %+v", got, pos-1, want)
		}
		if sta.AppliedTo == clu.reference.AppliedTo && fmt.Sprint(sta.Outcomes) != fmt.Sprint(clu.reference.Outcomes) {
			t.Fatalf("got outcomes %v of node %d; want %v", sta.Outcomes, pos-1, clu.reference.Outcomes)
		}
		if pos == 0 {
			continue
		}
		if sta.Current.Number < clu.lastVersions[pos-1] {
			t.Fatalf("got version %d on node %d after %d; want no older one", sta.Current.Number, pos-1, clu.lastVersions[pos-1])
		}
		clu.lastVersions[pos-1] = sta.Current.Number
	}
	fresh := NewState()
	clu.log.read(fresh, 0)
	if got, want := fresh.Current.Number, clu.reference.Current.Number; got != want || fresh.Behind() {
		t.Fatalf("got version %d on a fresh daemon, behind %t; want %d", got, fresh.Behind(), want)
	}
}

// Guards against daemons that disagree on the content of a version, return to an older version or lose an accepted
// one, under any interleaving of publishes, duplicates, late snapshots, expiry, restarts and fetches.
func TestDaemonsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clu := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"publish":  clu.publish,
			"read":     clu.read,
			"snapshot": clu.snapshot,
			"fetch":    clu.fetch,
			"restart":  clu.restart,
			"pass":     clu.pass,
			"":         clu.check,
		})
	})
}

// Guards against a missing random delay, with which all daemons would append a snapshot at the same time, and
// against a delay that starts anew on each step, with which no daemon would ever append one.
func TestScheduleDelays(t *testing.T) {
	now := time.Now()
	sch := SnapshotSchedule{Retention: time.Hour, Rand: rand.New(rand.NewPCG(1, 2))}
	if sch.Step(now, true) {
		t.Error("got an append at once; want a delay")
	}
	if sch.Step(now.Add(maxSnapshotDelay), false) {
		t.Error("got an append although another daemon did it; want none")
	}
	if sch.Step(now.Add(maxSnapshotDelay), true) {
		t.Error("got no new delay after the snapshot became due again")
	}
	if !sch.Step(now.Add(2*maxSnapshotDelay), true) {
		t.Error("got no append after the delay; want one")
	}
}
