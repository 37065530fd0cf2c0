package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"papayacroft/endpoint"
	"papayacroft/inventory"
)

const (
	wakeInterval = 500 * time.Millisecond
	// wakesPerPoll is the number of wake-ups per load poll, which gives one poll in 2 s. A poll takes about 600 bytes of
	// the 2 KB/s that a daemon may use for control traffic.
	wakesPerPoll = 4
	// staleLoadAge is the age at which a load report is stale, so that the engine is polled. Engines that serve requests
	// of this daemon don't reach it, because their responses and streams carry load reports.
	staleLoadAge    = time.Second
	loadPollTimeout = time.Second
)

// buildAdmission sets up the queues of waiting requests. Each load report and a timer wake them to try again.
func (dmn *Daemon) buildAdmission() {
	dmn.entry.BuildAdmission()
	report := dmn.entry.Endpoints.OnLoad
	dmn.entry.Endpoints.OnLoad = func(name string, lod endpoint.Load) {
		report(name, lod)
		dmn.entry.DispatchWaiting()
	}
	dmn.tasks = append(dmn.tasks, dmn.pollLoads)
}

// pollLoads wakes waiting requests at each interval. While any wait, it also polls one engine with a stale load report
// every wakesPerPoll intervals.
func (dmn *Daemon) pollLoads(ctx context.Context) {
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if idx := dmn.loop.Snapshot().Index; idx != nil && tick%wakesPerPoll == 0 {
				dmn.pollStale(ctx, idx)
			}
			// An engine whose calls failed becomes available again after some time without any load report, so that
			// load reports alone would not wake the requests.
			dmn.entry.DispatchWaiting()
		}
	}
}

// pollStale polls a random engine among those with a stale load report, if requests are waiting.
func (dmn *Daemon) pollStale(ctx context.Context, idx *inventory.Index) {
	if dmn.entry.Waiting() == 0 {
		return
	}
	var stale []endpoint.Target
	for _, edp := range idx.Configuration.Endpoints {
		isEngine := idx.Configuration.Pools[edp.Pool].Kind == inventory.PoolKindEngine
		if isEngine && time.Since(dmn.tracker.Status(edp.Name).ReportedAt) >= staleLoadAge {
			stale = append(stale, endpoint.Target{Name: edp.Name, Address: edp.Address})
		}
	}
	if len(stale) == 0 {
		return
	}
	tgt := stale[rand.IntN(len(stale))]
	ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
	defer cancel()
	// A failed poll needs no handling: the next request that is sent to the engine detects the failure as well.
	if _, err := dmn.entry.Endpoints.Load(ctx, tgt); err != nil {
		dmn.Logger.WithError(err).WithField("endpoint", tgt.Name).Debug("load poll failed")
	}
}
