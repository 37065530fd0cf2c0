package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/control"
	"papayacroft/exchange"
)

const (
	// probeInterval is the interval at which an engine is probed while the store is unavailable; an engine's notice before
	// it stops is 1.5 s long.
	probeInterval = 250 * time.Millisecond
	// storeSilence is the time without a read of the store, by this daemon or a peer, after which engines are probed.
	storeSilence = 1300 * time.Millisecond
)

// Prober asks engines directly whether they leave while the store is unavailable. Each engine is probed by one daemon,
// which broadcasts the result if the engine leaves.
type Prober struct {
	Name     string
	Control  *control.Control
	Exchange *exchange.Exchange
	Engines  Engines
	Logger   logrus.FieldLogger
	Now      func() time.Time
}

// NewProber returns a prober that needs its exported fields set before Run.
func NewProber() *Prober {
	return &Prober{Now: time.Now}
}

// Run probes engines until the context is cancelled.
func (prb *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		snp := prb.Control.Snapshot()
		if snp.Catalog == nil || prb.Now().Sub(snp.StoreReadAt) < storeSilence {
			continue
		}
		for _, edp := range prb.assignedEngines(snp) {
			go prb.probe(ctx, edp)
		}
	}
}

func (prb *Prober) probe(ctx context.Context, edp catalog.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	rpt, err := prb.Engines.Report(ctx, edp.Address)
	if err != nil || !rpt.Leaves {
		return
	}
	prb.Logger.WithFields(logrus.Fields{fieldEndpoint: edp.ID, "leavesIn": rpt.LeavesIn.String()}).Info("engine reports that it leaves")
	bornAt := map[string]int64{edp.ID: edp.StartedAt}
	prb.Control.Send(ctx, control.Leaving{BornAt: bornAt, Source: "engine"})
	prb.Exchange.ShareLeaving(bornAt)
}

// assignedEngines returns the engines that this daemon probes. Daemons with the same view of engines and members derive
// the same assignment.
func (prb *Prober) assignedEngines(snp *control.Snapshot) []catalog.Endpoint {
	var endpoints []catalog.Endpoint
	for id, edp := range snp.Fleet.Endpoints {
		_, leaving := snp.Fleet.Leaving[id]
		if !leaving && snp.Catalog.Services[edp.Service].Engine != nil && prb.Exchange.Assigned(id) == prb.Name {
			endpoints = append(endpoints, edp)
		}
	}
	return endpoints
}
