package gateway

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayacroft/control"
	"papayacroft/exchange"
	"papayacroft/intake"
	"papayacroft/peer"
	"papayacroft/retry"
	"papayacroft/settings"
)

const (
	// unreadyTime is how long after the stop signal the load balancer may still send new connections: it checks readiness
	// each second and takes a daemon out after two failed checks.
	unreadyTime = 2300 * time.Millisecond
	// exitMargin is the time reserved for the process to exit before the platform kills it at the end of the notice.
	exitMargin = 300 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
	// endTime is the time before that in which the unanswered requests get an answer.
	endTime = 200 * time.Millisecond
	// heapShare is the Go runtime's soft memory limit, above which garbage is collected more often, as a fraction of the
	// memory limit in the settings.
	heapShare = 0.6
)

// Daemon is one gateway process.
type Daemon struct {
	Settings *settings.Gateway
	Logger   *logrus.Logger
	Version  string
	Server   *Server
	Control  *control.Control
	Exchange *exchange.Exchange
	Prober   *Prober
	// Tasks are functions to run in the background; their context is cancelled when the daemon stops.
	Tasks []func(ctx context.Context)
	// Kill, if set, ends a drain when it is cancelled.
	Kill context.Context

	// gate limits the connections and the memory of clients.
	gate *intake.Gate
}

// NewDaemon returns a daemon that needs its exported fields set before Run.
func NewDaemon() *Daemon {
	return &Daemon{Server: NewServer(), Control: control.New(), Exchange: exchange.New(), Prober: NewProber()}
}

// Run serves until the context is cancelled, then drains: it finishes the requests in flight within the drain notice.
func (dmn *Daemon) Run(ctx context.Context) error {
	set := dmn.Settings
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(set.MemoryMB) * (1 << 20)))
	}
	plan := dmn.buildGate()
	dmn.build()
	background, stop := context.WithCancel(context.Background())
	defer stop()
	grp, background := errgroup.WithContext(background)
	grp.Go(func() error { dmn.Control.Run(background); return nil })
	grp.Go(func() error { dmn.Exchange.Run(background); return nil })
	grp.Go(func() error { dmn.Prober.Run(background); return nil })
	grp.Go(func() error { dmn.Server.RunQueue(background); return nil })
	grp.Go(func() error { dmn.Exchange.RunBacklog(background); return nil })
	grp.Go(func() error { dmn.Exchange.RunNotices(background); return nil })
	grp.Go(func() error { dmn.Exchange.RunFetch(background); return nil })
	for _, tsk := range dmn.Tasks {
		grp.Go(func() error { tsk(background); return nil })
	}
	peers := peer.NewServer()
	peers.Logger = dmn.Logger
	dmn.Exchange.Register(peers)
	lis, err := net.Listen("tcp", set.PeerAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	peers.BeginMessage = dmn.gate.BeginMessage
	grp.Go(func() error { return peers.Serve(background, dmn.gate.ListenPeers(lis, plan.Peers)) })
	callers, err := dmn.serve(grp, set.CallerAddress, plan.Callers, dmn.Server)
	if err != nil {
		return trace.Wrap(err)
	}
	ready, err := dmn.serve(grp, set.ReadyAddress, plan.Service, http.HandlerFunc(dmn.answerReady))
	if err != nil {
		return trace.Wrap(err)
	}
	var metrics *http.Server
	if set.MetricsAddress != "" {
		dmn.Server.Metrics.registerGauges(dmn)
		mux := http.NewServeMux()
		mux.Handle("GET /metrics", dmn.Server.Metrics.Handler())
		if metrics, err = dmn.serve(grp, set.MetricsAddress, plan.Service, mux); err != nil {
			return trace.Wrap(err)
		}
	}
	dmn.Logger.WithFields(logrus.Fields{"name": set.Name, "callerAddress": set.CallerAddress, "version": dmn.Version}).Info("gateway started")
	select {
	case <-ctx.Done():
		dmn.drain(callers)
	case <-background.Done():
	}
	stop()
	_ = callers.Close()
	_ = ready.Close()
	if metrics != nil {
		_ = metrics.Close()
	}
	dmn.Logger.Info("gateway stopped")
	return trace.Wrap(grp.Wait())
}

func (dmn *Daemon) build() {
	set := dmn.Settings
	srv := dmn.Server
	srv.Snapshots, srv.Logger = dmn.Control, dmn.Logger
	srv.Balancer.FailureDomain = set.FailureDomain
	srv.Balancer.Prefixes.Enabled = srv.Balancer.Prefixes.Enabled || set.Prefix.Enabled
	srv.Budget.SetLimits(set.Retries.Ratio, set.Retries.Extra, time.Duration(set.Retries.Window))
	dmn.Exchange.Name, dmn.Exchange.Requests, dmn.Exchange.Control, dmn.Exchange.Logger = set.Name, srv, dmn.Control, dmn.Logger
	dmn.Control.Logger = dmn.Logger
	srv.DrainNotice = time.Duration(set.DrainNotice) - exitMargin
	dmn.Exchange.FailureDomain = set.FailureDomain
	srv.HasNeighbour = dmn.Exchange.HasNeighbour
	srv.OwnEngines = dmn.Exchange.OwnEngines
	srv.OnCrash, srv.OnSurvivals = dmn.Exchange.ShareCrash, dmn.Exchange.ShareSurvivals
	srv.OnWork = dmn.Exchange.WorkChanged
	srv.OnLeaving = func(id string, bornAt int64) { go dmn.markLeaving(id, bornAt) }
	srv.AskPermit, srv.OnLimit = dmn.Exchange.AskPermit, dmn.Exchange.ShareLimit
	srv.IsSteady = dmn.Exchange.IsSteady
	srv.Balancer.Cold.Overage, srv.Balancer.Cold.Slack = set.Cold.Bound()
	dmn.buildQueue()
	dmn.Prober.Name, dmn.Prober.Control, dmn.Prober.Exchange, dmn.Prober.Engines, dmn.Prober.Logger = set.Name, dmn.Control, dmn.Exchange, srv.Engines, dmn.Logger
	dmn.Exchange.Address = set.PeerAddress
	dmn.Control.OnLeaving = srv.EndpointLeaves
	dmn.Control.OnTick = func(snp *control.Snapshot) {
		dmn.Exchange.ShareEngines(snp)
		dmn.applyLimits(snp)
		srv.updateBlame()
		srv.mutex.Lock()
		defer srv.mutex.Unlock()
		srv.Budget.Daemons = len(dmn.Exchange.Members())
		srv.Balancer.Forget(srv.Now(), snp.Fleet)
		srv.Balancer.Speeds.Forget(srv.Now(), snp.Fleet)
		srv.Balancer.Prefixes.Forget(srv.Now(), snp.Fleet)
		srv.Throttle.Forget(srv.Now())
		srv.Permits.Forget(srv.Now())
		srv.Balancer.Cold.Forget(&snp.Fleet)
		srv.forgetWaiting()
	}
}

func (dmn *Daemon) serve(grp *errgroup.Group, address string, most int, hdl http.Handler) (*http.Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	lis = dmn.gate.Listen(lis, most)
	srv := dmn.gate.HTTPServer(hdl)
	srv.ErrorLog = log.New(dmn.Logger.WriterLevel(logrus.DebugLevel), "", 0)
	grp.Go(func() error {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	return srv, nil
}

// Reload applies the settings that may change while the daemon runs: the retry budget, the memory for requests, the pauses
// that callers may make, and the log level.
func (dmn *Daemon) Reload(set *settings.Gateway) {
	dmn.Server.mutex.Lock()
	dmn.Server.Budget.SetLimits(set.Retries.Ratio, set.Retries.Extra, time.Duration(set.Retries.Window))
	gate := dmn.gate
	dmn.Server.mutex.Unlock()
	if gate != nil {
		gate.SetMemory(planOf(set).Memory)
		gate.SetLimits(stallsOf(set))
	}
	if level, err := logrus.ParseLevel(set.Log.Level); err == nil {
		dmn.Logger.SetLevel(level)
	}
	old := dmn.Settings
	restart := set.CallerAddress != old.CallerAddress || set.ReadyAddress != old.ReadyAddress ||
		set.PeerAddress != old.PeerAddress || set.StoreAddress != old.StoreAddress ||
		set.Prefix != old.Prefix || set.Contracts != old.Contracts || set.Queue.Enabled && !old.Queue.Enabled || set.Cold != old.Cold ||
		set.Intake.Connections != old.Intake.Connections || set.Intake.PeerConnections != old.Intake.PeerConnections
	dmn.Logger.WithFields(logrus.Fields{"retries": set.Retries, "level": set.Log.Level, "needsRestart": restart}).Info("settings reloaded")
}

// answerReady is the readiness check of the load balancer: status 200 if the daemon accepts requests, otherwise 503.
func (dmn *Daemon) answerReady(wri http.ResponseWriter, _ *http.Request) {
	// With routes but without endpoints, the daemon would refuse each request.
	if snp := dmn.Control.Snapshot(); dmn.Server.Draining() || snp.Catalog == nil || snp.Fleet.Evacuations.Unread || len(snp.Fleet.Endpoints) == 0 {
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wri.WriteHeader(http.StatusOK)
}

// awaitUnready waits until the load balancer has taken the daemon out.
func (dmn *Daemon) awaitUnready() {
	kill := dmn.Kill
	if kill == nil {
		kill = context.Background()
	}
	retry.Sleep(kill, unreadyTime)
}

// drain accepts requests until the load balancer has taken the daemon out, and then finishes those in flight.
func (dmn *Daemon) drain(callers *http.Server) {
	began := time.Now()
	dmn.Server.startDrain(began)
	dmn.Exchange.RequestRound()
	dmn.Server.StopQueue()
	dmn.Logger.WithField("inFlight", dmn.Server.InFlight()).Info("draining")
	dmn.awaitUnready()
	callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(dmn.Settings.DrainNotice)-exitMargin-endTime))
	defer cancel()
	if dmn.Kill != nil {
		defer context.AfterFunc(dmn.Kill, cancel)()
	}
	for dmn.Server.InFlight() > 0 && ctx.Err() == nil {
		retry.Sleep(ctx, drainPoll)
	}
	if inFlight := dmn.Server.InFlight(); inFlight > 0 {
		dmn.Logger.WithField("inFlight", inFlight).Warn("requests still in flight at the end of the drain notice")
	}
	dmn.Server.End()
	ctx, stop := context.WithTimeout(context.Background(), endTime)
	defer stop()
	if err := callers.Shutdown(ctx); err != nil {
		dmn.Logger.WithError(err).WithField("inFlight", dmn.Server.InFlight()).Warn("requests could not be ended")
		dmn.Server.logUnfinished(time.Now())
		return
	}
	dmn.Logger.WithField("elapsed", time.Since(began)).Info("drained")
}
