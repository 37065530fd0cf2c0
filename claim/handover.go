package claim

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"papayacroft/membership"
)

const (
	// successors is the number of daemons that receive each outcome; the second covers the loss of the first.
	successors = 2
	// maxAskedSuccessors is the number of daemons that are asked for an outcome. It is one more than successors, as
	// a daemon that joined after the outcome was handed over may now be among the first in the order.
	maxAskedSuccessors = 3
	// successorTimeout bounds one call to a successor.
	successorTimeout = time.Second
	// maxMessageBytes is the size of the collected outcomes at which they are sent; the last one may exceed it.
	maxMessageBytes = 64 << 10
	// maxHandedGivenUp bounds the ids of given-up claims that are handed over, about 120 bytes each; the newest are
	// handed over.
	maxHandedGivenUp = 1000
)

// Settled is the final outcome of a claim, as it is handed over to another daemon.
type Settled struct {
	ID       string `json:"id"`
	Claimant string `json:"claimant"`
	Result   Result `json:"result"`
}

// HandOver sends the outcomes that this daemon keeps to their successors, newest first, and returns how many outcomes
// reached at least one of them before the context ended. A daemon calls it when it stops.
func (acq *Acquirer) HandOver(ctx context.Context) int {
	reached, failed := map[string]bool{}, map[string]bool{}
	batches := map[string][]Settled{}
	sizes := map[string]int{}
	send := func(address string) {
		batch := batches[address]
		delete(batches, address)
		delete(sizes, address)
		// After a failed call a daemon is not called again: the time-outs would leave no time for the other daemons.
		if failed[address] || acq.sendOutcomes(ctx, address, batch) != nil {
			failed[address] = true
			return
		}
		for _, stl := range batch {
			reached[stl.ID] = true
		}
	}
	for _, stl := range acq.Ledger.settled(acq.Claimant) {
		for _, mem := range acq.successors(stl.ID, acq.Claimant, successors) {
			batches[mem.Address] = append(batches[mem.Address], stl)
			sizes[mem.Address] += len(stl.Result.Body) + outcomeOverheadBytes
			if sizes[mem.Address] >= maxMessageBytes {
				send(mem.Address)
			}
		}
	}
	for address := range batches {
		send(address)
	}
	return len(reached)
}

func (acq *Acquirer) sendOutcomes(ctx context.Context, address string, batch []Settled) error {
	ctx, cancel := context.WithTimeout(ctx, successorTimeout)
	defer cancel()
	var res Result
	return trace.Wrap(acq.Peers.Call(ctx, address, MethodResult, ResultRequest{Claimant: acq.Claimant, HandedOver: batch}, &res))
}

// successors returns the live daemons that receive the outcome of a claim, by rendezvous hashing. All daemons with the
// same list of members compute the same successors.
func (acq *Acquirer) successors(id, claimant string, count int) []membership.Member {
	order := membership.Rendezvous(acq.Members(), id)
	order = slices.DeleteFunc(order, func(mem membership.Member) bool { return mem.Incarnation == claimant })
	return order[:min(len(order), count)]
}

// askSuccessors returns a claim's outcome if this daemon or one of the claim's successors has received it.
func (acq *Acquirer) askSuccessors(ctx context.Context, _ string, req ResultRequest) Result {
	if res := acq.Ledger.inherited(req.ID, req.Claimant); res.State != StateUnknown {
		return res
	}
	for _, mem := range acq.successors(req.ID, req.Claimant, maxAskedSuccessors) {
		if mem.Incarnation == acq.Claimant {
			continue
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), successorTimeout)
		var res Result
		err := acq.Peers.Call(ctx, mem.Address, MethodResult, req, &res)
		cancel()
		if err == nil && (res.State == StateAnswered || res.State == StateGivenUp) {
			return res
		}
	}
	return Result{State: StateUnknown}
}

// isMember reports whether a claimant is in the list of members and not gone.
func (acq *Acquirer) isMember(claimant string) bool {
	return slices.ContainsFunc(acq.Members(), func(mem membership.Member) bool {
		return mem.Incarnation == claimant && mem.State != membership.StateGone
	})
}

// settled returns the final outcomes that the ledger keeps, newest first, answers before given-up claims; own is the
// claimant of this daemon's claims.
func (led *Ledger) settled(own string) []Settled {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	var outcomes []Settled
	add := func(kept []settledClaim) {
		for _, one := range slices.Backward(kept) {
			ent, ok := led.entries[one.id]
			if !ok || ent.result.State != StateAnswered && ent.result.State != StateGivenUp {
				continue
			}
			claimant := own
			if ent.inheritedFrom != "" {
				claimant = ent.inheritedFrom
			}
			outcomes = append(outcomes, Settled{ID: one.id.String(), Claimant: claimant, Result: ent.result})
		}
	}
	add(led.answered)
	add(led.givenUp[max(0, len(led.givenUp)-maxHandedGivenUp):])
	return outcomes
}

// Inherit records an outcome that another daemon handed over. It ignores an outcome of a claim that it has already.
func (led *Ledger) Inherit(now time.Time, stl Settled) error {
	id, err := uuid.Parse(stl.ID)
	final := stl.Result.State == StateAnswered || stl.Result.State == StateGivenUp
	if err != nil || stl.Claimant == "" || !final || len(stl.Result.Body) > MaxAnswerBytes {
		return trace.BadParameter("outcome of claim %q can't be kept", stl.ID)
	}
	led.mutex.Lock()
	defer led.mutex.Unlock()
	if _, ok := led.entries[id]; ok {
		return nil
	}
	led.entries[id] = &ledgerEntry{result: Result{State: StatePending}, settled: make(chan struct{}), inheritedFrom: stl.Claimant}
	led.keep(now, id, stl.Result)
	return nil
}

// inherited returns the outcome of a claim that its claimant handed over, or StateUnknown.
func (led *Ledger) inherited(id, claimant string) Result {
	parsed, err := uuid.Parse(id)
	led.mutex.Lock()
	defer led.mutex.Unlock()
	if ent, ok := led.entries[parsed]; err == nil && ok && claimant != "" && ent.inheritedFrom == claimant {
		return ent.result
	}
	return Result{State: StateUnknown}
}
