package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/entry"
	"papayacroft/retry"
)

const (
	drainPollInterval = 50 * time.Millisecond
	// maxEndMargin is the longest time before the end of the drain notice at which open responses are ended.
	maxEndMargin = 2 * time.Second
	// endMarginDivisor limits that time for short notices: to the notice divided by this number.
	endMarginDivisor = 5
)

// endMargin returns how long before the end of the drain notice open responses are ended, which leaves callers time to
// read the end of their streams.
func endMargin(notice time.Duration) time.Duration {
	return min(maxEndMargin, notice/endMarginDivisor)
}

// endStreams ends open responses shortly before the drain notice expires, whether a signal or POST /admin/drain started
// the drain.
func (dmn *Daemon) endStreams(ctx context.Context) {
	notice := time.Duration(dmn.Settings.DrainNotice)
	for ctx.Err() == nil {
		since := dmn.loop.Snapshot().DrainingSince
		if !since.IsZero() && time.Since(since) >= notice-endMargin(notice) {
			dmn.Logger.WithField("inFlight", dmn.entry.InFlight()).Info("drain notice expires soon; ending open responses")
			dmn.entry.EndStreams()
			return
		}
		retry.Sleep(ctx, drainPollInterval)
	}
}

// drain refuses new requests after entry.DrainGrace and waits for those in flight until the drain notice expires.
// The listener stays open meanwhile, so that new callers get a refusal instead of a connection error.
func (dmn *Daemon) drain(kill context.Context, callers *http.Server) {
	dmn.loop.Send(kill, blackboard.Drain{})
	notice, began := time.Duration(dmn.Settings.DrainNotice), time.Now()
	dmn.Logger.WithFields(logrus.Fields{"notice": notice, "inFlight": dmn.entry.InFlight()}).Info("draining")
	ctx, cancel := context.WithTimeout(kill, notice)
	defer cancel()
	// During the grace, requests are still accepted, because the load balancer needs time to see that the daemon isn't
	// ready any more. One more poll interval lets the last accepted request enter the count of requests in flight.
	retry.Sleep(ctx, min(entry.DrainGrace+drainPollInterval, notice-endMargin(notice)))
	dmn.awaitIdle(ctx, began.Add(notice-endMargin(notice)/2))
	dmn.entry.AbortCalls()
	dmn.awaitIdle(ctx, began.Add(notice-endMargin(notice)/4))
	dmn.Logger.WithField("outcomes", dmn.entry.Claims.HandOver(ctx)).Info("outcomes of claims handed over")
	if err := callers.Shutdown(ctx); err != nil {
		dmn.Logger.WithError(err).Warn("drain notice expired with requests in flight")
		return
	}
	dmn.Logger.Info("drained")
}

// awaitIdle waits until no request is in flight, the deadline passes or the context ends.
func (dmn *Daemon) awaitIdle(ctx context.Context, until time.Time) {
	for ctx.Err() == nil && dmn.entry.InFlight() > 0 && time.Now().Before(until) {
		retry.Sleep(ctx, drainPollInterval)
	}
}
