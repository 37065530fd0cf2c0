package scheduler

import (
	"testing"
	"time"

	"papayacroft/dispatch"
)

// Guards against lengths that are learnt from streams of which this daemon saw a part only, a level that doesn't rise with long pauses, and
// organisations that stay charged for more than they got.
func TestFinished(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	sch := New(dispatch.NewBalancer())
	end := Ended{
		Organisation: "one", Service: "pool", Route: "long", Reserved: dispatch.Work{Tokens: 2000, Prefill: 1000}, Prompt: 1000, Output: 400,
		Ran: 5 * time.Second, First: time.Second, Complete: true, Whole: true,
	}
	part, cancelled, paused := end, end, end
	part.Whole, cancelled.Complete, paused.Preempted = false, false, true
	for range 40 {
		sch.Finished(now, &part)
		sch.Finished(now, &cancelled)
	}
	if _, runs := sch.Expect(nil, "pool", "long", 1000, 0, 4000, 300); runs < 3*time.Second {
		t.Errorf("got a run time of %v, want about 3 s for 300 tokens of 10 ms", runs)
	}
	if wrk, _ := sch.Expect(nil, "pool", "long", 1000, 0, 4000, 300); wrk.Tokens != 1300 {
		t.Errorf("got %d tokens from streams that were not whole, want the usual 1300", wrk.Tokens)
	}
	for range 40 {
		sch.Finished(now, &end)
	}
	if wrk, _ := sch.Expect(nil, "pool", "long", 1000, 0, 4000, 300); wrk.Tokens < 1390 || wrk.Tokens > 1410 {
		t.Errorf("got %d tokens from whole streams, want about 1400", wrk.Tokens)
	}
	if wrk, _ := sch.Expect(nil, "pool", "long", 1000, 0, 100, 300); wrk.Tokens != 1100 {
		t.Errorf("got %d tokens, want no more than the maximum of 1100", wrk.Tokens)
	}
	if got, want := sch.runs.mean("pool").Round(time.Millisecond), 5*time.Second; got != want {
		t.Errorf("got a mean run time of %v, want %v", got, want)
	}
	before := sch.Level.Value()
	sch.Finished(now, &paused)
	if got := sch.Level.Value(); got <= before {
		t.Errorf("got level %.3f after a long pause, want more than %.3f", got, before)
	}
	sch.Queue.Served(now, "two", 2000)
	sch.Queue.Served(now, "three", 2000)
	sch.Finished(now, &Ended{Organisation: "two", Service: "pool", Route: "long", Reserved: end.Reserved, Prompt: 1000})
	if two, three := sch.Queue.Share("two"), sch.Queue.Share("three"); two >= three {
		t.Errorf("got shares %.2f and %.2f, want less for the stream that ended early", two, three)
	}
}
