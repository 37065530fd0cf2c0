package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// noCatalogRetry is when a caller may ask a daemon again that knows no configuration yet.
	noCatalogRetry = 500 * time.Millisecond
	// drainingRetry is when a caller may come back, to another daemon, from one that is stopping.
	drainingRetry = 20 * time.Millisecond
	// lastRequestTime is how long before the end of the process the last request is taken: a short stream on a
	// busy engine takes 2.5 s.
	lastRequestTime = 3 * time.Second
	// usualFirstEvent is the usual time to the first event of a generation.
	usualFirstEvent = 500 * time.Millisecond
	// endpointsWait is how long a request waits for the first endpoint after a start: the store answers in 4 ms.
	endpointsWait = 40 * time.Millisecond
	endpointsPoll = 4 * time.Millisecond
	// defaultDeadline bounds requests of routes without a timeout.
	defaultDeadline = time.Minute
	// defaultMaxBodyBytes applies if the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout bounds the time in which a caller sends its body.
	bodyTimeout = 10 * time.Second
	// answerMargin is how long before its deadline a request that has no answer is ended.
	answerMargin = 20 * time.Millisecond
)

// Board gives the newest snapshot.
type Board interface {
	Snapshot() *Snapshot
}

// Server handles callers' requests.
type Server struct {
	Board   Board
	Wire    Wire
	Engines Engines
	Desk    *dispatch.Desk
	Budget  *dispatch.Budget
	// Suspects are requests that may crash endpoints.
	Suspects *dispatch.Suspects
	Metrics  *Metrics
	Logger   logrus.FieldLogger
	Now      func() time.Time
	// OnCrash, if set, learns of a request that crashed an endpoint.
	OnCrash func(found crash)
	// DrainNotice is the time from the signal to stop to the end of the process.
	DrainNotice time.Duration
	// HasNeighbour, if set, reports whether another daemon of the failure domain takes callers.
	HasNeighbour func() bool
	// OnWork, if set, learns that a generation was sent to an engine or has ended there; it must not block.
	OnWork func(endpoint string)

	// mutex guards the desk, the budget and the suspects.
	mutex    sync.Mutex
	inFlight atomic.Int64
	// waiting is the number of streams that wait for room.
	waiting atomic.Int64
	sharing atomic.Pointer[sharing]
	// drainingSince is the time of the signal to stop in Unix nanoseconds, 0 before.
	drainingSince atomic.Int64
	streams       *streams
}

// NewServer returns a server that uses the present time.
func NewServer() *Server {
	return &Server{Now: time.Now, Desk: dispatch.NewDesk(), Budget: dispatch.NewBudget(), Suspects: dispatch.NewSuspects(), Metrics: NewMetrics(), streams: newStreams()}
}

// InFlight returns the number of requests being served.
func (srv *Server) InFlight() int64 {
	return srv.inFlight.Load()
}

// request is one caller's request on its way through the server.
type request struct {
	Call
	http         *http.Request
	route        *catalog.Route
	service      string
	organisation string
	rank         int
	body         []byte
	begun        time.Time
	deadline     time.Time
	logger       logrus.FieldLogger
	excluded     map[string]bool
	sends        int
	// status is the status of the answer that was handed on, 0 if it broke off.
	status int
}

// kind is the kind of the request's route, for metrics.
func (rqs *request) kind() string {
	if rqs.route == nil {
		return "none"
	}
	return string(rqs.route.Kind)
}

// ServeHTTP answers one request.
func (srv *Server) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	srv.inFlight.Add(1)
	defer srv.inFlight.Add(-1)
	now := srv.Now()
	rqs := &request{Call: srv.Wire.ParseCall(req.Header), http: req, begun: now, excluded: map[string]bool{}}
	rqs.logger = srv.Logger.WithField("request", rqs.ID)
	ref := srv.admit(now, wri, rqs)
	if ref == nil {
		ctx, cancel := context.WithDeadlineCause(req.Context(), rqs.deadline, errDeadline)
		defer cancel()
		if rqs.route.Kind == catalog.KindStream {
			ref = srv.serveStream(ctx, wri, rqs)
		} else {
			ref = srv.serveCall(ctx, wri, rqs)
		}
	}
	if ref == nil {
		srv.Metrics.requests.WithLabelValues(rqs.kind(), strconv.Itoa(rqs.status)).Inc()
		return
	}
	srv.Metrics.requests.WithLabelValues(rqs.kind(), strconv.Itoa(ref.status)).Inc()
	rqs.logger.WithFields(logrus.Fields{
		"status": ref.status, "reason": ref.reason, "retryAfter": ref.retryAfter, "sends": rqs.sends, fieldElapsed: srv.Now().Sub(now),
	}).Info("request refused")
	ref.write(wri)
}

var (
	errDeadline = errors.New("the request's deadline passed")
	errSilent   = errors.New("the endpoint was silent")
)

// admit finds the route and the organisation and reads the body.
func (srv *Server) admit(now time.Time, wri http.ResponseWriter, rqs *request) *refusal {
	snp := srv.Board.Snapshot()
	cat := snp.Catalog
	switch {
	case cat == nil:
		return notRun(noCatalogRetry, "no configuration is known yet")
	case len(snp.Fleet.Endpoints) == 0:
		// Endpoints are read at the same time as the configuration; the answer is a moment away.
		srv.awaitEndpoints(rqs.http.Context())
	}
	rou := cat.Match(rqs.http.Host, rqs.http.URL.EscapedPath())
	if rou == nil {
		return invalid(http.StatusNotFound, "no route matches host %q and the path, version %d", rqs.http.Host, cat.Version)
	}
	rqs.route, rqs.rank = rou, rou.Priority
	if !rou.Public && cat.RequiresKeys() {
		org := cat.Holder(rqs.Key)
		if org == nil {
			return invalid(http.StatusUnauthorized, "the key is not known, version %d", cat.Version)
		}
		rqs.organisation = org.Name
		if org.HasPriority {
			rqs.rank = org.Priority
		}
	}
	if ref := srv.refuseDraining(now, rou); ref != nil {
		return ref
	}
	rqs.service = rou.Pick(rand.Float64())
	wait := rou.Timeout
	if wait <= 0 {
		wait = defaultDeadline
	}
	if rqs.Deadline > 0 {
		wait = min(wait, rqs.Deadline)
	}
	rqs.deadline = now.Add(wait - answerMargin)
	rqs.logger = rqs.logger.WithFields(logrus.Fields{"route": rou.Name, "version": cat.Version, "service": rqs.service})
	srv.mutex.Lock()
	srv.Budget.Request(now, rqs.service)
	srv.mutex.Unlock()
	if ref := srv.readBody(now, wri, rqs, cat.Limits.MaxBodyBytes); ref != nil {
		return ref
	}
	if srv.condemned(now, rqs) {
		return notRun(condemnedRetry, "the request crashed several endpoints")
	}
	return nil
}

// awaitEndpoints waits until some endpoint is known, for a short time.
func (srv *Server) awaitEndpoints(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endpointsWait)
	defer cancel()
	for len(srv.Board.Snapshot().Fleet.Endpoints) == 0 && ctx.Err() == nil {
		sleep(ctx, endpointsPoll)
	}
}

// Draining reports whether the daemon is about to stop.
func (srv *Server) Draining() bool {
	return srv.drainingSince.Load() != 0
}

// refuseDraining turns away generations that would hardly end before the daemon stops.
// A caller that comes back reaches another daemon of the failure domain, or one elsewhere once the balancer has noticed.
func (srv *Server) refuseDraining(now time.Time, rou *catalog.Route) *refusal {
	since := srv.drainingSince.Load()
	if since == 0 {
		return nil
	}
	elapsed := now.Sub(time.Unix(0, since))
	if left := srv.DrainNotice - elapsed; left < min(rou.Timeout, lastRequestTime) {
		return notRun(drainingRetry, "this daemon is about to end")
	}
	if rou.Kind != catalog.KindStream || rou.Resumable {
		return nil
	}
	wait := drainingRetry
	if srv.HasNeighbour == nil || !srv.HasNeighbour() {
		wait = max(wait, unreadyTime-elapsed)
	}
	if wait+usualFirstEvent > rou.Target {
		return nil
	}
	return notRun(wait, "this daemon is stopping")
}

func (srv *Server) readBody(now time.Time, wri http.ResponseWriter, rqs *request, limit int64) *refusal {
	if rqs.http.Body == nil || rqs.http.Body == http.NoBody {
		return nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	ctl := http.NewResponseController(wri)
	_ = ctl.SetReadDeadline(now.Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(wri, rqs.http.Body, limit))
	_ = ctl.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return invalid(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", limit)
	case err != nil:
		return invalid(http.StatusBadRequest, "the body could not be read: %v", err)
	}
	rqs.body = body
	return nil
}

// choose picks an endpoint for the request.
func (srv *Server) choose(now time.Time, rqs *request, wrk dispatch.Work, force bool) dispatch.Choice {
	return srv.decide(now, &dispatch.Request{
		Service: rqs.service, Work: wrk, Target: rqs.route.Target, Excluded: rqs.excluded, Force: force, Brief: rqs.route.Resumable,
	})
}

func (srv *Server) decide(now time.Time, req *dispatch.Request) dispatch.Choice {
	snp := srv.Board.Snapshot()
	if shr := srv.sharing.Load(); shr != nil {
		req.Preferred = shr.own
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Desk.Choose(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), snp.Catalog, snp.Fleet, req)
}

// outgoing builds the request to an endpoint.
func (srv *Server) outgoing(rqs *request, fwd Forward) *Outgoing {
	fwd.Organisation = rqs.organisation
	fwd.Left = rqs.deadline.Sub(srv.Now())
	return &Outgoing{
		Method: rqs.http.Method, URL: rqs.http.URL, Host: rqs.http.Host,
		Header: srv.Wire.RequestHeader(rqs.http.Header, fwd), Body: rqs.body,
	}
}

// spend takes a repeat from the budget.
func (srv *Server) spend(rqs *request) bool {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Budget.Spend(srv.Now(), rqs.service)
}

func (srv *Server) begin(id string, wrk dispatch.Work) *dispatch.Flight {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	flt := srv.Desk.Begin(id, wrk)
	if wrk.Tokens > 0 && srv.OnWork != nil {
		srv.OnWork(id)
	}
	return flt
}

func (srv *Server) started(flt *dispatch.Flight) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Desk.Started(flt)
}

func (srv *Server) end(flt *dispatch.Flight) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Desk.End(flt)
	if flt.Work.Tokens > 0 && srv.OnWork != nil {
		srv.OnWork(flt.Endpoint)
	}
}

// noteSendError counts a send without an answer against the endpoint, unless the caller left or no time was left
// to connect: a daemon that was frozen finds many such requests at once.
func (srv *Server) noteSendError(ctx context.Context, id string, err error) {
	var sendErr *SendError
	if !errors.As(err, &sendErr) {
		return
	}
	if errors.Is(context.Cause(ctx), context.Canceled) || !sendErr.Sent && ctx.Err() != nil {
		return
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	srv.Desk.Failed(srv.Now(), id, !sendErr.Sent)
}

func (srv *Server) noteAnswer(id string, ans Answer, ok bool) {
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	now := srv.Now()
	if ans.Load != nil {
		srv.Desk.Reported(now, id, ans.Load.Running, ans.Load.Waiting)
	}
	if ok {
		srv.Desk.Succeeded(now, id)
	} else {
		srv.Desk.Failed(now, id, false)
	}
}
