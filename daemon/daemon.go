// Package daemon assembles an entry daemon from the other packages and runs it.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayacroft/blackboard"
	"papayacroft/endpoint"
	"papayacroft/entry"
	"papayacroft/intake"
	"papayacroft/metrics"
	"papayacroft/peer"
	"papayacroft/position"
	"papayacroft/provider"
	"papayacroft/routing"
	"papayacroft/settings"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxServerHeaderBytes is the limit of the gate on request headers. Headers that are within this limit but exceed
	// entry.MaxHeaderBytes get a refusal body from the entry server.
	maxServerHeaderBytes = 8 * entry.MaxHeaderBytes
	// heapShare is the Go runtime's soft memory limit as a fraction of the memory limit in the settings.
	heapShare = 0.6
)

// Daemon is one entry daemon.
type Daemon struct {
	Settings *settings.Settings
	Logger   *logrus.Logger
	Version  string

	incarnation string
	loop        *blackboard.Loop
	tracker     *routing.Tracker
	entry       *entry.Server
	peers       *peer.Server
	peerClient  *peer.Client
	metrics     *metrics.Metrics
	log         *provider.HTTPLog
	gossip      *gossip
	// gate limits the connections and the memory of clients, plan the connections of each address.
	gate *intake.Gate
	plan intake.Plan
	// tasks run in the background until the daemon stops.
	tasks []func(ctx context.Context)
}

// NewDaemon returns a daemon with a logger and a new incarnation; set the other exported fields before Run.
func NewDaemon() *Daemon {
	return &Daemon{Logger: logrus.StandardLogger(), incarnation: uuid.NewString()}
}

// Run serves until ctx ends, then drains. The end of kill stops the daemon at once, without or during a drain.
func (dmn *Daemon) Run(ctx, kill context.Context) error {
	key, err := dmn.Settings.PositionKey()
	if err != nil {
		return trace.Wrap(err)
	}
	dmn.buildGate()
	dmn.build(key)
	listeners, err := dmn.listen()
	if err != nil {
		return trace.Wrap(err)
	}
	background, stop := context.WithCancel(kill)
	defer stop()
	grp, background := errgroup.WithContext(background)
	grp.Go(func() error { dmn.loop.Run(background); return nil })
	grp.Go(func() error { dmn.followLog(background); return nil })
	grp.Go(func() error { dmn.followVMs(background); return nil })
	grp.Go(func() error { return dmn.peers.Serve(background, dmn.gate.ListenPeers(listeners.peer, dmn.plan.Peers)) })
	for _, tsk := range dmn.tasks {
		grp.Go(func() error { tsk(background); return nil })
	}
	callers := dmn.serve(grp, dmn.gate.Listen(listeners.caller, dmn.plan.Callers), dmn.entry.Handler())
	admin := dmn.serve(grp, dmn.gate.Listen(listeners.admin, dmn.plan.Service), dmn.adminHandler())
	dmn.Logger.WithFields(logrus.Fields{
		"name": dmn.Settings.Name, "callerAddress": dmn.Settings.CallerAddress, "incarnation": dmn.incarnation,
	}).Info("entry daemon started")
	select {
	case <-ctx.Done():
		dmn.drain(kill, callers)
	case <-background.Done():
	}
	stop()
	_ = callers.Close()
	_ = admin.Close()
	return trace.Wrap(grp.Wait())
}

func (dmn *Daemon) build(key []byte) {
	dmn.log = provider.NewHTTPLog(dmn.Settings.Platform.LogURL)
	dmn.loop = blackboard.NewLoop()
	dmn.tracker = routing.NewTracker()
	dmn.peers = peer.NewServer()
	dmn.peers.Logger = dmn.Logger
	dmn.peers.BeginMessage = dmn.gate.BeginMessage
	dmn.peerClient = peer.NewClient()
	endpoints := endpoint.NewClient()
	endpoints.OnLoad = func(name string, lod endpoint.Load) { dmn.tracker.Report(time.Now(), name, lod) }
	dmn.entry = entry.NewServer()
	dmn.entry.FailureDomain = dmn.Settings.FailureDomain
	dmn.entry.Board = dmn.loop
	dmn.entry.Tracker = dmn.tracker
	dmn.entry.Endpoints = endpoints
	dmn.entry.Signer = position.NewSigner(key)
	dmn.entry.Logger = dmn.Logger
	dmn.buildMetrics()
	dmn.entry.Metrics = dmn.metrics
	dmn.buildMembership()
	dmn.buildClaims()
	dmn.buildLimits()
	dmn.buildPlacement()
	dmn.buildAdmission()
	dmn.buildQuarantine()
	dmn.loop.Controllers = append(dmn.loop.Controllers, &deadlineCheck{notice: time.Duration(dmn.Settings.DrainNotice), logger: dmn.Logger})
	dmn.tasks = append(dmn.tasks, dmn.endStreams)
}

type listeners struct {
	caller, admin, peer net.Listener
}

func (dmn *Daemon) listen() (*listeners, error) {
	var lis listeners
	for _, one := range []struct {
		address string
		target  *net.Listener
	}{
		{dmn.Settings.CallerAddress, &lis.caller},
		{dmn.Settings.AdminAddress, &lis.admin},
		{dmn.Settings.PeerAddress, &lis.peer},
	} {
		var err error
		if *one.target, err = net.Listen("tcp", one.address); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return &lis, nil
}

func (dmn *Daemon) serve(grp *errgroup.Group, lis net.Listener, hdl http.Handler) *http.Server {
	srv := dmn.gate.HTTPServer(hdl)
	grp.Go(func() error {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err)
		}
		return nil
	})
	return srv
}
