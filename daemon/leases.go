package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/lease"
	"papayacroft/membership"
	"papayacroft/provider"
)

const (
	leaseWait    = time.Second
	takeTimeout  = 2 * time.Second
	keepInterval = time.Second
	// leaseGrace is the time that each daemon lets the ones before it in a pool's order take an expired lease.
	leaseGrace = 2 * time.Second
	// watchInterval is the time between two reads of a pool's renewals.
	watchInterval = 2 * time.Second
	// The pauses between reads of the leases bound what a daemon spends on them. A holder's last read must not
	// be 8 s old when it orders; a watcher's must not be 10 s old when it takes a lease.
	holderPause  = time.Second
	watcherPause = 4 * time.Second
	otherPause   = 15 * time.Second
	// rankInterval bounds the work of ranking: 32 pools and 400 daemons take 12,800 hashes.
	rankInterval = time.Second
)

// leaser takes and renews leases apart from the orders, which may wait for engines.
type leaser struct {
	keeper   *lease.Keeper
	name     string
	snapshot func() *blackboard.Snapshot
	logger   logrus.FieldLogger

	mutex sync.Mutex
	// ranks holds this daemon's ranks by pool, worked out at rankedAt among the daemons in order.
	ranks    map[string]int
	order    []string
	rankedAt time.Time
}

func newLeaser(dmn *Daemon) *leaser {
	log := provider.NewHTTPLog(dmn.Settings.Platform.LogURL)
	return &leaser{
		keeper:   lease.NewKeeper(log, dmn.incarnation, time.Duration(dmn.Settings.Platform.LogRetention)),
		name:     dmn.Settings.Name,
		snapshot: dmn.loop.Snapshot,
		logger:   dmn.Logger,
	}
}

// follow reads the leases of all pools.
func (lsr *leaser) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := lsr.keeper.Follow(ctx, leaseWait); err != nil {
			lsr.logger.WithError(err).Debug("leases could not be read")
			sleep(ctx, leaseWait)
			continue
		}
		// One read takes in the records of the pause, which keeps its overhead small with many pools.
		lsr.pause(ctx)
	}
}

// pause waits until the leases should be read again, which may change while it waits.
func (lsr *leaser) pause(ctx context.Context) {
	for waited := time.Duration(0); waited < lsr.pauseLength() && ctx.Err() == nil; waited += holderPause {
		sleep(ctx, holderPause)
	}
}

func (lsr *leaser) pauseLength() time.Duration {
	snp := lsr.snapshot()
	pools := enginePools(snp)
	switch {
	case lsr.keeper.HoldsAny(pools):
		return holderPause
	case len(lsr.watched(snp, pools)) > 0:
		return watcherPause
	default:
		return otherPause
	}
}

// watched lists the pools whose renewals this daemon reads.
func (lsr *leaser) watched(snp *blackboard.Snapshot, pools []string) []string {
	var names []string
	for _, name := range pools {
		if snp.DrainingSince.IsZero() && lsr.keeper.ShouldWatch(name, lsr.rank(snp, name)) {
			names = append(names, name)
		}
	}
	return names
}

// watch reads the renewals of the pools for which this daemon is among the first in the order.
func (lsr *leaser) watch(ctx context.Context) {
	for ctx.Err() == nil {
		snp := lsr.snapshot()
		names := lsr.watched(snp, enginePools(snp))
		lsr.keeper.Watch(names)
		for _, name := range names {
			if err := lsr.keeper.FollowRenewals(ctx, name); err != nil {
				lsr.logger.WithField("pool", name).WithError(err).Debug("renewals could not be read")
			}
		}
		sleep(ctx, watchInterval)
	}
}

// keep takes, refreshes and renews leases.
func (lsr *leaser) keep(ctx context.Context) {
	for ctx.Err() == nil {
		snp := lsr.snapshot()
		for _, name := range enginePools(snp) {
			if snp.DrainingSince.IsZero() {
				lsr.keepPool(ctx, snp, name)
			}
		}
		sleep(ctx, keepInterval)
	}
}

func (lsr *leaser) keepPool(ctx context.Context, snp *blackboard.Snapshot, pool string) {
	if lsr.keeper.Due(pool, time.Duration(lsr.rank(snp, pool))*leaseGrace) {
		lsr.take(ctx, pool)
	}
	if lsr.keeper.RenewalDue(pool) {
		ctx, cancel := context.WithTimeout(ctx, takeTimeout)
		defer cancel()
		if err := lsr.keeper.Renew(ctx, pool); err != nil {
			lsr.logger.WithField("pool", pool).WithError(err).Info("placement lease renewal may not be on the log")
		}
	}
}

// take appends a lease record and reads the leases, which alone tells whether it was accepted.
func (lsr *leaser) take(ctx context.Context, pool string) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	log := lsr.logger.WithField("pool", pool)
	if err := lsr.keeper.Take(ctx, pool); err != nil {
		log.WithError(err).Info("placement lease record may not be on the log")
	}
	if err := lsr.keeper.Follow(ctx, 0); err != nil {
		log.WithError(err).Debug("leases could not be read")
	}
}

// rank is this daemon's place in the pool's order, by rendezvous hashing of the VMs that the platform lists as
// live. Those whose daemons are leaving or gone by gossip are left out, since the list lags.
func (lsr *leaser) rank(snp *blackboard.Snapshot, pool string) int {
	lsr.mutex.Lock()
	defer lsr.mutex.Unlock()
	if lsr.ranks == nil || snp.At.Sub(lsr.rankedAt) >= rankInterval {
		lsr.rankedAt, lsr.ranks, lsr.order = snp.At, map[string]int{}, order(snp)
	}
	rank, ok := lsr.ranks[pool]
	if !ok {
		own := weight(pool, lsr.name)
		for _, name := range lsr.order {
			if weight(pool, name) > own {
				rank++
			}
		}
		lsr.ranks[pool] = rank
	}
	return rank
}

// order lists the daemons that may keep leases.
func order(snp *blackboard.Snapshot) []string {
	out := map[string]bool{}
	for _, mem := range snp.Members {
		out[mem.Name] = mem.State == membership.StateGone || mem.State == membership.StateLeaving
	}
	var names []string
	for _, vmc := range snp.VMs {
		if vmc.State == provider.VMLive && !out[vmc.Name] {
			names = append(names, vmc.Name)
		}
	}
	return names
}

func weight(pool, name string) uint64 {
	var dig xxhash.Digest
	dig.Reset()
	// Writes to a digest do not fail.
	_, _ = dig.WriteString(pool)
	_, _ = dig.WriteString("\x00")
	_, _ = dig.WriteString(name)
	return dig.Sum64()
}
