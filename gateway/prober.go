package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
	"papayacroft/dispatch"
)

const (
	// probeInterval is the time between two looks at an engine while the store is away; a notice is 1.5 s long.
	probeInterval = 250 * time.Millisecond
	// storeSilence is how long no daemon has read the store when engines are asked themselves whether they leave.
	storeSilence = 1300 * time.Millisecond
)

// Prober asks engines whether they leave while the store can't tell. Each engine is asked by one daemon,
// which tells the others.
type Prober struct {
	Name     string
	Control  *Control
	Exchange *Exchange
	Engines  Engines
	Logger   logrus.FieldLogger
	Now      func() time.Time
}

// NewProber returns a prober that needs its exported fields set before Run.
func NewProber() *Prober {
	return &Prober{Now: time.Now}
}

// Run probes until the context ends.
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
		for _, edp := range probed(snp, prb.Name, prb.Exchange.Members()) {
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
	bornAt := map[string]int64{edp.ID: edp.BornAt}
	prb.Control.Send(ctx, Leaving{BornAt: bornAt, Source: "engine"})
	prb.Exchange.ShareLeaving(bornAt)
}

// probed returns the engines that one of the members asks; members that know the same make the same division.
func probed(snp *Snapshot, name string, members []string) []catalog.Endpoint {
	var endpoints []catalog.Endpoint
	for id, edp := range snp.Fleet.Endpoints {
		_, leaving := snp.Fleet.Leaving[id]
		if !leaving && snp.Catalog.Services[edp.Service].Engine != nil && dispatch.Users(id, members, 1)[0] == name {
			endpoints = append(endpoints, edp)
		}
	}
	return endpoints
}
