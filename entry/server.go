// Package entry serves callers: it authenticates them, routes their requests to endpoints and relays the answers.
package entry

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/claim"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/limit"
	"papayacroft/metrics"
	"papayacroft/position"
	"papayacroft/retry"
	"papayacroft/routing"
)

const (
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes = 1 << 20
	// MaxHeaderBytes bounds a caller's request headers.
	MaxHeaderBytes = 16 << 10
	// DrainGrace is how long a draining daemon still accepts requests, so that the load balancer can notice the
	// drain.
	DrainGrace = 2 * time.Second
)

// Board provides the newest snapshot of the control state.
type Board interface {
	Snapshot() *blackboard.Snapshot
}

// Server handles callers' requests.
type Server struct {
	FailureDomain string
	Board         Board
	Tracker       *routing.Tracker
	Endpoints     *endpoint.Client
	Signer        *position.Signer
	Claims        *claim.Acquirer
	// Limits is nil if no limits are enforced.
	Limits *limit.Limiter
	// KeyLifetime is the age beyond which an idempotency key is refused.
	KeyLifetime time.Duration
	Retries     *retry.Budgets
	// Quarantine may be nil if no generations are served.
	Quarantine Quarantine
	Logger     logrus.FieldLogger
	Metrics    *metrics.Metrics
	Now        func() time.Time
	// OnModelRequested, if set, is called for each request for a generation.
	OnModelRequested func(idx *inventory.Index, team inventory.TeamRef, model string)

	engines   *waitQueue
	services  *waitQueue
	sessions  *sessions
	lifecycle *lifecycle
	// calls ends later than lifecycle; it covers the calls that may not be repeated, whose outcome only this daemon
	// can learn.
	calls *lifecycle
}

// NewServer returns a server that uses the system clock.
func NewServer() *Server {
	return &Server{Now: time.Now, KeyLifetime: claim.KeyLifetime, Metrics: metrics.NewMetrics(), sessions: newSessions(), lifecycle: newLifecycle(), calls: newLifecycle()}
}

// Handler returns the routes for callers.
func (srv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", srv.handle(srv.complete))
	mux.HandleFunc("GET /v1/completions", srv.handle(srv.resume))
	mux.HandleFunc("GET /v1/completions/{"+positionValue+"}", srv.handle(srv.resumeWhole))
	mux.HandleFunc("/v1/services/{pool}/{path...}", srv.handle(srv.callService))
	return srv.track(mux)
}

// call is the state of one caller's request.
type call struct {
	id       string
	team     inventory.TeamRef
	snapshot *blackboard.Snapshot
	logger   logrus.FieldLogger
	permit   limit.Permit
	// class is known once the request has been parsed.
	class string
	// claimed is true once the request holds its own claim, so that no earlier attempt with its key can have run.
	claimed bool
}

type handlerFunc func(wri http.ResponseWriter, req *http.Request, cal *call) *Refusal

// handle authenticates the caller and writes the refusal that a handler returns.
func (srv *Server) handle(next handlerFunc) http.HandlerFunc {
	return func(wri http.ResponseWriter, req *http.Request) {
		srv.Metrics.InFlight.Inc()
		defer srv.Metrics.InFlight.Dec()
		cal, ref := srv.newCall(req)
		if ref == nil {
			defer cal.permit.Release()
			ref = next(wri, req, cal)
		}
		ref = adaptOutcome(req, cal, ref)
		srv.countRequest(cal, ref)
		if ref == nil {
			return
		}
		if ref.Code != routing.CodeLimitExceeded {
			cal.logger.WithFields(logrus.Fields{"code": ref.Code, "outcome": ref.Outcome, "reason": ref.Message}).Info("request refused")
		}
		ref.write(wri)
	}
}

// adaptOutcome turns notRun into unknown where an earlier request may have run the same work: for resumes, and for
// idempotency keys that this request has not claimed. It redirects the resume of a non-streamed answer if the daemon
// is draining.
func adaptOutcome(req *http.Request, cal *call, ref *Refusal) *Refusal {
	switch {
	case ref == nil:
		return nil
	case req.PathValue(positionValue) != "":
		return ref.forResume().handedOver(req.PathValue(positionValue))
	case req.Method == http.MethodGet && req.Header.Get(resumeHeader) != "":
		return ref.forResume()
	case !cal.claimed && req.Header.Get(idempotencyHeader) != "":
		return ref.withEarlierAttempts()
	default:
		return ref
	}
}

// countRequest counts a finished request by its outcome.
func (srv *Server) countRequest(cal *call, ref *Refusal) {
	if ref == nil {
		srv.Metrics.Requests.WithLabelValues(cal.class, "answered", "").Inc()
		return
	}
	srv.Metrics.Requests.WithLabelValues(cal.class, string(ref.Outcome), string(ref.Code)).Inc()
}

func (srv *Server) newCall(req *http.Request) (*call, *Refusal) {
	cal := &call{id: uuid.NewString(), snapshot: srv.Board.Snapshot()}
	cal.logger = srv.Logger.WithField("request", cal.id)
	now := srv.Now()
	if since := cal.snapshot.DrainingSince; !since.IsZero() && now.Sub(since) > DrainGrace {
		return cal, notRun(routing.CodeDraining, "this entry daemon is shutting down; send the request again")
	}
	if cal.snapshot.Index == nil {
		return cal, notRun(routing.CodeNoConfiguration, "this entry daemon has no configuration yet")
	}
	credential, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || credential == "" {
		return cal, notRun(routing.CodeUnauthenticated, "a bearer credential is required")
	}
	cal.team, ok = cal.snapshot.Index.Authenticate(credential)
	if !ok {
		return cal, notRun(routing.CodeUnauthenticated, "the credential is not known")
	}
	cal.logger = cal.logger.WithField("team", cal.team.String())
	return cal, srv.checkLimits(now, cal)
}

// checkLimits acquires a permit under the limits of the team and its organisation.
// These refusals are only counted, since a log line for each would make a flood of requests expensive.
func (srv *Server) checkLimits(now time.Time, cal *call) *Refusal {
	if srv.Limits == nil {
		return nil
	}
	permit, denial := srv.Limits.Acquire(now, cal.snapshot.Index, cal.team)
	if denial != nil {
		ref := notRun(routing.CodeLimitExceeded, "%s", denial.Reason)
		ref.RetryAfterSeconds = denial.RetryAfterSeconds
		return ref
	}
	cal.permit = permit
	return nil
}

// view returns the state that routing decisions are based on.
func (srv *Server) view() routing.View {
	vew := routing.View{Index: srv.Board.Snapshot().Index, Statuses: srv.Tracker, FailureDomain: srv.FailureDomain}
	if srv.Quarantine != nil {
		vew.Closed = srv.Quarantine.Closed()
	}
	return vew
}

// logDecision logs a routing decision in one line.
func (cal *call) logDecision(req routing.Request, dec routing.Decision, waited time.Duration) {
	choice := "none"
	if dec.Endpoint != nil {
		choice = dec.Endpoint.Name
	}
	cal.logger.WithFields(logrus.Fields{
		"choice": choice, "code": dec.Code, "reason": dec.Reason, "rejected": dec.Rejections,
		"class": req.Class, "model": req.Model, "pool": req.Pool,
		"waited": waited, "reserve": req.Reserve, "quantile": req.Level, "margin": req.Margin,
	}).Info("routing decision")
}

func target(edp *inventory.Endpoint) endpoint.Target {
	return endpoint.Target{Name: edp.Name, Address: edp.Address}
}

// bodyRefusal returns the refusal of a request body that is too large, could not be read or is not valid JSON.
func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(routing.CodeTooLarge, "request body is larger than %d bytes", tooLarge.Limit)
	}
	return notRun(routing.CodeBadRequest, "request body is not valid: %v", err)
}
