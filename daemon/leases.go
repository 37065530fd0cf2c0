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
	"papayacroft/retry"
)

const (
	leaseWait        = time.Second
	acquireTimeout   = 2 * time.Second
	maintainInterval = time.Second
	// leaseGrace is the delay, per rank, before a daemon takes a vacant or expired lease. It keeps the daemons of a
	// pool's order from racing for the lease.
	leaseGrace = 2 * time.Second
	// watchInterval is the pause between two reads of the watched pools' renewal streams.
	watchInterval = 2 * time.Second
	// The pauses between reads of the lease stream limit a daemon's control traffic. The last read of a holder must be
	// less than 8 s old when it sends an order to an engine, that of a watcher less than 10 s old when it takes a lease.
	holderPause  = time.Second
	watcherPause = 4 * time.Second
	idlePause    = 15 * time.Second
	// rankInterval is the least age at which ranks are recomputed, since 32 pools and 400 daemons take 12,800 hashes.
	rankInterval = time.Second
)

// leaser takes and renews the placement leases of pools. It runs in goroutines of its own, because the orders that a
// holder sends to engines may block.
type leaser struct {
	keeper   *lease.Keeper
	name     string
	snapshot func() *blackboard.Snapshot
	logger   logrus.FieldLogger

	mutex sync.Mutex
	// ranks caches this daemon's rank per pool among the candidates, which were listed at rankedAt.
	ranks      map[string]int
	candidates []string
	rankedAt   time.Time
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

// follow reads the lease stream, which holds the leases of all pools.
func (lsr *leaser) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := lsr.keeper.ReadLeases(ctx, leaseWait); err != nil {
			lsr.logger.WithError(err).Debug("leases could not be read")
			retry.Sleep(ctx, leaseWait)
			continue
		}
		// A read after a pause fetches many records at once, which keeps the overhead per record small with many pools.
		lsr.pause(ctx)
	}
}

// pause waits until the next read of the lease stream is due. It checks the length of the pause again each second,
// because this daemon may start to hold or watch a lease meanwhile.
func (lsr *leaser) pause(ctx context.Context) {
	for waited := time.Duration(0); waited < lsr.pauseLength() && ctx.Err() == nil; waited += holderPause {
		retry.Sleep(ctx, holderPause)
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
		return idlePause
	}
}

// watched returns the pools whose renewal streams this daemon reads; none while it drains.
func (lsr *leaser) watched(snp *blackboard.Snapshot, pools []string) []string {
	var names []string
	for _, name := range pools {
		if snp.DrainingSince.IsZero() && lsr.keeper.ShouldWatch(name, lsr.rank(snp, name)) {
			names = append(names, name)
		}
	}
	return names
}

// watch reads the renewal streams of the pools in whose order this daemon ranks high enough.
func (lsr *leaser) watch(ctx context.Context) {
	for ctx.Err() == nil {
		snp := lsr.snapshot()
		names := lsr.watched(snp, enginePools(snp))
		lsr.keeper.Watch(names)
		for _, name := range names {
			if err := lsr.keeper.ReadRenewals(ctx, name); err != nil {
				lsr.logger.WithField("pool", name).WithError(err).Debug("renewals could not be read")
			}
		}
		retry.Sleep(ctx, watchInterval)
	}
}

// maintain takes, refreshes and renews leases until the context ends; a draining daemon does none of it.
func (lsr *leaser) maintain(ctx context.Context) {
	for ctx.Err() == nil {
		snp := lsr.snapshot()
		for _, name := range enginePools(snp) {
			if snp.DrainingSince.IsZero() {
				lsr.maintainPool(ctx, snp, name)
			}
		}
		retry.Sleep(ctx, maintainInterval)
	}
}

func (lsr *leaser) maintainPool(ctx context.Context, snp *blackboard.Snapshot, pool string) {
	if lsr.keeper.TakeDue(pool, time.Duration(lsr.rank(snp, pool))*leaseGrace) {
		lsr.acquire(ctx, pool)
	}
	if lsr.keeper.RenewalDue(pool) {
		ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
		defer cancel()
		if err := lsr.keeper.Renew(ctx, pool); err != nil {
			lsr.logger.WithField("pool", pool).WithError(err).Info("placement lease renewal was not confirmed by the log")
		}
	}
}

// acquire appends a lease record and then reads the lease stream, because only its order of records decides which
// daemon gets the lease.
func (lsr *leaser) acquire(ctx context.Context, pool string) {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	log := lsr.logger.WithField("pool", pool)
	if err := lsr.keeper.Take(ctx, pool); err != nil {
		log.WithError(err).Info("placement lease record was not confirmed by the log")
	}
	if err := lsr.keeper.ReadLeases(ctx, 0); err != nil {
		log.WithError(err).Debug("leases could not be read")
	}
}

// rank returns the number of candidates that precede this daemon in the pool's order, which comes from rendezvous
// hashing.
func (lsr *leaser) rank(snp *blackboard.Snapshot, pool string) int {
	lsr.mutex.Lock()
	defer lsr.mutex.Unlock()
	if lsr.ranks == nil || snp.At.Sub(lsr.rankedAt) >= rankInterval {
		lsr.rankedAt, lsr.ranks, lsr.candidates = snp.At, map[string]int{}, candidates(snp)
	}
	rank, ok := lsr.ranks[pool]
	if !ok {
		own := weight(pool, lsr.name)
		for _, name := range lsr.candidates {
			if weight(pool, name) > own {
				rank++
			}
		}
		lsr.ranks[pool] = rank
	}
	return rank
}

// candidates returns the daemons that may hold leases: the VMs that the platform lists as live, without those whose
// daemons are leaving or gone according to gossip, since the list lags behind.
func candidates(snp *blackboard.Snapshot) []string {
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
