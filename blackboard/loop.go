package blackboard

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// TickInterval is the longest time between two runs of the controllers, which also run after each input.
	TickInterval = 100 * time.Millisecond
	inputBuffer  = 256
)

// Input is a message to the control goroutine, which calls Apply with the board.
type Input interface {
	Apply(now time.Time, brd *Board)
}

// Controller derives one part of the board from the other parts. The control goroutine calls Step at least once in each
// TickInterval.
type Controller interface {
	Step(now time.Time, brd *Board)
}

// Loop is the control goroutine's loop, with its inputs and the newest snapshot.
type Loop struct {
	Controllers []Controller
	Now         func() time.Time

	board    *Board
	inputs   chan Input
	snapshot atomic.Pointer[Snapshot]
}

// NewLoop returns a loop with an empty board.
func NewLoop() *Loop {
	lop := &Loop{Now: time.Now, board: NewBoard(), inputs: make(chan Input, inputBuffer)}
	lop.snapshot.Store(lop.board.Snapshot(time.Time{}))
	return lop
}

// Snapshot returns the newest published snapshot.
func (lop *Loop) Snapshot() *Snapshot {
	return lop.snapshot.Load()
}

// Send queues an input for the control goroutine. If the queue is full, it waits for room or for the end of the
// context.
func (lop *Loop) Send(ctx context.Context, inp Input) {
	select {
	case lop.inputs <- inp:
	case <-ctx.Done():
	}
}

// Run applies inputs and runs the controllers until the context ends.
func (lop *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case inp := <-lop.inputs:
			inp.Apply(lop.Now(), lop.board)
		case <-ticker.C:
		}
		lop.step(lop.Now())
	}
}

func (lop *Loop) step(now time.Time) {
	for _, ctr := range lop.Controllers {
		ctr.Step(now, lop.board)
	}
	lop.snapshot.Store(lop.board.Snapshot(now))
}
