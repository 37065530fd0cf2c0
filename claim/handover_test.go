package claim

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"papayacroft/membership"
)

// handOverAndRestart hands a daemon's outcomes over, marks the daemon as gone on all nodes and starts another
// incarnation at its address.
func handOverAndRestart(t *testing.T, nodes []*Acquirer, number int) {
	t.Helper()
	if got := nodes[number].HandOver(t.Context()); got != 2 {
		t.Errorf("got %d outcomes handed over; want 2", got)
	}
	members := slices.Clone(nodes[0].Members())
	members[number].State = membership.StateGone
	for _, acq := range nodes {
		acq.Members = func() []membership.Member { return members }
	}
	nodes[number].Claimant, nodes[number].Ledger = "restarted", NewLedger()
}

// checkOutcome checks the state that a daemon finds for a claim, and that the claim's id with another claimant is
// unknown.
func checkOutcome(t *testing.T, acq *Acquirer, clm Claim, want State) {
	t.Helper()
	got := acq.Result(t.Context(), clm)
	if got.State != want || want == StateAnswered && string(got.Body) != "yes" {
		t.Errorf("got %s %q of a claim; want %s", got.State, got.Body, want)
	}
	clm.Claimant = "another incarnation"
	if got := acq.Result(t.Context(), clm); got.State != StateUnknown {
		t.Errorf("got %s of another claimant's claim; want unknown", got.State)
	}
}

// Guards against an answer with a status such as 000 that a daemon of an earlier release kept, and that is passed on.
func TestResultOfInvalidStatusIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(newFakeLog(), true)
		for _, status := range []int{0, 99, 101, 600} {
			id := nodes[0].Ledger.Begin(time.Now())
			nodes[0].Ledger.Dispatch(id)
			nodes[0].Ledger.Finish(time.Now(), id, Result{State: StateAnswered, Status: status, Body: []byte("yes")})
			for _, acq := range nodes[:2] {
				checkOutcome(t, acq, Claim{ID: id.String(), Claimant: "one", Address: "one"}, StateUnknown)
			}
		}
	})
}

// Guards against outcomes that are lost when the claimant, and then one of its successors, stops, and against an outcome
// that is handed over before it is final or is returned for another claimant's claim.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(newFakeLog(), true)
		one := nodes[0]
		claims := map[State]Claim{}
		for _, state := range []State{StateAnswered, StateGivenUp, StateDispatched, StatePending} {
			id := one.Ledger.Begin(time.Now())
			claims[state] = Claim{ID: id.String(), Claimant: "one", Address: "one"}
			if state != StatePending {
				one.Ledger.Dispatch(id)
			}
		}
		one.Ledger.Finish(time.Now(), uuid.MustParse(claims[StateAnswered].ID), Result{State: StateAnswered, Status: 200, Body: []byte("yes")})
		one.Ledger.GiveUp(time.Now(), uuid.MustParse(claims[StateGivenUp].ID))
		handOverAndRestart(t, nodes, 0)
		handOverAndRestart(t, nodes, 1)
		checkOutcome(t, nodes[2], claims[StateAnswered], StateAnswered)
		checkOutcome(t, nodes[2], claims[StateGivenUp], StateGivenUp)
		checkOutcome(t, nodes[2], claims[StateDispatched], StateUnknown)
		checkOutcome(t, nodes[2], claims[StatePending], StateUnknown)
		if nodes[2].Ledger.Inherit(time.Now(), Settled{ID: uuid.NewString(), Claimant: "x", Result: Result{State: StateDispatched}}) == nil {
			t.Error("got no error for an outcome that is not final; want it rejected")
		}
	})
}
