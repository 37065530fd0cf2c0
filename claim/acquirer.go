package claim

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"papayacroft/answer"
	"papayacroft/membership"
)

// The methods by which daemons call each other.
const (
	MethodAcquire = "claim.acquire"
	MethodResult  = "claim.result"
)

const (
	// AcquireTimeout bounds the wait for a claim, since a request that is refused quickly is better than one that hangs.
	AcquireTimeout = 300 * time.Millisecond
	// hedgeDelay is how long one writer may take before the next is asked as well; a loaded shard takes about 50 ms.
	hedgeDelay = 100 * time.Millisecond
	// handleTimeout is shorter than AcquireTimeout, so that a writer answers with an error before the calling daemon's
	// deadline closes the connection between them.
	handleTimeout = 250 * time.Millisecond
	// maxWriters is the number of daemons that write a shard. A daemon that is not one of them appends a claim itself
	// only if they fail or are slow.
	maxWriters = 2
	// ResultWait bounds the time that a second attempt waits for the answer of the first one.
	ResultWait = 10 * time.Second
	// resultMargin is added to ResultWait for the transfer of the answer between the daemons.
	resultMargin    = time.Second
	refreshInterval = time.Second
	pruneInterval   = time.Minute
)

// Caller calls other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Acquirer claims keys for one daemon incarnation, and appends claims to the log for other daemons.
type Acquirer struct {
	Log      Log
	Claimant string
	// Address is where other daemons reach this one.
	Address string
	Peers   Caller
	// Members returns the known daemons with their states.
	Members func() []membership.Member
	Ledger  *Ledger

	writers []*writer
}

// NewAcquirer returns an acquirer without other daemons; Members and Peers have to be set to reach them.
func NewAcquirer(log Log, claimant, address string) *Acquirer {
	acq := &Acquirer{
		Log: log, Claimant: claimant, Address: address, Ledger: NewLedger(),
		Members: func() []membership.Member { return nil },
	}
	for shard := range Shards {
		acq.writers = append(acq.writers, newWriter(log, StreamName(shard)))
	}
	return acq
}

// Acquire claims a key and returns the claim that holds it. If replaces is not empty, it is the id of the given-up
// claim to replace. own is true if the holder is the claim of this call, which is then pending. Otherwise the claim of
// this call has been given up and is never dispatched.
func (acq *Acquirer) Acquire(ctx context.Context, key, body, replaces string) (held Claim, own bool, err error) {
	id := acq.Ledger.Begin(time.Now())
	clm := Claim{ID: id.String(), KeyDigest: key, BodyDigest: body, Claimant: acq.Claimant, Address: acq.Address, Replaces: replaces}
	held, err = acq.ask(ctx, clm)
	if err != nil || held.ID != clm.ID {
		acq.Ledger.GiveUp(time.Now(), id)
		return held, false, trace.Wrap(err)
	}
	return held, true, nil
}

type reply struct {
	held Claim
	err  error
}

// ask sends the claim to one writer after another until one returns the holder. It does not cancel the calls to the
// others, because that would close connections that other calls use; copies of a claim on the log have no effect.
func (acq *Acquirer) ask(ctx context.Context, clm Claim) (Claim, error) {
	targets := acq.targets(shardOf(clm.KeyDigest))
	replies := make(chan reply, len(targets))
	asked, failed := 0, 0
	askNext := func() {
		if asked < len(targets) {
			go func(target membership.Member) {
				held, err := acq.askOne(context.WithoutCancel(ctx), target, clm)
				replies <- reply{held, err}
			}(targets[asked])
			asked++
		}
	}
	askNext()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case rep := <-replies:
			if rep.err == nil {
				return rep.held, nil
			}
			if failed++; failed == len(targets) {
				return Claim{}, trace.Wrap(rep.err)
			}
			askNext()
		case <-hedge.C:
			askNext()
		case <-ctx.Done():
			return Claim{}, trace.ConnectionProblem(ctx.Err(), "no writer settled the claim of key %s in time", clm.KeyDigest)
		}
	}
}

func (acq *Acquirer) askOne(ctx context.Context, target membership.Member, clm Claim) (Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, AcquireTimeout)
	defer cancel()
	if target.Incarnation == acq.Claimant {
		return acq.writers[shardOf(clm.KeyDigest)].submit(ctx, clm)
	}
	var held Claim
	if err := acq.Peers.Call(ctx, target.Address, MethodAcquire, clm, &held); err != nil {
		return Claim{}, trace.Wrap(err)
	}
	if err := held.Validate(); err != nil || held.KeyDigest != clm.KeyDigest {
		return Claim{}, trace.BadParameter("peer %s answered with a claim of key %q", target.Address, held.KeyDigest)
	}
	return held, nil
}

// targets returns the writers of a shard, followed by this daemon unless it is one of them.
func (acq *Acquirer) targets(shard int) []membership.Member {
	self := membership.Member{Incarnation: acq.Claimant}
	order := membership.Rendezvous(acq.Members(), StreamName(shard))
	order = order[:min(len(order), maxWriters)]
	if !slices.ContainsFunc(order, func(mem membership.Member) bool { return mem.Incarnation == acq.Claimant }) {
		order = append(order, self)
	}
	return order
}

// HandleAcquire appends a claim to the log for another daemon and returns the holder of its key.
func (acq *Acquirer) HandleAcquire(ctx context.Context, params json.RawMessage) (any, error) {
	var clm Claim
	if err := json.Unmarshal(params, &clm); err != nil {
		return nil, trace.BadParameter("claim is not valid: %v", err)
	}
	if err := clm.Validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	return acq.writers[shardOf(clm.KeyDigest)].submit(ctx, clm)
}

// ResultRequest asks a daemon for the result of a claim, or hands outcomes over to it.
type ResultRequest struct {
	ID       string `json:"id"`
	Claimant string `json:"claimant"`
	// HandedOver holds the outcomes that a stopping daemon hands over to the daemon that it calls.
	HandedOver []Settled `json:"handedOver,omitempty"`
}

// HandleResult records the outcomes that are handed over in a request, and answers with the result of a claim of this
// daemon or of one whose outcome was handed over to it.
func (acq *Acquirer) HandleResult(ctx context.Context, params json.RawMessage) (any, error) {
	var req ResultRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, trace.BadParameter("request is not valid: %v", err)
	}
	for _, stl := range req.HandedOver {
		if err := acq.Ledger.Inherit(time.Now(), stl); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	if req.Claimant != acq.Claimant {
		return acq.Ledger.inherited(req.ID, req.Claimant), nil
	}
	return acq.ownResult(ctx, req), nil
}

// Result returns the result of a claim. It asks the claimant and the successors to which the claimant may have handed
// the outcome over; if none of them has it, the state is StateUnknown.
func (acq *Acquirer) Result(ctx context.Context, clm Claim) Result {
	res := acq.findResult(ctx, clm)
	// Daemons of earlier releases keep answers with any status.
	if res.State == StateAnswered && !answer.IsFinal(res.Status) {
		return Result{State: StateUnknown}
	}
	return res
}

func (acq *Acquirer) findResult(ctx context.Context, clm Claim) Result {
	req := ResultRequest{ID: clm.ID, Claimant: clm.Claimant}
	if clm.Claimant == acq.Claimant {
		return acq.ownResult(ctx, req)
	}
	// The VM of a daemon that is gone may not refuse the connection; the call would then last until its time-out.
	// So the successors of such a daemon are asked first.
	first, second := acq.askClaimant, acq.askSuccessors
	if !acq.isMember(clm.Claimant) {
		first, second = second, first
	}
	if res := first(ctx, clm.Address, req); res.State != StateUnknown {
		return res
	}
	return second(ctx, clm.Address, req)
}

func (acq *Acquirer) askClaimant(ctx context.Context, address string, req ResultRequest) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ResultWait+resultMargin)
	defer cancel()
	var res Result
	if err := acq.Peers.Call(ctx, address, MethodResult, req, &res); err != nil {
		return Result{State: StateUnknown}
	}
	return res
}

func (acq *Acquirer) ownResult(ctx context.Context, req ResultRequest) Result {
	id, err := uuid.Parse(req.ID)
	if err != nil || req.Claimant != acq.Claimant {
		return Result{State: StateUnknown}
	}
	_, settled := acq.Ledger.Find(id)
	if settled != nil {
		tmr := time.NewTimer(ResultWait)
		defer tmr.Stop()
		select {
		case <-settled:
		case <-tmr.C:
		case <-ctx.Done():
		}
	}
	res, _ := acq.Ledger.Find(id)
	return res
}

// Run keeps the tables of the shards for which this daemon is one of the writers up to date, and prunes all tables.
func (acq *Acquirer) Run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	var pruned time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			prune := now.Sub(pruned) >= pruneInterval
			if prune {
				pruned = now
			}
			acq.refresh(now, prune)
		}
	}
}

func (acq *Acquirer) refresh(now time.Time, prune bool) {
	for _, wri := range acq.writers {
		if prune {
			wri.prune(now)
		}
		order := membership.Rendezvous(acq.Members(), wri.stream)
		order = order[:min(len(order), maxWriters)]
		if len(order) == 0 || slices.ContainsFunc(order, func(mem membership.Member) bool { return mem.Incarnation == acq.Claimant }) {
			// The next claim of the shard meets the same failure and reports it.
			_ = wri.catchUp(0, loadTimeout)
		}
	}
}
