package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/dispatch"
	"papayacroft/exchange"
	"papayacroft/intake"
	"papayacroft/retry"
	"papayacroft/scheduler"
)

const (
	// closedRetry is the Retry-After of a route that the configuration has closed; only a new version opens it.
	closedRetry = 5 * time.Second
	// noCatalogRetry is the Retry-After of a daemon that has no configuration yet.
	noCatalogRetry = 500 * time.Millisecond
	// endpointsWait is how long a request waits, just after the daemon's start, until the first endpoints are read
	// from the store: the store answers in 4 ms.
	endpointsWait = 40 * time.Millisecond
	endpointsPoll = 4 * time.Millisecond
	// resumeWait is how long a request waits, after a pause of the process, until the store has been read.
	resumeWait = 200 * time.Millisecond
	// defaultDeadline is the timeout of requests whose route has none.
	defaultDeadline = time.Minute
	// defaultMaxBodyBytes limits request bodies if the configuration has no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyTimeout limits the time for reading a request body from a caller.
	bodyTimeout = 10 * time.Second
	// answerMargin is how long before the caller's deadline the gateway ends a request that is still unanswered.
	answerMargin = 20 * time.Millisecond
)

// SnapshotSource provides the newest snapshot of configuration, endpoints and peers.
type SnapshotSource interface {
	Snapshot() *control.Snapshot
}

// Server is the HTTP handler of callers' requests.
type Server struct {
	Snapshots SnapshotSource
	Wire      Wire
	Engines   Engines
	Balancer  *dispatch.Balancer
	Budget    *dispatch.Budget
	// Suspects counts the endpoint crashes that each request caused.
	Suspects *dispatch.Suspects
	// Throttle knows the limits that endpoints name; the Balancer uses it too.
	Throttle *dispatch.Throttle
	// Permits hands out permits for endpoints with a limit.
	Permits *dispatch.Permits
	// AskPermit asks the daemon that hands out the permits for an endpoint; without it, this daemon does.
	AskPermit func(ctx context.Context, req *exchange.PermitRequest) (*exchange.PermitReply, error)
	// IsSteady, if set, reports whether the daemons that answer have been the same for a time.
	IsSteady func(dur time.Duration) bool
	// OnLimit, if set, is called when an endpoint has named another limit or none.
	OnLimit func(lim *exchange.EndpointLimit)
	// OnLeaving, if set, is called when an endpoint has said in an answer that it leaves; it must not block.
	OnLeaving func(id string, bornAt int64)
	// Blame finds the parts of prompts that crash endpoints.
	Blame   *dispatch.Blame
	Metrics *Metrics
	Logger  logrus.FieldLogger
	Now     func() time.Time
	// OnCrash, if set, is called when a request has crashed an endpoint.
	OnCrash func(found exchange.Crash)
	// OnSurvivals, if set, is called with runs that show that blamed parts of prompts are sound, which other daemons may not know.
	OnSurvivals func(runs exchange.Survivals)
	// DrainNotice is the time from the stop signal to the end of the process.
	DrainNotice time.Duration
	// HasNeighbour, if set, reports whether another daemon of the same failure domain accepts requests.
	HasNeighbour func() bool
	// OwnEngines, if set, returns the engines that this daemon uses; nil means all.
	OwnEngines func() map[string]bool
	// OnWork, if set, is called when a generation was sent to an engine or has ended there; it must not block.
	OnWork func(endpoint string)
	// Scheduler, if set, decides which requests wait for capacity and which are refused; see queue.go. The mutex guards it.
	Scheduler *scheduler.Scheduler
	// Sharing, if set, returns how the engines are divided between the daemons.
	Sharing func() Sharing
	// OnWaiting, if set, is called when the requests that wait have changed; it must not block.
	OnWaiting func()

	// mutex guards Balancer, Budget, Suspects, Blame, Throttle and Permits.
	mutex    sync.Mutex
	inFlight atomic.Int64
	// waiting is the number of streams that wait for free capacity at an engine.
	waiting atomic.Int64
	// queued is the number of requests in the Scheduler's queue, and wakes makes RunQueue look at them.
	queued atomic.Int64
	wakes  chan struct{}
	// passDue is when RunQueue looks at them without an event.
	passDue time.Time
	// drainBegan is the time of the stop signal; nil until the signal arrives. It keeps its monotonic reading, so that steps of
	// the clock don't change the time left.
	drainBegan atomic.Pointer[time.Time]
	// ending is cancelled by End.
	ending  context.Context
	endAll  context.CancelFunc
	streams *streams
	buffers bufferPool
	// beginning holds the streams that have been sent to an engine and have had no event; the mutex guards it.
	beginning map[*run]bool
	// sharing is true while a call of OnSurvivals is due.
	sharing atomic.Bool
}

// NewServer returns a server that uses the system clock.
func NewServer() *Server {
	bal := dispatch.NewBalancer()
	ending, endAll := context.WithCancel(context.Background())
	return &Server{ending: ending, endAll: endAll, Now: time.Now, Balancer: bal, Throttle: bal.Throttle, Budget: dispatch.NewBudget(), Suspects: dispatch.NewSuspects(), Blame: dispatch.NewBlame(), Permits: dispatch.NewPermits(), Metrics: NewMetrics(), streams: newStreams(), beginning: map[*run]bool{}, wakes: make(chan struct{}, 1)}
}

// InFlight returns the number of requests in flight.
func (srv *Server) InFlight() int64 {
	return srv.inFlight.Load()
}

// request is the state of one caller's request while it is served.
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
	// permitAt is when the request got its permit for a cold endpoint; the zero time if the endpoint was warm.
	permitAt time.Time
	// despitePause is true if the last endpoint was chosen though it has asked for a pause.
	despitePause bool
	// crashed is true if the request has crashed an endpoint and must not be sent to another one.
	crashed bool
	// trial is true if the request runs to show whether a part of its prompt crashes endpoints.
	trial bool
	// prepaid is true if a retry was taken from the budget before the silent endpoint was given up.
	prepaid atomic.Bool
	// answering is true once the head of a stream was written to the caller.
	answering atomic.Bool
	// granted is the turn that a request got in the queue until it is sent, runs the time for which it is expected to
	// run, and retryAfter the Retry-After of its refusal; 0 without one.
	granted    *scheduler.Outcome
	runs       time.Duration
	retryAfter time.Duration
	// charged is the ticket for which the organisation was charged; nil if the charge was taken back.
	charged *scheduler.Ticket
	// status is the HTTP status of the answer that was relayed to the caller; 0 if the answer is incomplete.
	status int
}

// longest returns the longest time that the request may take, by the timeout of its route and the caller's deadline.
func (rqs *request) longest() time.Duration {
	wait := rqs.route.Timeout
	if wait <= 0 {
		wait = defaultDeadline
	}
	if rqs.Deadline > 0 {
		wait = min(wait, rqs.Deadline)
	}
	return wait
}

// kind returns the kind of the request's route as a metric label.
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
		ctx, end := context.WithCancelCause(ctx)
		defer end(nil)
		defer context.AfterFunc(srv.ending, func() {
			if !rqs.answering.Load() {
				end(errEnding)
			}
		})()
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
	errDeadline  = errors.New("the request's deadline passed")
	errEnding    = errors.New("the daemon ended")
	errSilent    = errors.New("the endpoint did not answer before the retry time-out")
	errCondemned = errors.New("other requests with the same part of the prompt crashed endpoints meanwhile")
)

// admit matches the route, authenticates the caller, sets the deadline and reads the body.
func (srv *Server) admit(now time.Time, wri http.ResponseWriter, rqs *request) *refusal {
	snp := srv.current(rqs.http.Context(), now)
	cat := snp.Catalog
	switch {
	case cat == nil:
		return notRun(noCatalogRetry, "no configuration is known yet")
	case snp.Fleet.Evacuations.Unread:
		return notRun(noCatalogRetry, "the evacuated failure domains are not known yet")
	case len(snp.Fleet.Endpoints) == 0:
		// After a start, the configuration and the endpoints are read concurrently, so endpoints should follow shortly.
		srv.awaitEndpoints(rqs.http.Context())
	}
	// With an idle time-out of 0, each connection ends with its first answer.
	if cat.Limits.IdleTimeout == 0 {
		wri.Header().Set("Connection", "close")
	}
	rou := cat.Match(rqs.http.Host, rqs.http.URL.EscapedPath())
	if rou == nil {
		return invalid(http.StatusNotFound, "no route matches host %q and the path, version %d", rqs.http.Host, cat.Version)
	}
	rqs.route, rqs.rank = rou, rou.Priority
	if !rou.Public && !cat.Keyless {
		org := cat.Holder(rqs.Key)
		if org == nil {
			return invalid(http.StatusUnauthorized, "the key is not known, version %d", cat.Version)
		}
		rqs.organisation = org.Name
		if org.HasPriority {
			rqs.rank = org.Priority
		}
	}
	if rou.Closed != "" {
		return notRun(closedRetry, "route %q accepts no request, version %d: %s", rou.Name, cat.Version, rou.Closed)
	}
	rqs.service = rou.Pick(rand.Float64())
	rqs.deadline = now.Add(rqs.longest() - answerMargin)
	if elapsed, draining := srv.drainElapsed(now); draining {
		rqs.logger = rqs.logger.WithField(fieldDrainElapsed, elapsed)
	}
	if ref := srv.refuseDraining(now, rqs); ref != nil {
		return ref
	}
	rqs.logger = rqs.logger.WithFields(logrus.Fields{"route": rou.Name, "version": cat.Version, "service": rqs.service})
	srv.mutex.Lock()
	srv.Budget.Request(now, rqs.service)
	srv.mutex.Unlock()
	if ref := srv.readBody(now, wri, rqs, cat.Limits.MaxBodyBytes); ref != nil {
		return ref
	}
	// The stop signal may have come while the body was read, and the time that was left may have passed.
	if ref := srv.refuseDraining(srv.Now(), rqs); ref != nil {
		return ref
	}
	return srv.refuseCondemned(now, rqs)
}

// current returns the newest snapshot. After a pause of the process it waits until the store has been read, for
// resumeWait at most: a key may have been withdrawn meanwhile.
func (srv *Server) current(ctx context.Context, now time.Time) *control.Snapshot {
	snp := srv.Snapshots.Snapshot()
	if snp.Catalog == nil || !snp.IsStale(now) {
		return snp
	}
	ctx, cancel := context.WithTimeout(ctx, resumeWait)
	defer cancel()
	for snp.IsStale(srv.Now()) && ctx.Err() == nil {
		retry.Sleep(ctx, endpointsPoll)
		snp = srv.Snapshots.Snapshot()
	}
	return snp
}

// awaitEndpoints waits until at least one endpoint is known, for endpointsWait at most.
func (srv *Server) awaitEndpoints(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endpointsWait)
	defer cancel()
	for len(srv.Snapshots.Snapshot().Fleet.Endpoints) == 0 && ctx.Err() == nil {
		retry.Sleep(ctx, endpointsPoll)
	}
}

// Draining reports whether the daemon has received the signal to stop.
func (srv *Server) Draining() bool {
	return !srv.drainingSince().IsZero()
}

func (srv *Server) readBody(now time.Time, wri http.ResponseWriter, rqs *request, limit int64) *refusal {
	if rqs.http.Body == nil || rqs.http.Body == http.NoBody {
		return nil
	}
	if limit == catalog.Unstated {
		limit = defaultMaxBodyBytes
	}
	ctl := http.NewResponseController(wri)
	_ = ctl.SetReadDeadline(now.Add(bodyTimeout))
	body, err := intake.ReadBody(rqs.http, limit)
	_ = ctl.SetReadDeadline(time.Time{})
	if err != nil {
		return refuseBody(wri, err, limit)
	}
	rqs.body = body
	return nil
}

// choose selects an endpoint for the request.
func (srv *Server) choose(now time.Time, rqs *request, wrk dispatch.Work, force bool) dispatch.Choice {
	cho := srv.decide(now, &dispatch.Request{
		Service: rqs.service, Work: wrk, Target: rqs.route.Target, Excluded: rqs.excluded, Force: force, Brief: rqs.route.Resumable,
		Parts:  promptParts(rqs.Parts),
		Safest: srv.wantsSafest(rqs),
	})
	rqs.despitePause = cho.DespitePause
	return cho
}

func (srv *Server) decide(now time.Time, req *dispatch.Request) dispatch.Choice {
	snp := srv.Snapshots.Snapshot()
	if srv.OwnEngines != nil {
		req.Preferred = srv.OwnEngines()
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Balancer.Choose(now, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), snp.Catalog, snp.Fleet, req)
}

// outgoing builds the request that is sent to an endpoint.
func (srv *Server) outgoing(rqs *request, edp *catalog.Endpoint, fwd Forward) *Outgoing {
	fwd.Organisation = rqs.organisation
	fwd.TimeLeft = rqs.deadline.Sub(srv.Now())
	return &Outgoing{
		Method: rqs.http.Method, URL: rqs.http.URL, Host: rqs.http.Host,
		Header: srv.Wire.RequestHeader(rqs.http.Header, fwd), Body: rqs.body,
		Check: func() error { return srv.checkSend(rqs, edp, &fwd) },
	}
}

// spend takes one retry from the retry budget and reports whether one was left.
func (srv *Server) spend(rqs *request) bool {
	if rqs.prepaid.CompareAndSwap(true, false) {
		return true
	}
	srv.mutex.Lock()
	defer srv.mutex.Unlock()
	return srv.Budget.Spend(srv.Now(), rqs.service)
}
