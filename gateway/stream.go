package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// capacityPoll is the interval at which a waiting request checks whether an endpoint is free.
	capacityPoll = 20 * time.Millisecond
	// waitShare is the time for which a request waits for a free endpoint, as a fraction of its target. Then it is refused
	// with a Retry-After, early enough that a retry can still be on time.
	waitShare = 0.11
	// retryAfterShare is the Retry-After of a refused stream as a fraction of its target.
	retryAfterShare = 0.35
	// headShare is the time, as a fraction of the target, after which a repeatable stream that has no response head yet
	// is retried at another engine.
	headShare = 1.6
)

// run is one generation whose events are relayed to a caller; several engines may serve it in succession.
type run struct {
	*request
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController
	work    dispatch.Work
	// movable is true if the generation's memory can be copied to another engine.
	movable bool

	// cancel ends the request at its engine.
	cancel context.CancelCauseFunc

	link     *Link
	flight   *dispatch.Flight
	endpoint *catalog.Endpoint
	// watch takes the samples of the engine's speed.
	watch *dispatch.Watch
	// forecast is what was expected at the first engine, to which the request was sent at sentAt. resumed is true if another
	// engine has continued the stream.
	forecast dispatch.Forecast
	sentAt   time.Time
	resumed  bool
	// beganAt is when the head of the engine's answer arrived. hasEvent is true from its first event on.
	beganAt  time.Time
	hasEvent bool
	// exposure is the engine's run in the search for parts that crash engines; nil if the prompt has no shared parts.
	exposure *dispatch.Exposure
	// header is true once the response head was written to the caller.
	header bool
	// firstAt and lastAt are the times of the first and the latest event; pause is the longest gap between two events.
	firstAt, lastAt time.Time
	pause           time.Duration
	// complete is true once the stream has ended whole.
	complete bool

	// mutex guards the fields below, which the relaying and the moving goroutine share.
	mutex     sync.Mutex
	events    int
	lastEvent string
	moving    chan struct{}
	copy      *memoryCopy
	// stopping is true from the moment at which the final copy is ordered, with which the engine stops the generation.
	// ended is true if the generation had ended by itself before.
	stopping, ended bool
}

// memoryCopy identifies a copy of a generation's memory and the engine that holds it.
type memoryCopy struct {
	endpoint *catalog.Endpoint
	name     string
}

// serveStream relays a stream to the caller; if an engine fails, it resumes the stream at another one where possible.
func (srv *Server) serveStream(ctx context.Context, wri http.ResponseWriter, rqs *request) *refusal {
	rqs.logger.WithFields(logrus.Fields{"prompt": rqs.PromptTokens, "maxTokens": rqs.MaxTokens, "hint": rqs.LengthHint}).Debug("stream")
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	one := &run{request: rqs, server: srv, cancel: cancel, writer: wri, control: http.NewResponseController(wri), work: srv.expect(rqs)}
	one.lastEvent = rqs.LastEvent
	engine := srv.Snapshots.Snapshot().Catalog.Services[rqs.service].Engine
	one.movable = engine != nil && engine.Moves && !rqs.route.Resumable
	srv.setBeginning(one, true)
	defer srv.setBeginning(one, false)
	defer func() { one.noteEnded(one.complete) }()
	ref := one.start(ctx)
	if ref != nil || one.link == nil {
		return ref
	}
	defer func() { one.detach() }()
	for {
		err := one.relay(ctx)
		if err == nil {
			one.complete = true
			return nil
		}
		if rqs.http.Context().Err() != nil {
			rqs.logger.WithField("events", one.events).Info("caller disconnected during the stream")
			break
		}
		rqs.logger.WithError(err).WithFields(logrus.Fields{fieldEndpoint: one.endpoint.ID, fieldEvents: one.events}).Info("stream interrupted")
		if !one.hasCrashed(ctx) && ctx.Err() == nil && srv.refuseCondemned(srv.Now(), rqs) == nil && one.resume(ctx) {
			continue
		}
		if !one.header {
			if ctx.Err() != nil {
				return expired("no event before the deadline")
			}
			return failed("the engine broke off before the first event: %v", err)
		}
		rqs.logger.WithFields(logrus.Fields{fieldEvents: one.events, fieldElapsed: srv.Now().Sub(rqs.begun)}).Warn("stream ended early")
		break
	}
	srv.Metrics.requests.WithLabelValues(rqs.kind(), "0").Inc()
	// Abort the connection, so that the caller does not take the truncated stream for a complete one: one that counts as
	// disconnected may have closed only its sending direction.
	panic(http.ErrAbortHandler)
}

// usualOutputShare is the mean output length as a fraction of the requested maximum. The callers' own estimates are
// not used: they are right in the median only, while the sum over many generations is closer to the mean.
const usualOutputShare = 0.4

// expectedWork returns the memory and prefill that a generation is expected to need.
func expectedWork(rqs *request) dispatch.Work {
	output := int(usualOutputShare * float64(rqs.MaxTokens))
	return dispatch.Work{Tokens: rqs.PromptTokens + output, Prefill: rqs.PromptTokens, Output: output}
}

// start sends the request to one engine after another until one begins to answer.
func (one *run) start(ctx context.Context) *refusal {
	trs := &tries{retryAfter: max(fullRetry, time.Duration(retryAfterShare*float64(one.route.Target)))}
	for again := true; again; {
		again = one.tryStart(ctx, trs)
	}
	switch {
	case one.link != nil:
		return one.checkHead(ctx)
	case trs.answer != nil:
		return one.server.relayAnswer(one.writer, one.request, trs.answer)
	}
	return trs.refusal(ctx, one.server.Now(), one.request)
}

// tryStart sends the request to one engine and reports whether it should be sent to another.
func (one *run) tryStart(ctx context.Context, trs *tries) bool {
	cho := one.awaitEngine(ctx)
	defer one.server.releaseGranted(one.request)
	if cho.Endpoint == nil {
		trs.noteChoice(&cho)
		return false
	}
	if trs.condemned = one.server.refuseCondemned(one.server.Now(), one.request); trs.condemned != nil {
		return false
	}
	one.forecast, one.sentAt = cho.Forecast, one.server.Now()
	res, err := one.open(ctx, cho.Endpoint, Forward{LastEvent: one.LastEvent})
	status := 0
	if res == outcomeAnswered {
		status = one.link.Response.StatusCode
	}
	if status >= http.StatusInternalServerError {
		res, err = one.readFailure(ctx, trs)
	}
	one.server.logSend(one.request, &cho, res, status, err)
	if res == outcomeAnswered && status < http.StatusInternalServerError {
		return false
	}
	return one.server.shouldRetry(ctx, one.request, trs, res)
}

// readFailure reads an engine's 5xx answer, which is relayed to the caller if no other engine succeeds. The outcome is
// unknown if the answer breaks off: there is nothing to relay, but the request has run.
func (one *run) readFailure(ctx context.Context, trs *tries) (outcome, error) {
	res := one.link.Response
	body, err := one.server.buffers.readAnswer(res)
	if err == nil {
		one.server.endExposure(one.exposure, true)
	} else if !one.server.noteLimit(err) {
		one.crashed = one.server.awaitCrash(one.request, one.checkBroken(ctx))
	}
	one.detach()
	one.link = nil
	if err != nil {
		return outcomeUnknown, err
	}
	trs.keep(&plainAnswer{response: res, body: body})
	return outcomeAnswered, nil
}

func (one *run) awaitEngine(ctx context.Context) dispatch.Choice {
	one.server.waiting.Add(1)
	defer one.server.waiting.Add(-1)
	return one.server.awaitEndpoint(ctx, one.request, one.work, false)
}

// open sends the request to an engine and reads the head of its answer; on success it becomes the run's engine.
func (one *run) open(ctx context.Context, edp *catalog.Endpoint, fwd Forward) (outcome, error) {
	srv, rqs := one.server, one.request
	fwd.Endpoint, fwd.Priority = edp.ID, rqs.rank
	wrk := one.work
	if fwd.Copy != "" {
		wrk.Prefill = 0
	}
	out := srv.outgoing(rqs, edp, fwd)
	if rqs.route.Repeatable() && rqs.sends+1 < rqs.route.Attempts {
		out.HeadTimeout = time.Duration(headShare * float64(rqs.route.Target))
		out.GiveUp = srv.giveUp(rqs, edp.ID, wrk)
	}
	flt, wch := srv.beginStream(rqs, edp, wrk)
	lnk, err := Open(ctx, edp.Address, out)
	var sendErr *SendError
	if errors.As(err, &sendErr) {
		srv.end(flt)
		srv.noteSendError(ctx, edp.ID, err)
		if !sendErr.Sent {
			srv.noteRefused(edp, err)
			return outcomeUnreached, err
		}
		rqs.sends++
		if !srv.noteLimit(err) {
			rqs.crashed = srv.awaitCrash(rqs, srv.checkCrash(ctx, rqs, edp, interruption{}))
		}
		return outcomeUnknown, err
	}
	rqs.sends++
	ans := srv.Wire.ParseAnswer(lnk.Response)
	srv.noteLeaving(edp, ans)
	srv.notePause(rqs, edp, ans)
	srv.noteAnswer(edp.ID, ans, !ans.NotRun && lnk.Response.StatusCode < 500)
	if rqs.hasNotRun(ans) {
		srv.end(flt)
		lnk.Close()
		return outcomeNotRun, nil
	}
	exposure := srv.beginExposure(rqs, edp)
	if err := checkAnswer(rqs, ans); err != nil {
		srv.endExposure(exposure, false)
		srv.end(flt)
		lnk.Close()
		return outcomeUnknown, err
	}
	one.link, one.endpoint, one.flight, one.watch = lnk, edp, flt, wch
	one.beganAt, one.hasEvent, one.exposure = srv.Now(), false, exposure
	srv.streams.add(one)
	return outcomeAnswered, nil
}

// checkHead relays an answer whose status is not 200 as a plain answer; it does nothing if the answer is a stream.
func (one *run) checkHead(ctx context.Context) *refusal {
	res := one.link.Response
	if res.StatusCode == http.StatusOK {
		return nil
	}
	defer one.detach()
	body, err := one.server.buffers.readAnswer(res)
	if err == nil {
		one.server.endExposure(one.exposure, true)
	} else if !one.server.noteLimit(err) {
		one.checkBroken(ctx)
	}
	one.link = nil
	if err != nil {
		return failed("the engine's answer broke off: %v", err)
	}
	return one.server.relayAnswer(one.writer, one.request, &plainAnswer{response: res, body: body})
}

// detach closes the connection to the current engine and ends the flight there.
func (one *run) detach() {
	if one.endpoint == nil {
		return
	}
	one.server.streams.remove(one)
	one.server.end(one.flight)
	one.server.endExposure(one.exposure, false)
	if one.link != nil {
		one.link.Close()
	}
	one.endpoint = nil
}

// relay forwards events to the caller until the stream ends; it returns nil if the stream is complete.
func (one *run) relay(ctx context.Context) error {
	reader := newEventReader(one.link.Response, &one.server.buffers)
	defer reader.release()
	wat := one.watchSilence()
	defer wat.stop()
	for {
		before := one.events
		events, err := reader.next()
		if one.server.noteLimit(err) || errors.Is(err, errNotEvents) {
			one.server.noteFailure(one.endpoint.ID)
		}
		if len(events) > 0 {
			if err := one.write(events); err != nil {
				return err
			}
			// Comments are no progress: an engine may send them while its generation is stalled.
			if one.events > before {
				wat.progress()
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			if one.wasStopped(ctx) {
				return errStopped
			}
			return one.finish()
		}
		if one.link.silent.Load() {
			return errSilent
		}
		return err
	}
}

func (one *run) write(events []byte) error {
	one.writeHead()
	id, count := lastEventID(events)
	one.mutex.Lock()
	if id != "" {
		one.lastEvent = id
	}
	one.events += count
	one.mutex.Unlock()
	if one.flight.Work.Prefill > 0 {
		one.server.started(one.flight)
	}
	now := one.server.Now()
	if count > 0 {
		if !one.hasEvent {
			one.server.promptRead(now, one.flight)
		}
		one.noteEvents(now)
		one.sample(now, count)
	}
	one.observe(now)
	if _, err := one.writer.Write(events); err != nil {
		return err
	}
	err := one.control.Flush()
	one.skipSlowWrite(now)
	return err
}

// observe records the time at which events arrived, for metrics.
func (one *run) observe(now time.Time) {
	if one.firstAt.IsZero() {
		one.firstAt = now
	} else {
		one.pause = max(one.pause, now.Sub(one.lastAt))
	}
	one.lastAt = now
}

func (one *run) writeHead() {
	if one.header {
		return
	}
	one.header = true
	one.answering.Store(true)
	hdr := one.writer.Header()
	for name, values := range one.server.Wire.AnswerHeader(one.link.Response.Header) {
		hdr[name] = values
	}
	one.writer.WriteHeader(one.link.Response.StatusCode)
}

// finish records metrics and the log line of a complete stream.
func (one *run) finish() error {
	one.writeHead()
	one.status = one.link.Response.StatusCode
	one.server.endExposure(one.exposure, true)
	if !one.firstAt.IsZero() {
		one.server.Metrics.firstEvents.Observe(one.firstAt.Sub(one.begun).Seconds())
		one.server.Metrics.pauses.Observe(one.pause.Seconds())
	}
	one.logger.WithFields(logrus.Fields{
		fieldEndpoint: one.endpoint.ID, fieldEvents: one.events, fieldElapsed: one.server.Now().Sub(one.begun),
		"first": one.firstAt.Sub(one.begun), "pause": one.pause, "maxTokens": one.MaxTokens, "hint": one.LengthHint, "prompt": one.PromptTokens,
	}).WithFields(one.compareForecast()).Info("stream complete")
	return nil
}

// resume continues the generation at another engine and reports whether that worked. It uses the copy of a move if
// there is one; otherwise it sends a repeatable request to another engine.
func (one *run) resume(ctx context.Context) bool {
	from := one.endpoint
	if cpy := one.awaitMove(ctx); cpy != nil {
		if one.server.permitCopy(ctx, one.request, cpy.endpoint) && one.reopen(ctx, from, cpy.endpoint, Forward{Copy: cpy.name}) == outcomeAnswered {
			return true
		}
	}
	if one.endpoint == nil || !one.route.Repeatable() || one.sends >= one.route.Attempts || !one.server.spend(one.request) {
		return false
	}
	one.excluded[from.ID] = true
	for range maxUnreached {
		cho := one.server.choosePermitted(ctx, one.request, one.work, true)
		if cho.Endpoint == nil || ctx.Err() != nil {
			return false
		}
		// An engine that has just ended takes no connection; the stream may go on at another one.
		if res := one.reopen(ctx, from, cho.Endpoint, Forward{}); res != outcomeUnreached {
			return res == outcomeAnswered
		}
	}
	return false
}

// reopen sends the request to an engine, to continue the stream after the last event that the caller has received. Any
// answer but a stream counts as unknown.
func (one *run) reopen(ctx context.Context, from, edp *catalog.Endpoint, fwd Forward) outcome {
	one.detach()
	one.resumed = true
	one.mutex.Lock()
	fwd.LastEvent = one.lastEvent
	one.moving, one.copy, one.stopping, one.ended = nil, nil, false, false
	one.mutex.Unlock()
	res, err := one.open(ctx, edp, fwd)
	status := 0
	if one.link != nil && res == outcomeAnswered {
		status = one.link.Response.StatusCode
	}
	one.logger.WithFields(logrus.Fields{
		fieldEndpoint: edp.ID, "from": from.ID, "copy": fwd.Copy, "lastEvent": fwd.LastEvent, fieldOutcome: res.String(),
		"status": status, "error": errorText(err),
	}).Info("stream resumed")
	if res != outcomeAnswered {
		one.endpoint, one.link = nil, nil
		return res
	}
	if status != http.StatusOK || !one.isContinuation() {
		return outcomeUnknown
	}
	return outcomeAnswered
}

// isContinuation reports whether the answer of another engine can follow what the caller has received: an error's text has
// another media type than the stream.
func (one *run) isContinuation() bool {
	return !one.header || mediaType(one.link.Response.Header) == mediaType(one.writer.Header())
}
