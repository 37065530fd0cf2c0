package main

import (
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// shortSeed is a seed whose plan, even if short, has faults of daemons, endpoints, links and the store, and planned work.
const shortSeed = 7

// Guards against a plan that depends on more than its arguments, so that a run with findings can't be repeated; against
// unplanned faults in a plan of planned work; and against faults that last into the recovery time.
func TestPlanIsRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		got, want := NewPlan(seed, time.Minute, 6, 9), NewPlan(seed, time.Minute, 6, 9)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("seed %d: got two different plans, want equal ones", seed)
		}
		for _, flt := range got {
			if seed%plannedSeedStride == 0 && !flt.planned() {
				t.Errorf("seed %d: got fault %s in a plan of planned work", seed, flt.Kind)
			}
			if end, most := flt.At+flt.Length, time.Minute-recoveryTime-quietTime; end > most {
				t.Errorf("seed %d: got the end of a fault at %s, want %s at most", seed, end, most)
			}
		}
	}
}

// Guards against violated guarantees when faults of several kinds overlap and daemons are separate processes, which no
// test script covers.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	checkSoak(t, shortSeed, options{duration: 25 * time.Second, daemons: 4, engines: 6, callers: 20})
}

// plannedSeed is a seed of planned work only, in which the stops of several daemons overlap.
const plannedSeed = 16

// Guards against streams that a planned stop breaks off: callers stay with stopping daemons and ask for streams that take
// longer than the time that is left. An unplanned fault anywhere excuses broken streams, so that TestShortSoak can't show it.
func TestPlannedSoak(t *testing.T) {
	t.Parallel()
	checkSoak(t, plannedSeed, options{duration: 40 * time.Second, daemons: 6, engines: 9, callers: 40})
}

// checkSoak plays one seed and reports what it found.
func checkSoak(t *testing.T, seed uint64, opt options) {
	t.Helper()
	opt.program, opt.logs = filepath.Join(t.TempDir(), "papayacroftd"), t.TempDir()
	if out, err := exec.Command("go", "build", "-o", opt.program, "papayacroft/papayacroftd").CombinedOutput(); err != nil {
		t.Fatalf("got %v, want a program: %s", err, out)
	}
	rpt, err := opt.runSeed(t.Context(), seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range rpt.list() {
		t.Error(line)
	}
	if rpt.statuses[200] == 0 {
		t.Errorf("got statuses %v, want some answers", rpt.statuses)
	}
}
