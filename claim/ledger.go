package claim

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

const (
	// answerLifetime is how long the outcome of a dispatched claim is kept for second attempts.
	answerLifetime = 10 * time.Minute
	// MaxAnswerBytes bounds the body of an answer that is kept for second attempts.
	MaxAnswerBytes = 64 << 10
	// maxKeptBytes bounds all kept answers of one daemon; the oldest are removed first.
	maxKeptBytes = 16 << 20
	// maxGivenUp bounds the ids of given-up claims, about 100 bytes each; the state of a removed one is StateUnknown.
	maxGivenUp = 50_000
	// outcomeOverheadBytes is the assumed size of a kept outcome without its body and content type.
	outcomeOverheadBytes = 256
)

// State is the state of a claim of this daemon.
type State string

// The states of a claim. A claim changes from pending once, to dispatched or givenUp. It changes from dispatched to
// givenUp only if no endpoint can have begun the request and the request will not be sent to another one.
const (
	StateUnknown    State = "unknown"
	StatePending    State = "pending"
	StateDispatched State = "dispatched"
	StateGivenUp    State = "givenUp"
	StateAnswered   State = "answered"
)

// Result is the state of a claim, with the endpoint's answer if there is one.
type Result struct {
	State       State  `json:"state"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

type ledgerEntry struct {
	result Result
	// settled is closed once the result is final.
	settled chan struct{}
	// inheritedFrom is the claimant that handed the outcome over, empty for a claim of this daemon.
	inheritedFrom string
}

type settledClaim struct {
	id    uuid.UUID
	at    time.Time
	bytes int
}

// Ledger records this daemon's claims with their outcomes, and the outcomes that other daemons handed over to it.
type Ledger struct {
	mutex   sync.Mutex
	entries map[uuid.UUID]*ledgerEntry
	// answered and givenUp are the claims with a kept outcome, in the order in which they were settled.
	answered []settledClaim
	givenUp  []settledClaim
	bytes    int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{entries: map[uuid.UUID]*ledgerEntry{}}
}

// Begin records a new claim as pending. It must be called before the claim is sent to another daemon or to the log.
func (led *Ledger) Begin(now time.Time) uuid.UUID {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	led.prune(now)
	id := uuid.New()
	led.entries[id] = &ledgerEntry{result: Result{State: StatePending}, settled: make(chan struct{})}
	return id
}

// Dispatch marks a pending claim as dispatched, after which its request may be sent. It returns false if the claim is
// not pending.
func (led *Ledger) Dispatch(id uuid.UUID) bool {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	ent, ok := led.entries[id]
	if !ok || ent.result.State != StatePending {
		return false
	}
	ent.result.State = StateDispatched
	return true
}

// GiveUp records that the request was not begun under this claim and never will be. This is final.
func (led *Ledger) GiveUp(now time.Time, id uuid.UUID) {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	led.keep(now, id, Result{State: StateGivenUp})
}

// Finish records a dispatched claim's outcome, which is StateAnswered or StateUnknown. An answer with a larger body
// than MaxAnswerBytes is not kept; its claim becomes StateUnknown.
func (led *Ledger) Finish(now time.Time, id uuid.UUID, res Result) {
	if len(res.Body) > MaxAnswerBytes {
		res = Result{State: StateUnknown}
	}
	led.mutex.Lock()
	defer led.mutex.Unlock()
	led.keep(now, id, res)
}

// keep settles a claim and keeps its outcome until prune removes it; the caller holds the mutex.
func (led *Ledger) keep(now time.Time, id uuid.UUID, res Result) {
	if !led.settle(id, res) {
		return
	}
	stl := settledClaim{id: id, at: now}
	if res.State == StateGivenUp {
		led.givenUp = append(led.givenUp, stl)
	} else {
		stl.bytes = len(res.Body) + len(res.ContentType) + outcomeOverheadBytes
		led.answered = append(led.answered, stl)
		led.bytes += stl.bytes
	}
	led.prune(now)
}

// settle makes a result final; it returns false if the claim is not known or was settled before.
func (led *Ledger) settle(id uuid.UUID, res Result) bool {
	ent, ok := led.entries[id]
	if !ok || ent.result.State != StatePending && ent.result.State != StateDispatched {
		return false
	}
	ent.result = res
	close(ent.settled)
	return true
}

// Find returns the present result of a claim and a channel that is closed once the claim is settled.
func (led *Ledger) Find(id uuid.UUID) (Result, <-chan struct{}) {
	led.mutex.Lock()
	defer led.mutex.Unlock()
	ent, ok := led.entries[id]
	if !ok {
		return Result{State: StateUnknown}, nil
	}
	return ent.result, ent.settled
}

// prune removes the outcomes that are too old, and the oldest ones beyond the bounds; the caller holds the mutex.
func (led *Ledger) prune(now time.Time) {
	for len(led.givenUp) > 0 && (len(led.givenUp) > maxGivenUp || now.Sub(led.givenUp[0].at) > tableLifetime) {
		delete(led.entries, led.givenUp[0].id)
		led.givenUp = led.givenUp[1:]
	}
	for len(led.answered) > 0 && (led.bytes > maxKeptBytes || now.Sub(led.answered[0].at) > answerLifetime) {
		delete(led.entries, led.answered[0].id)
		led.bytes -= led.answered[0].bytes
		led.answered = led.answered[1:]
	}
}
