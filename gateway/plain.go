package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/admission"
	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// fullRetry is the Retry-After of requests for which all endpoints are full or none accepts work.
	fullRetry = 400 * time.Millisecond
	// maxUnreached limits the endpoints that one request is tried at without getting a connection, once unreachedTime has
	// passed: a connection to a crashed endpoint is refused at once, one to an endpoint behind a broken link times out.
	maxUnreached  = 4
	unreachedTime = dialTimeout
	// silentShare is the time for which a repeatable request waits for an endpoint's answer before it is retried at
	// another endpoint, as a fraction of the time left until its deadline.
	silentShare = 0.4
)

// plainAnswer is an endpoint's complete, buffered answer.
type plainAnswer struct {
	response *http.Response
	body     *buffer
}

// outcome is the result of sending a request to one endpoint.
type outcome int

const (
	// outcomeAnswered means that the endpoint answered and did not refuse the request.
	outcomeAnswered outcome = iota
	// outcomeNotRun means that the endpoint did not run the request.
	outcomeNotRun
	// outcomeUnreached means that no connection was made, so the request was not sent.
	outcomeUnreached
	// outcomeUnknown means that the endpoint may have run the request but gave no valid answer.
	outcomeUnknown
)

// tries accumulates the outcomes of all sends of one request.
type tries struct {
	// answer is the last complete answer of an endpoint.
	answer *plainAnswer
	// mayHaveRun is true if an endpoint received the request and did not state that it has not run it.
	mayHaveRun bool
	// unreached is the number of endpoints to which no connection was made.
	unreached int
	// condemned is why the request must not be sent any more; nil if it may.
	condemned *refusal
	// noEndpoint is the reason why no endpoint could be chosen; empty if one was chosen each time.
	noEndpoint string
	// retryAfter is the Retry-After for the caller if the request has not run.
	retryAfter time.Duration
}

// serveCall sends a request to one endpoint after another until one answers, within the attempts of its route.
func (srv *Server) serveCall(ctx context.Context, wri http.ResponseWriter, rqs *request) *refusal {
	trs := &tries{retryAfter: fullRetry}
	for again := true; again; {
		again = srv.tryCall(ctx, rqs, trs)
	}
	if trs.answer != nil {
		return srv.relayAnswer(wri, rqs, trs.answer)
	}
	return trs.refusal(ctx, srv.Now(), rqs)
}

// noteChoice records why no endpoint could be chosen, and when one may be: at the next permit for a cold one, or at the end of a
// pause.
func (trs *tries) noteChoice(cho *dispatch.Choice) {
	trs.noEndpoint = cho.String()
	if cho.Reason == dispatch.ReasonLimited && cho.NextPermit > 0 {
		trs.retryAfter = cho.NextPermit
	}
	if cho.Reason == dispatch.ReasonPaused {
		trs.retryAfter = cho.PausedFor
	}
}

// keep replaces the last complete answer.
func (trs *tries) keep(ans *plainAnswer) {
	if trs.answer != nil {
		trs.answer.body.release()
	}
	trs.answer = ans
}

// refusal returns the gateway's response to a request that no endpoint answered.
func (trs *tries) refusal(ctx context.Context, now time.Time, rqs *request) *refusal {
	left := rqs.deadline.Sub(now)
	switch {
	case rqs.http.Context().Err() != nil:
		return failed("the caller left")
	case errors.Is(context.Cause(ctx), errCondemned):
		return failed("%v", errCondemned)
	case trs.mayHaveRun && ctx.Err() != nil:
		return expired("no answer before the deadline")
	case trs.mayHaveRun:
		return failed("the endpoint's answer was lost")
	case trs.condemned != nil:
		return trs.condemned
	case trs.noEndpoint != "":
		return notRun(admission.BoundRetry(cmp.Or(rqs.retryAfter, trs.retryAfter), left), "no endpoint takes work: %s", trs.noEndpoint)
	}
	return notRun(admission.BoundRetry(trs.retryAfter, left), "endpoints refused the request or took no connection")
}

// tryCall sends the request to one endpoint and reports whether it should be sent to another.
func (srv *Server) tryCall(ctx context.Context, rqs *request, trs *tries) bool {
	cho := srv.awaitEndpoint(ctx, rqs, dispatch.Work{}, true)
	defer srv.releaseGranted(rqs)
	if cho.Endpoint == nil {
		trs.noteChoice(&cho)
		return false
	}
	if trs.condemned = srv.refuseCondemned(srv.Now(), rqs); trs.condemned != nil {
		return false
	}
	ans, res, err := srv.sendCall(ctx, rqs, cho.Endpoint)
	srv.logSend(rqs, &cho, res, ans.status(), err)
	if res == outcomeAnswered {
		trs.keep(ans)
		if ans.response.StatusCode < http.StatusInternalServerError {
			return false
		}
	}
	return srv.shouldRetry(ctx, rqs, trs, res)
}

// shouldRetry records the outcome of a send and reports whether the request may be sent to another endpoint.
func (srv *Server) shouldRetry(ctx context.Context, rqs *request, trs *tries, res outcome) bool {
	if res == outcomeUnreached || res == outcomeNotRun {
		srv.refund(rqs)
	}
	switch res {
	case outcomeUnreached:
		trs.unreached++
		return ctx.Err() == nil && (trs.unreached < maxUnreached || srv.Now().Sub(rqs.begun) < unreachedTime)
	case outcomeNotRun:
	default:
		trs.mayHaveRun = true
	}
	if res != outcomeNotRun && !rqs.route.Repeatable() {
		return false
	}
	return ctx.Err() == nil && !rqs.crashed && rqs.sends < srv.attempts(rqs, res) && srv.spend(rqs)
}

func (srv *Server) logSend(rqs *request, cho *dispatch.Choice, res outcome, status int, err error) {
	rqs.excluded[cho.Endpoint.ID] = true
	srv.Metrics.sends.WithLabelValues(res.String()).Inc()
	fields := logrus.Fields{
		fieldEndpoint: cho.Endpoint.ID, "choice": cho.String(), fieldOutcome: res.String(), "status": status,
		fieldElapsed: srv.Now().Sub(rqs.begun), "error": errorText(err),
	}
	if cho.Held > 0 {
		fields["held"] = cho.Held
	}
	rqs.logger.WithFields(fields).WithFields(forecastFields(cho)).Info("request sent")
}

// relayAnswer writes an endpoint's complete answer to the caller.
func (srv *Server) relayAnswer(wri http.ResponseWriter, rqs *request, ans *plainAnswer) *refusal {
	defer ans.body.release()
	ans.write(wri, srv.Wire)
	rqs.status = ans.response.StatusCode
	srv.Metrics.calls.Observe(srv.Now().Sub(rqs.begun).Seconds())
	return nil
}

// attempts returns the number of endpoints to which the request may be sent.
// An endpoint that refused the request has not run it, so even a request that may run only once gets a second endpoint.
func (srv *Server) attempts(rqs *request, res outcome) int {
	if res == outcomeNotRun {
		return max(2, rqs.route.Attempts)
	}
	return rqs.route.Attempts
}

// sendCall sends the request to an endpoint and reads the complete answer.
func (srv *Server) sendCall(ctx context.Context, rqs *request, edp *catalog.Endpoint) (*plainAnswer, outcome, error) {
	if rqs.route.Repeatable() && rqs.sends+1 < rqs.route.Attempts {
		left := rqs.deadline.Sub(srv.Now())
		attempt, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		ctx = attempt
		giveUp := srv.giveUp(rqs, edp.ID, dispatch.Work{})
		defer time.AfterFunc(time.Duration(silentShare*float64(left)), func() {
			if giveUp() {
				cancel(errSilent)
			}
		}).Stop()
	}
	flt := srv.beginGranted(rqs, edp.ID, dispatch.Work{})
	defer srv.end(flt)
	lnk, err := Open(ctx, edp.Address, srv.outgoing(rqs, edp, Forward{Endpoint: edp.ID, Priority: -1}))
	srv.noteSendError(ctx, edp.ID, err)
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		srv.noteRefused(edp, err)
		return nil, outcomeUnreached, err
	}
	rqs.sends++
	if err != nil {
		if !srv.noteLimit(err) {
			rqs.crashed = srv.awaitCrash(rqs, srv.checkCrash(ctx, rqs, edp, interruption{}))
		}
		return nil, outcomeUnknown, err
	}
	defer lnk.Close()
	ans := srv.Wire.ParseAnswer(lnk.Response)
	srv.noteLeaving(edp, ans)
	srv.notePause(rqs, edp, ans)
	if rqs.hasNotRun(ans) {
		srv.noteAnswer(edp.ID, ans, false)
		return nil, outcomeNotRun, nil
	}
	exposure, began := srv.beginExposure(rqs, edp), srv.Now()
	body, err := srv.buffers.readAnswer(lnk.Response)
	if err == nil {
		srv.endExposure(exposure, true)
		err = checkAnswer(rqs, ans)
	} else if srv.breakExposure(exposure); !srv.noteLimit(err) {
		rqs.crashed = srv.awaitCrash(rqs, srv.checkCrash(ctx, rqs, edp, interruption{beganAt: began}))
	}
	srv.noteAnswer(edp.ID, ans, err == nil && lnk.Response.StatusCode < 500)
	if err != nil {
		if body != nil {
			body.release()
		}
		return nil, outcomeUnknown, err
	}
	return &plainAnswer{response: lnk.Response, body: body}, outcomeAnswered, nil
}

var (
	errUnsigned    = errors.New("the answer is not signed")
	errOtherCall   = errors.New("the answer belongs to another request")
	errEncodedBody = errors.New("the answer's body is encoded")
	errUnstated    = errors.New("the answer has the status of a refusal, but does not state that the request has not run")
)

// hasNotRun reports whether an answer states that this request has not run. A refusal of another request says nothing of it:
// an endpoint may write an earlier one once more.
func (rqs *request) hasNotRun(ans Answer) bool {
	return ans.NotRun && !rqs.isForeign(ans)
}

// isForeign reports whether an answer names another request.
func (rqs *request) isForeign(ans Answer) bool {
	return ans.CallID != "" && ans.CallID != rqs.ID
}

// checkAnswer returns an error if an answer to a request that may have run must not be relayed to the caller.
func checkAnswer(rqs *request, ans Answer) error {
	switch {
	case rqs.isForeign(ans):
		return errOtherCall
	case !ans.Signed:
		return errUnsigned
	case ans.Refuses:
		return errUnstated
	case ans.Encoded:
		return errEncodedBody
	}
	return nil
}

func (ans *plainAnswer) status() int {
	if ans == nil {
		return 0
	}
	return ans.response.StatusCode
}

func (ans *plainAnswer) write(wri http.ResponseWriter, wire Wire) {
	hdr := wri.Header()
	for name, values := range wire.AnswerHeader(ans.response.Header) {
		hdr[name] = values
	}
	hdr.Set("Content-Length", strconv.Itoa(len(ans.body.data)))
	wri.WriteHeader(ans.response.StatusCode)
	_, _ = wri.Write(ans.body.data)
}

// String returns the outcome's name in logs and metrics.
func (out outcome) String() string {
	return [...]string{"answered", "notRun", "unreached", "unknown"}[out]
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
