package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// maxPlainBytes bounds an answer that is held until it is complete.
	maxPlainBytes = 4 << 20
	// fullRetry is when a caller may come back that found all endpoints full or none that takes work.
	fullRetry = 400 * time.Millisecond
	// maxUnreached bounds the endpoints tried for one request that took no connection.
	maxUnreached = 4
	// silentShare is the part of the remaining time after which a repeatable request is tried elsewhere.
	silentShare = 0.4
)

// plainAnswer is a whole answer of an endpoint.
type plainAnswer struct {
	response *http.Response
	body     []byte
}

// outcome is what became of one send.
type outcome int

const (
	// outcomeAnswered is a whole answer.
	outcomeAnswered outcome = iota
	// outcomeNotRun means that the endpoint did not run the request.
	outcomeNotRun
	// outcomeUnreached means that the request was not sent.
	outcomeUnreached
	// outcomeUnknown means that the endpoint may have run the request.
	outcomeUnknown
)

// tries is what became of the sends of one request.
type tries struct {
	// answer is the last whole answer of an endpoint.
	answer *plainAnswer
	// mayHaveRun is true if an endpoint got the request and gave no answer.
	mayHaveRun bool
	unreached  int
	// lack says why no endpoint was chosen.
	lack string
	// retryAfter is when the caller may come back if the request has not run.
	retryAfter time.Duration
}

// serveCall sends a request to endpoints until one answers, as often as its route allows.
func (srv *Server) serveCall(ctx context.Context, wri http.ResponseWriter, rqs *request) *refusal {
	trs := &tries{retryAfter: fullRetry}
	for again := true; again; {
		again = srv.tryCall(ctx, rqs, trs)
	}
	if trs.answer != nil {
		return srv.handOn(wri, rqs, trs.answer)
	}
	return trs.refusal(ctx, rqs)
}

// refusal ends a request that got no answer.
func (trs *tries) refusal(ctx context.Context, rqs *request) *refusal {
	switch {
	case rqs.http.Context().Err() != nil:
		return failed("the caller left")
	case trs.mayHaveRun && ctx.Err() != nil:
		return expired("no answer before the deadline")
	case trs.mayHaveRun:
		return failed("the endpoint's answer was lost")
	case trs.lack != "":
		return notRun(trs.retryAfter, "no endpoint takes work: %s", trs.lack)
	}
	return notRun(trs.retryAfter, "endpoints refused the request or took no connection")
}

// tryCall sends the request once and reports whether it is to be sent again.
func (srv *Server) tryCall(ctx context.Context, rqs *request, trs *tries) bool {
	cho := srv.choose(srv.Now(), rqs, dispatch.Work{}, true)
	if cho.Endpoint == nil {
		trs.lack = cho.String()
		return false
	}
	ans, res, err := srv.sendCall(ctx, rqs, cho.Endpoint)
	srv.logSend(rqs, &cho, res, ans.status(), err)
	if res == outcomeAnswered {
		trs.answer = ans
		if ans.response.StatusCode < http.StatusInternalServerError {
			return false
		}
	}
	return srv.sendAgain(ctx, rqs, trs, res)
}

// sendAgain notes the outcome of a send and reports whether the request may be sent to another endpoint.
func (srv *Server) sendAgain(ctx context.Context, rqs *request, trs *tries, res outcome) bool {
	switch res {
	case outcomeUnreached:
		trs.unreached++
		return ctx.Err() == nil && trs.unreached < maxUnreached
	case outcomeUnknown:
		trs.mayHaveRun = true
	}
	if res != outcomeNotRun && !rqs.route.Repeatable() {
		return false
	}
	return ctx.Err() == nil && rqs.sends < srv.attempts(rqs, res) && srv.spend(rqs)
}

func (srv *Server) logSend(rqs *request, cho *dispatch.Choice, res outcome, status int, err error) {
	rqs.excluded[cho.Endpoint.ID] = true
	srv.Metrics.sends.WithLabelValues(res.String()).Inc()
	rqs.logger.WithFields(logrus.Fields{
		fieldEndpoint: cho.Endpoint.ID, "choice": cho.String(), fieldOutcome: res.String(), "status": status,
		fieldElapsed: srv.Now().Sub(rqs.begun), "error": errorText(err),
	}).Info("request sent")
}

// handOn writes an endpoint's answer to the caller.
func (srv *Server) handOn(wri http.ResponseWriter, rqs *request, ans *plainAnswer) *refusal {
	ans.write(wri, srv.Wire)
	rqs.status = ans.response.StatusCode
	srv.Metrics.calls.Observe(srv.Now().Sub(rqs.begun).Seconds())
	return nil
}

// attempts is the number of endpoints to which the request may be sent.
// An endpoint that refuses has not run the request, so a route for one endpoint allows another one then.
func (srv *Server) attempts(rqs *request, res outcome) int {
	if res == outcomeNotRun {
		return max(2, rqs.route.Attempts)
	}
	return rqs.route.Attempts
}

// sendCall sends the request to an endpoint and reads the whole answer.
func (srv *Server) sendCall(ctx context.Context, rqs *request, edp *catalog.Endpoint) (*plainAnswer, outcome, error) {
	if rqs.route.Repeatable() && rqs.sends+1 < rqs.route.Attempts {
		left := rqs.deadline.Sub(srv.Now())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, time.Duration(silentShare*float64(left)), errSilent)
		defer cancel()
	}
	flt := srv.begin(edp.ID, dispatch.Work{})
	defer srv.end(flt)
	lnk, err := Open(ctx, edp.Address, srv.outgoing(rqs, Forward{Endpoint: edp.ID, Priority: -1}))
	srv.noteSendError(ctx, edp.ID, err)
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.Sent {
		return nil, outcomeUnreached, err
	}
	rqs.sends++
	if err != nil {
		srv.checkCrash(ctx, rqs, edp)
		return nil, outcomeUnknown, err
	}
	defer lnk.Close()
	ans := srv.Wire.ParseAnswer(lnk.Response)
	if ans.NotRun {
		srv.noteAnswer(edp.ID, ans, false)
		return nil, outcomeNotRun, nil
	}
	body, err := io.ReadAll(io.LimitReader(lnk.Response.Body, maxPlainBytes))
	if err != nil {
		srv.checkCrash(ctx, rqs, edp)
	} else {
		err = checkAnswer(rqs, ans)
	}
	srv.noteAnswer(edp.ID, ans, err == nil && lnk.Response.StatusCode < 500)
	if err != nil {
		return nil, outcomeUnknown, err
	}
	return &plainAnswer{response: lnk.Response, body: body}, outcomeAnswered, nil
}

var (
	errUnsigned   = errors.New("the answer is not signed")
	errOtherCall  = errors.New("the answer belongs to another request")
	errNotOwnBody = errors.New("the answer's body is encoded")
)

// checkAnswer reports why an answer can't be handed on.
func checkAnswer(rqs *request, ans Answer) error {
	switch {
	case !ans.Signed:
		return errUnsigned
	case ans.CallID != "" && ans.CallID != rqs.ID:
		return errOtherCall
	case ans.Encoded:
		return errNotOwnBody
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
	hdr.Set("Content-Length", strconv.Itoa(len(ans.body)))
	wri.WriteHeader(ans.response.StatusCode)
	_, _ = wri.Write(ans.body)
}

// String names the outcome for the log.
func (out outcome) String() string {
	return [...]string{"answered", "notRun", "unreached", "unknown"}[out]
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
