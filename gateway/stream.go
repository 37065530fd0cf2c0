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
	// roomPoll is the time between two looks for room while a request waits.
	roomPoll = 20 * time.Millisecond
	// waitShare is the part of its target for which a stream waits for room; then its caller is told when to come
	// back, early enough to be served in time.
	waitShare = 0.11
	// returnShare is that time as a part of the target.
	returnShare = 0.35
	// headShare is the part of its target after which a stream that may be repeated is tried at another engine.
	headShare = 1.6
	// moveWait is how long a broken stream waits for the result of its move.
	moveWait = 2 * time.Second
	// silenceLimit is the pause after which a stream that may be resumed goes on at another engine.
	silenceLimit = 1200 * time.Millisecond
)

// run is a generation whose events are relayed to a caller.
type run struct {
	*request
	server  *Server
	writer  http.ResponseWriter
	control *http.ResponseController
	work    dispatch.Work
	// movable is true if the generation's memory can be copied to another engine.
	movable bool

	link     *Link
	flight   *dispatch.Flight
	endpoint *catalog.Endpoint
	// header is true once the caller has the head of the answer.
	header bool
	// firstAt and lastAt are the times of the first and the newest event, pause is the longest between two.
	firstAt, lastAt time.Time
	pause           time.Duration

	// mutex guards what the relay and the move share.
	mutex     sync.Mutex
	events    int
	lastEvent string
	moving    chan struct{}
	copy      *copyAt
}

// copyAt names a copy of the generation's memory and the engine that holds it.
type copyAt struct {
	endpoint *catalog.Endpoint
	name     string
}

// serveStream relays a stream, over several engines if need be.
func (srv *Server) serveStream(ctx context.Context, wri http.ResponseWriter, rqs *request) *refusal {
	rqs.logger.WithFields(logrus.Fields{"prompt": rqs.PromptTokens, "maxTokens": rqs.MaxTokens, "hint": rqs.LengthHint}).Debug("stream")
	one := &run{request: rqs, server: srv, writer: wri, control: http.NewResponseController(wri), work: expectedWork(rqs)}
	one.lastEvent = rqs.LastEvent
	engine := srv.Board.Snapshot().Catalog.Services[rqs.service].Engine
	one.movable = engine != nil && engine.Moves && !rqs.route.Resumable
	ref := one.start(ctx)
	if ref != nil || one.link == nil {
		return ref
	}
	defer func() { one.leave() }()
	for {
		err := one.relay()
		if err == nil {
			return nil
		}
		if rqs.http.Context().Err() != nil {
			rqs.logger.WithField("events", one.events).Info("caller left the stream")
			return nil
		}
		rqs.logger.WithError(err).WithFields(logrus.Fields{fieldEndpoint: one.endpoint.ID, "events": one.events}).Info("stream broke off")
		if !one.isMoving() {
			srv.checkCrash(ctx, rqs, one.endpoint)
		}
		if ctx.Err() == nil && !srv.condemned(srv.Now(), rqs) && one.resume(ctx) {
			continue
		}
		if !one.header {
			if ctx.Err() != nil {
				return expired("no event before the deadline")
			}
			return failed("the engine broke off before the first event: %v", err)
		}
		rqs.logger.WithFields(logrus.Fields{"events": one.events, fieldElapsed: srv.Now().Sub(rqs.begun)}).Warn("stream ended early")
		srv.Metrics.requests.WithLabelValues(rqs.kind(), "0").Inc()
		// The caller must not take the answer for complete.
		panic(http.ErrAbortHandler)
	}
}

// usualOutputShare is the mean length of an output as a part of the longest one. Callers' estimates are right at the
// median only; sums of many generations are closer to the mean.
const usualOutputShare = 0.4

// expectedWork is what a generation is expected to need.
func expectedWork(rqs *request) dispatch.Work {
	output := int(usualOutputShare * float64(rqs.MaxTokens))
	return dispatch.Work{Tokens: rqs.PromptTokens + output, Prefill: rqs.PromptTokens}
}

// start sends the request to engines until one begins to answer.
func (one *run) start(ctx context.Context) *refusal {
	trs := &tries{retryAfter: max(fullRetry, time.Duration(returnShare*float64(one.route.Target)))}
	for again := true; again; {
		again = one.tryStart(ctx, trs)
	}
	switch {
	case one.link != nil:
		return one.checkHead()
	case trs.answer != nil:
		return one.server.handOn(one.writer, one.request, trs.answer)
	}
	return trs.refusal(ctx, one.request)
}

// tryStart sends the request once and reports whether it is to be sent again.
func (one *run) tryStart(ctx context.Context, trs *tries) bool {
	cho := one.await(ctx)
	if cho.Endpoint == nil {
		trs.lack = cho.String()
		return false
	}
	res, err := one.open(ctx, cho.Endpoint, Forward{LastEvent: one.LastEvent})
	status := 0
	if res == outcomeAnswered {
		status = one.link.Response.StatusCode
	}
	one.server.logSend(one.request, &cho, res, status, err)
	if res == outcomeAnswered && status < http.StatusInternalServerError {
		return false
	}
	if res == outcomeAnswered {
		trs.answer = one.takeFailure()
	}
	return one.server.sendAgain(ctx, one.request, trs, res)
}

// takeFailure reads an engine's own failure, which is handed on if no other engine does better.
func (one *run) takeFailure() *plainAnswer {
	res := one.link.Response
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPlainBytes))
	one.leave()
	one.link = nil
	if err != nil {
		return nil
	}
	return &plainAnswer{response: res, body: body}
}

// await chooses an engine, waiting for room for a part of the request's target.
func (one *run) await(ctx context.Context) dispatch.Choice {
	rqs := one.request
	until := rqs.begun.Add(time.Duration(waitShare * float64(rqs.route.Target)))
	one.server.waiting.Add(1)
	defer one.server.waiting.Add(-1)
	for {
		now := one.server.Now()
		cho := one.server.choose(now, rqs, one.work, false)
		if cho.Endpoint != nil || cho.Reason != dispatch.ReasonFull || ctx.Err() != nil || !now.Before(until) {
			return cho
		}
		sleep(ctx, roomPoll)
	}
}

// open sends the request to an engine and reads the head of its answer.
func (one *run) open(ctx context.Context, edp *catalog.Endpoint, fwd Forward) (outcome, error) {
	srv, rqs := one.server, one.request
	fwd.Endpoint, fwd.Priority = edp.ID, rqs.rank
	wrk := one.work
	if fwd.Copy != "" {
		wrk.Prefill = 0
	}
	out := srv.outgoing(rqs, fwd)
	if rqs.route.Repeatable() && rqs.sends+1 < rqs.route.Attempts {
		out.HeadTimeout = time.Duration(headShare * float64(rqs.route.Target))
	}
	flt := srv.begin(edp.ID, wrk)
	lnk, err := Open(ctx, edp.Address, out)
	var sendErr *SendError
	if errors.As(err, &sendErr) {
		srv.end(flt)
		srv.noteSendError(ctx, edp.ID, err)
		if !sendErr.Sent {
			return outcomeUnreached, err
		}
		rqs.sends++
		srv.checkCrash(ctx, rqs, edp)
		return outcomeUnknown, err
	}
	rqs.sends++
	ans := srv.Wire.ParseAnswer(lnk.Response)
	srv.noteAnswer(edp.ID, ans, !ans.NotRun && lnk.Response.StatusCode < 500)
	if ans.NotRun {
		srv.end(flt)
		lnk.Close()
		return outcomeNotRun, nil
	}
	if err := checkAnswer(rqs, ans); err != nil {
		srv.end(flt)
		lnk.Close()
		return outcomeUnknown, err
	}
	one.link, one.endpoint, one.flight = lnk, edp, flt
	srv.streams.add(one)
	return outcomeAnswered, nil
}

// checkHead hands on an answer that is not a stream.
func (one *run) checkHead() *refusal {
	res := one.link.Response
	if res.StatusCode == http.StatusOK {
		return nil
	}
	defer one.leave()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxPlainBytes))
	one.link = nil
	if err != nil {
		return failed("the engine's answer broke off: %v", err)
	}
	return one.server.handOn(one.writer, one.request, &plainAnswer{response: res, body: body})
}

// leave ends the connection to the present engine.
func (one *run) leave() {
	if one.endpoint == nil {
		return
	}
	one.server.streams.remove(one)
	one.server.end(one.flight)
	if one.link != nil {
		one.link.Close()
	}
	one.endpoint = nil
}

// relay hands on events until the stream ends; it returns nil if the stream is complete.
func (one *run) relay() error {
	reader := newEventReader(one.link.Response)
	for {
		if one.route.Resumable {
			one.link.SetReadDeadline(one.server.Now().Add(max(silenceLimit, one.silence())))
		}
		events, err := reader.next()
		if len(events) > 0 {
			if err := one.write(events); err != nil {
				return err
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			return one.finish()
		}
		return err
	}
}

// silence is how long the engine may take until its first event.
func (one *run) silence() time.Duration {
	if one.events > 0 {
		return 0
	}
	return one.route.Timeout / 2
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
	one.observe(one.server.Now())
	if _, err := one.writer.Write(events); err != nil {
		return err
	}
	return one.control.Flush()
}

// observe notes the time of new events.
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
	hdr := one.writer.Header()
	for name, values := range one.server.Wire.AnswerHeader(one.link.Response.Header) {
		hdr[name] = values
	}
	one.writer.WriteHeader(one.link.Response.StatusCode)
}

// finish ends a complete stream.
func (one *run) finish() error {
	one.writeHead()
	one.status = one.link.Response.StatusCode
	if !one.firstAt.IsZero() {
		one.server.Metrics.firstEvents.Observe(one.firstAt.Sub(one.begun).Seconds())
		one.server.Metrics.pauses.Observe(one.pause.Seconds())
	}
	one.logger.WithFields(logrus.Fields{
		fieldEndpoint: one.endpoint.ID, "events": one.events, fieldElapsed: one.server.Now().Sub(one.begun),
		"first": one.firstAt.Sub(one.begun), "pause": one.pause, "maxTokens": one.MaxTokens, "hint": one.LengthHint, "prompt": one.PromptTokens,
	}).Info("stream complete")
	return nil
}

// resume goes on with the generation at another engine and reports whether it could.
func (one *run) resume(ctx context.Context) bool {
	if cpy := one.awaitMove(ctx); cpy != nil {
		if one.reopen(ctx, cpy.endpoint, Forward{Copy: cpy.name}) {
			return true
		}
	}
	if one.endpoint == nil || !one.route.Repeatable() || one.sends >= one.route.Attempts || !one.server.spend(one.request) {
		return false
	}
	one.excluded[one.endpoint.ID] = true
	cho := one.server.choose(one.server.Now(), one.request, one.work, true)
	return cho.Endpoint != nil && one.reopen(ctx, cho.Endpoint, Forward{})
}

// reopen sends the request again so that the stream goes on after its last event.
func (one *run) reopen(ctx context.Context, edp *catalog.Endpoint, fwd Forward) bool {
	last := one.endpoint
	one.leave()
	one.mutex.Lock()
	fwd.LastEvent = one.lastEvent
	one.moving, one.copy = nil, nil
	one.mutex.Unlock()
	res, err := one.open(ctx, edp, fwd)
	status := 0
	if one.link != nil && res == outcomeAnswered {
		status = one.link.Response.StatusCode
	}
	one.logger.WithFields(logrus.Fields{
		fieldEndpoint: edp.ID, "from": last.ID, "copy": fwd.Copy, "lastEvent": fwd.LastEvent, fieldOutcome: res.String(),
		"status": status, "error": errorText(err),
	}).Info("stream resumed")
	if res != outcomeAnswered {
		one.endpoint, one.link = nil, nil
		return false
	}
	return status == http.StatusOK
}

// isMoving reports whether the generation is being copied off its engine.
func (one *run) isMoving() bool {
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return one.moving != nil
}

// awaitMove returns the copy that the stream's move left, if there is one.
func (one *run) awaitMove(ctx context.Context) *copyAt {
	one.mutex.Lock()
	moving := one.moving
	one.mutex.Unlock()
	if moving == nil {
		return nil
	}
	tmr := time.NewTimer(moveWait)
	defer tmr.Stop()
	select {
	case <-moving:
	case <-tmr.C:
	case <-ctx.Done():
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	return one.copy
}

func sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}
