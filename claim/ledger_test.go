package claim

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// Guards against a claim that is dispatched twice or after it was given up, and against a given-up claim that later
// gets another state than unknown.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		led := NewLedger()
		now := time.Unix(1000, 0)
		var ids []uuid.UUID
		dispatched, givenUp := map[uuid.UUID]bool{}, map[uuid.UUID]bool{}
		pick := func(rt *rapid.T) uuid.UUID {
			if len(ids) == 0 {
				rt.Skip("no claim yet")
			}
			return rapid.SampledFrom(ids).Draw(rt, "id")
		}
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(*rapid.T) { ids = append(ids, led.Begin(now)) },
			"wait": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3600).Draw(rt, "seconds")) * time.Second)
			},
			"dispatch": func(rt *rapid.T) {
				id := pick(rt)
				if led.Dispatch(id) {
					if dispatched[id] || givenUp[id] {
						rt.Fatalf("claim %s may be sent again", id)
					}
					dispatched[id] = true
				}
			},
			"giveUp": func(rt *rapid.T) {
				id := pick(rt)
				led.GiveUp(now, id)
				if res, _ := led.Find(id); res.State == StateGivenUp {
					givenUp[id] = true
				}
			},
			"finish": func(rt *rapid.T) {
				body := make([]byte, rapid.SampledFrom([]int{1, MaxAnswerBytes, MaxAnswerBytes + 1}).Draw(rt, "bytes"))
				led.Finish(now, pick(rt), Result{State: StateAnswered, Body: body})
			},
			"": func(rt *rapid.T) { checkGivenUp(rt, led, givenUp) },
		})
	})
}

func checkGivenUp(rt *rapid.T, led *Ledger, givenUp map[uuid.UUID]bool) {
	for id := range givenUp {
		if res, _ := led.Find(id); res.State != StateGivenUp && res.State != StateUnknown {
			rt.Fatalf("got state %s of a given-up claim", res.State)
		}
	}
}

// Guards against kept answers that fill the daemon's memory because the oldest are not removed at the byte bound or
// after their lifetime.
func TestLedgerBound(t *testing.T) {
	led := NewLedger()
	now := time.Unix(1000, 0)
	ids := make([]uuid.UUID, 0, 400)
	for range 400 {
		id := led.Begin(now)
		ids = append(ids, id)
		led.Dispatch(id)
		led.Finish(now, id, Result{State: StateAnswered, Body: make([]byte, MaxAnswerBytes)})
	}
	if led.bytes > maxKeptBytes {
		t.Errorf("got %d kept bytes; want at most %d", led.bytes, maxKeptBytes)
	}
	first, _ := led.Find(ids[0])
	last, _ := led.Find(ids[399])
	if first.State != StateUnknown || last.State != StateAnswered {
		t.Errorf("got states %s and %s of the oldest and newest answer; want unknown and answered", first.State, last.State)
	}
	led.Begin(now.Add(answerLifetime + time.Second))
	if last, _ = led.Find(ids[399]); last.State != StateUnknown {
		t.Errorf("got state %s after the answer's lifetime; want unknown", last.State)
	}
}

// Guards against a second attempt that gets a final state while the claimant may still send the request, and against
// one that waits longer than ResultWait.
func TestResultWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(newFakeLog(), true)
		id := nodes[0].Ledger.Begin(time.Now())
		clm := Claim{ID: id.String(), Claimant: "one", Address: "one"}
		started := time.Now()
		if got := nodes[1].Result(t.Context(), clm); got.State != StatePending || time.Since(started) != ResultWait {
			t.Errorf("got state %s after %s; want pending after %s", got.State, time.Since(started), ResultWait)
		}
		time.AfterFunc(time.Second, func() { nodes[0].Ledger.GiveUp(time.Now(), id) })
		if got := nodes[1].Result(t.Context(), clm); got.State != StateGivenUp {
			t.Errorf("got state %s; want givenUp", got.State)
		}
		clm.Claimant = "another incarnation"
		if got := nodes[1].Result(t.Context(), clm); got.State != StateUnknown {
			t.Errorf("got state %s of an earlier incarnation; want unknown", got.State)
		}
	})
}
