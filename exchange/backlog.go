package exchange

import (
	"context"
	"time"

	"papayacroft/dispatch"
	"papayacroft/retry"
)

const (
	// waitingDelay is how long waiting work is collected before it is announced.
	waitingDelay = 5 * time.Millisecond
	// briefWait is the wait below which work is not announced if the last announcement is less than waitingInterval ago. It limits the
	// messages of a queue that has one request now and then.
	briefWait = 50 * time.Millisecond
	// waitingInterval is the time between two messages that carry nothing but waiting work. A daemon shares engines with nearly all
	// others, so each announcement is about 60 messages. It is below the second for which the work counts, so that it is renewed in time.
	waitingInterval = 500 * time.Millisecond
	// waitingPause is the shortest time between them if work of a service and priority begins to wait, for which the daemons then take
	// turns.
	waitingPause = 200 * time.Millisecond
)

// Backlog is the work that waits at this daemon and at others.
type Backlog interface {
	// WaitingTokens returns the work that waits here, by service and priority.
	WaitingTokens() dispatch.WaitingTokens
	// SetPeerWaiting records the work that waits at another daemon.
	SetPeerWaiting(now time.Time, peer string, tokens dispatch.WaitingTokens)
}

// WaitingChanged makes RunBacklog announce the work that waits here; it does not block.
func (exc *Exchange) WaitingChanged() {
	select {
	case exc.waiting <- struct{}{}:
	default:
	}
}

// RunBacklog announces the work that waits here, until the context is cancelled. Messages on work at engines carry it, too.
func (exc *Exchange) RunBacklog(ctx context.Context) {
	if exc.Backlog == nil {
		return
	}
	var announced dispatch.WaitingTokens
	var sentAt time.Time
	for {
		renew := time.Hour
		if len(announced) > 0 {
			// Events don't put it off: a busy queue has one every few milliseconds.
			renew = sentAt.Add(waitingInterval).Sub(exc.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-exc.waiting:
		case <-time.After(renew):
		}
		delay, began := waitingDelay, hasMore(exc.Backlog.WaitingTokens(), announced)
		if exc.Now().Sub(sentAt) < waitingInterval {
			delay = briefWait
		}
		retry.Sleep(ctx, delay)
		waiting := exc.Backlog.WaitingTokens()
		due := len(announced) > 0 && exc.Now().Sub(sentAt) >= waitingInterval
		if due || began && hasMore(waiting, announced) {
			exc.sendWaiting(ctx, waiting)
			announced, sentAt = waiting, exc.Now()
			retry.Sleep(ctx, waitingPause)
		}
	}
}

// hasMore reports whether work of a service and priority waits that did not when it was announced.
func hasMore(waiting, announced dispatch.WaitingTokens) bool {
	for service, tokens := range waiting {
		for priority := range tokens {
			if announced[service][priority] == 0 {
				return true
			}
		}
	}
	return false
}

// sendWaiting sends the work that waits here to the daemons that use the same engines.
func (exc *Exchange) sendWaiting(ctx context.Context, waiting dispatch.WaitingTokens) {
	msg := &message{Name: exc.Name, Waiting: waiting}
	_, shares := exc.Users()
	for name, per := range exc.Answering() {
		if shares == nil || shares[name] > 0 {
			exc.notify(ctx, per.Address, workMethod, msg)
		}
	}
}

// waitingTokens returns the work that waits here as a part of a message; nil without a queue.
func (exc *Exchange) waitingTokens() dispatch.WaitingTokens {
	if exc.Backlog == nil {
		return nil
	}
	return exc.Backlog.WaitingTokens()
}

// receiveWaiting records the waiting work in a message; without any the sender has no queue, and nothing is known.
func (exc *Exchange) receiveWaiting(msg *message) {
	if exc.Backlog != nil && msg.Waiting != nil {
		exc.Backlog.SetPeerWaiting(exc.Now(), msg.Name, msg.Waiting)
	}
}

// Users returns the daemons that use each engine, and for each other daemon the part of its engines that this one uses, too; both are
// nil if all daemons use all engines. Callers must not modify them.
func (exc *Exchange) Users() (users map[string][]string, shares map[string]float64) {
	shr := exc.sharing.Load()
	if shr == nil || shr.own == nil {
		return nil, nil
	}
	return shr.users, shr.shares
}

// commonShares returns, for each daemon, the part of its engines that this one uses, too.
func (shr *sharing) commonShares() map[string]float64 {
	all, common := map[string]float64{}, map[string]float64{}
	for id, users := range shr.users {
		for _, name := range users {
			all[name]++
			if shr.own[id] {
				common[name]++
			}
		}
	}
	for name := range common {
		common[name] /= all[name]
	}
	return common
}
