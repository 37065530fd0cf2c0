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
	program := filepath.Join(t.TempDir(), "papayacroftd")
	if out, err := exec.Command("go", "build", "-o", program, "papayacroft/papayacroftd").CombinedOutput(); err != nil {
		t.Fatalf("got %v, want a program: %s", err, out)
	}
	opt := options{program: program, logs: t.TempDir(), duration: 25 * time.Second, daemons: 4, engines: 6, callers: 20}
	rpt, err := opt.runSeed(t.Context(), shortSeed)
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
