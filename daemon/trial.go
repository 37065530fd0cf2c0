package daemon

import (
	"context"
	"time"

	"papayacroft/retry"
)

const (
	// confirmTimeout limits the requests to the other daemons and the endpoint that find out whether the endpoint is idle.
	confirmTimeout = 500 * time.Millisecond
	// idlePollInterval is the time between two polls of an endpoint while a suspect waits for it to become idle. A poll
	// takes about 600 bytes of the 2 KB/s that a daemon may use for control traffic.
	idlePollInterval = time.Second
	// renewInterval is the time after which the other daemons are asked again to start nothing on the endpoint.
	renewInterval = retry.ClosedTime / 2
)

// Confirm decides whether a suspect's run may start on its endpoint: alone on an idle endpoint, or shared with other
// requests if the state machine allows that. Otherwise it waits until the endpoint may be idle and tries again.
// It returns false if the context ends before.
func (qua *quarantine) Confirm(ctx context.Context, id string, maxClosed int, idle func(ctx context.Context) bool) bool {
	for {
		trial, rep := qua.try(id, maxClosed)
		if trial == retry.TrialAsk {
			trial = qua.settle(id, qua.isIdle(ctx, rep, idle))
		}
		if trial != retry.TrialWait {
			return true
		}
		if !awaitIdle(ctx, idle) {
			qua.Leave(id)
			return false
		}
	}
}

// awaitIdle waits until the endpoint reports that it is idle or the other daemons must be asked again, and returns false
// if the context ends before. It polls only the endpoint, because a request to the daemons goes to all of them.
func awaitIdle(ctx context.Context, idle func(ctx context.Context) bool) bool {
	renew := time.Now().Add(renewInterval)
	for {
		retry.Sleep(ctx, idlePollInterval)
		if ctx.Err() != nil {
			return false
		}
		ask, cancel := context.WithTimeout(ctx, confirmTimeout)
		free := idle(ask)
		cancel()
		if free || time.Now().After(renew) {
			return true
		}
	}
}

// isIdle reports whether neither the other daemons nor the endpoint itself have requests running on it. The daemons are
// asked first: once they have responded they start nothing more on the endpoint, so that its own reply stays true.
func (qua *quarantine) isIdle(ctx context.Context, rep retry.Report, idle func(ctx context.Context) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	out := newQueuedReport(rep)
	select {
	case qua.reports <- out:
	case <-ctx.Done():
		return false
	}
	select {
	case free := <-out.idle:
		return free && idle(ctx)
	case <-ctx.Done():
		return false
	}
}

func (qua *quarantine) try(id string, maxClosed int) (retry.Trial, retry.Report) {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	trial, rep := qua.state.Try(time.Now(), id, maxClosed)
	if trial == retry.TrialShared {
		qua.enqueue([]retry.Report{rep})
	}
	return trial, rep
}

func (qua *quarantine) settle(id string, idle bool) retry.Trial {
	qua.mutex.Lock()
	defer qua.mutex.Unlock()
	trial, rep := qua.state.Settle(id, idle)
	if trial == retry.TrialShared {
		qua.enqueue([]retry.Report{rep})
	}
	return trial
}
