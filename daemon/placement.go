package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/endpoint"
	"papayacroft/inventory"
	"papayacroft/lease"
	"papayacroft/placement"
	"papayacroft/provider"
	"papayacroft/retry"
	"papayacroft/routing"
)

const (
	placementInterval = time.Second
	pollTimeout       = time.Second
	// reportAge is the age of the last load report, and the time since the last poll, after which the lease holder polls
	// an engine; engines in use rarely reach it, because their responses and streams carry load reports.
	reportAge = 5 * time.Second
	// lostAfter is the age of the last load report beyond which an engine whose calls fail is treated as lost.
	lostAfter = 10 * time.Second
	// pollsPerStep limits the polls of one step, which runs each second. A poll takes about 500 B, so that three stay
	// within the 2 KB/s that a daemon may use for control traffic.
	pollsPerStep = 3
)

// placer sends placement orders to the engines of the pools whose leases this daemon holds.
type placer struct {
	daemon    *Daemon
	keeper    *lease.Keeper
	endpoints *endpoint.Client
	store     placement.Store
	asked     *placement.RequestCounter
	// polls is the number of polls that this step may still send, for all pools together.
	polls int
	pools map[string]*poolPlacer
}

// poolPlacer is the state that a lease holder keeps for one pool; it is dropped with the lease.
type poolPlacer struct {
	executor *placement.Executor
	demand   *placement.Demand
	ordered  map[string]placement.Move
	sentAt   map[string]time.Time
	polledAt map[string]time.Time
	reports  map[string]report
}

// report holds the times of an engine's last load report by the engine's clock (at) and by this daemon's clock
// (receivedAt). Its age is computed from receivedAt, because engines' clocks may differ.
type report struct {
	at         time.Time
	receivedAt time.Time
}

// buildPlacement sets up the placement of models on engines.
func (dmn *Daemon) buildPlacement() {
	lsr := newLeaser(dmn)
	plc := &placer{
		daemon: dmn, keeper: lsr.keeper,
		endpoints: dmn.entry.Endpoints, pools: map[string]*poolPlacer{}, asked: placement.NewRequestCounter(),
	}
	dmn.entry.OnModelRequested = plc.asked.Count
	if url := dmn.Settings.Platform.WeightsURL; url != "" {
		plc.store = provider.NewHTTPWeightStore(url)
	}
	dmn.tasks = append(dmn.tasks, lsr.follow, lsr.watch, lsr.maintain, plc.run)
}

// run executes one plan per pool at each interval.
func (plc *placer) run(ctx context.Context) {
	for ctx.Err() == nil {
		snp := plc.daemon.loop.Snapshot()
		plc.polls = pollsPerStep
		for _, name := range enginePools(snp) {
			plc.step(ctx, snp, name, snp.Index.Configuration.Pools[name])
		}
		retry.Sleep(ctx, placementInterval)
	}
}

// enginePools returns the pools of engines in random order, so that none of them always gets the polls of a step first.
func enginePools(snp *blackboard.Snapshot) []string {
	if snp.Index == nil {
		return nil
	}
	var names []string
	for name, pol := range snp.Index.Configuration.Pools {
		if pol.Kind == inventory.PoolKindEngine {
			names = append(names, name)
		}
	}
	return names
}

// step makes a plan for one pool and sends its orders, if this daemon holds the pool's lease.
func (plc *placer) step(ctx context.Context, snp *blackboard.Snapshot, name string, pol inventory.Pool) {
	if !plc.keeper.Holds(name) {
		delete(plc.pools, name)
		return
	}
	pps, ok := plc.pools[name]
	if !ok {
		token, _ := plc.keeper.MayOrder(name, true)
		plc.daemon.Logger.WithFields(logrus.Fields{
			"pool": name, "token": token, "holder": plc.daemon.Settings.Name,
		}).Info("placement lease held")
		pps = plc.newPool(name, pol)
		plc.pools[name] = pps
	}
	endpoints := snp.Index.PoolEndpoints(name)
	plc.poll(ctx, pps, endpoints)
	now := time.Now()
	vew := plc.view(now, snp, pps, pol, endpoints)
	if !pps.readyToPlan(vew) {
		return
	}
	for _, mov := range placement.Plan(now, vew) {
		pos := slices.IndexFunc(endpoints, func(edp inventory.Endpoint) bool { return edp.Name == mov.Engine })
		bytes := snp.Index.Configuration.Models[mov.To.Model].WeightBytes
		sent, err := pps.executor.Execute(ctx, now, mov, endpoints[pos].Address, bytes)
		if sent {
			pps.ordered[mov.Engine], pps.sentAt[mov.Engine] = mov, now
		}
		if !sent || err != nil {
			return
		}
	}
}

// readyToPlan reports whether each engine that isn't lost has sent a load report or was polled for one.
// Before that, a model would seem to lack engines only because its engines have not reported yet.
func (pps *poolPlacer) readyToPlan(vew placement.View) bool {
	return !slices.ContainsFunc(vew.Engines, func(eng placement.Engine) bool {
		return !eng.Reported && !eng.Lost && pps.polledAt[eng.Name].IsZero()
	})
}

func (plc *placer) newPool(name string, pol inventory.Pool) *poolPlacer {
	return &poolPlacer{
		executor: &placement.Executor{
			Pool: name, ChecksFence: pol.ChecksFence, Fence: plc.keeper,
			Orders: plc.endpoints, Store: plc.store, Logger: plc.daemon.Logger,
		},
		demand: placement.NewDemand(), ordered: map[string]placement.Move{},
		sentAt: map[string]time.Time{}, polledAt: map[string]time.Time{}, reports: map[string]report{},
	}
}

// poll requests load reports from engines whose last report is older than reportAge, those that were not polled for
// longest first, until the polls of the step are used up.
func (plc *placer) poll(ctx context.Context, pps *poolPlacer, endpoints []inventory.Endpoint) {
	if plc.polls == 0 {
		return
	}
	now := time.Now()
	var old []inventory.Endpoint
	for _, edp := range endpoints {
		if now.Sub(pps.polledAt[edp.Name]) > reportAge && now.Sub(pps.reportedAt(now, edp.Name, plc.daemon.tracker.Status(edp.Name))) > reportAge {
			old = append(old, edp)
		}
	}
	slices.SortFunc(old, func(one, two inventory.Endpoint) int {
		return pps.polledAt[one.Name].Compare(pps.polledAt[two.Name])
	})
	for _, edp := range old[:min(len(old), plc.polls)] {
		plc.polls--
		pps.polledAt[edp.Name] = time.Now()
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		if _, err := plc.endpoints.Load(pollCtx, endpoint.Target{Name: edp.Name, Address: edp.Address}); err != nil {
			plc.daemon.tracker.Failed(time.Now(), edp.Name)
		}
		cancel()
	}
}

// view collects the input of a plan from the configuration, the load reports and the orders sent.
func (plc *placer) view(now time.Time, snp *blackboard.Snapshot, pps *poolPlacer, pol inventory.Pool, endpoints []inventory.Endpoint) placement.View {
	var vew placement.View
	raw := map[string]float64{}
	for _, edp := range endpoints {
		sta := plc.daemon.tracker.Status(edp.Name)
		eng := placement.Engine{
			Name: edp.Name, FailureDomain: edp.FailureDomain, Models: sta.Load.Models, Versions: sta.Load.Versions,
			Role: sta.Load.Role, Reported: !sta.Load.At.IsZero(),
			Lost:    lost(now, edp, sta, pps.reportedAt(now, edp.Name, sta)),
			Ordered: pps.ordered[edp.Name].To, OrderedAt: pps.sentAt[edp.Name],
		}
		if len(eng.Models) > 0 && !eng.Lost {
			raw[eng.Models[0]] += float64(sta.Load.Running + sta.Load.Waiting)
		}
		vew.Engines = append(vew.Engines, eng)
	}
	for _, name := range pol.Models {
		raw[name] = max(raw[name], float64(plc.asked.Take(name)))
	}
	pps.demand.Observe(now, raw)
	for _, name := range pol.Models {
		mdl := snp.Index.Configuration.Models[name]
		vew.Models = append(vew.Models, placement.Model{
			Name: name, Adapter: mdl.Adapter, Version: mdl.Version, MinEngines: mdl.MinEngines, Demand: pps.demand.Value(name),
		})
	}
	return vew
}

// reportedAt returns the time at which this daemon first saw the engine's last report.
func (pps *poolPlacer) reportedAt(now time.Time, name string, sta routing.EndpointStatus) time.Time {
	if sta.Load.At.IsZero() {
		return time.Time{}
	}
	if rep, ok := pps.reports[name]; !ok || !rep.at.Equal(sta.Load.At) {
		pps.reports[name] = report{at: sta.Load.At, receivedAt: now}
	}
	return pps.reports[name].receivedAt
}

// lost reports whether a plan must do without the engine because it is unreachable, leaving or draining.
func lost(now time.Time, edp inventory.Endpoint, sta routing.EndpointStatus, reportedAt time.Time) bool {
	unreachable := sta.FailedAt.After(reportedAt) && now.Sub(reportedAt) > lostAfter
	return unreachable || !sta.LeavingSince.IsZero() || edp.State == inventory.EndpointDraining
}
