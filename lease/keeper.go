package lease

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/provider"
)

const (
	// Watchers is the number of daemons, the first in a pool's ranking, that read the pool's renewals.
	Watchers = 4
	// staleSlack is added to the refresh interval before a missing refresh of a lease doubles the number
	// of daemons that read the pool's renewals.
	staleSlack = time.Minute
	// maxWiden is the greatest number of doublings; 4 times 2 to the 7th exceeds 400 daemons.
	maxWiden = 7
)

// Log is the part of the platform's log that leases use.
type Log interface {
	Append(ctx context.Context, stream string, body []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (provider.Batch, error)
}

// Keeper takes, renews and checks leases for one holder.
type Keeper struct {
	Log    Log
	Holder string
	Now    func() time.Time

	mutex sync.Mutex
	table *Table
	// since is the end of the first read of the leases, or of the first one after reads failed for a refresh interval or
	// more.
	since time.Time
	// vacant holds the time at which this daemon first saw a pool without a lease.
	vacant map[string]time.Time
	// watches holds the pools whose renewals this daemon reads.
	watches map[string]*watch
	// renewals holds the last renewal that this daemon appended for each pool.
	renewals map[string]ownRenewal
}

// ownRenewal is the time and offset of a renewal that this daemon appended.
type ownRenewal struct {
	at     time.Time
	offset int64
}

// NewKeeper returns a keeper for one daemon incarnation, on a log with the given retention.
func NewKeeper(log Log, holder string, retention time.Duration) *Keeper {
	return &Keeper{
		Log: log, Holder: holder, Now: time.Now, table: NewTable(retention),
		vacant: map[string]time.Time{}, watches: map[string]*watch{}, renewals: map[string]ownRenewal{},
	}
}

// ReadLeases reads the lease stream once, waiting up to the given time for a record.
func (kep *Keeper) ReadLeases(ctx context.Context, wait time.Duration) error {
	kep.mutex.Lock()
	next := kep.table.Next
	kep.mutex.Unlock()
	start := kep.Now()
	bat, err := kep.Log.Read(ctx, Stream, next, wait)
	if err != nil {
		return trace.Wrap(err)
	}
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	now := kep.Now()
	if start.Sub(kep.table.ReadAt) >= kep.table.Refresh {
		kep.since = now
	}
	kep.table.Apply(start, now, bat)
	return nil
}

// Watch sets the pools whose renewals this daemon reads.
func (kep *Keeper) Watch(pools []string) {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	old := kep.watches
	kep.watches = map[string]*watch{}
	for _, pool := range pools {
		wat, ok := old[pool]
		if !ok {
			les, _ := kep.table.Lease(kep.Now(), pool)
			wat = newWatch(les.Renewals)
		}
		kep.watches[pool] = wat
	}
}

// ReadRenewals reads the renewals of one pool once, if this daemon watches the pool.
func (kep *Keeper) ReadRenewals(ctx context.Context, pool string) error {
	kep.mutex.Lock()
	wat, ok := kep.watches[pool]
	if !ok {
		kep.mutex.Unlock()
		return nil
	}
	next := wat.next
	kep.mutex.Unlock()
	start := kep.Now()
	bat, err := kep.Log.Read(ctx, RenewalStream(pool), next, 0)
	if err != nil {
		return trace.Wrap(err)
	}
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	wat.apply(start, kep.Now(), bat)
	return nil
}

// Take appends a record based on the pool's last accepted one. Whether the new record was accepted shows only
// when this daemon reads it back from the stream.
func (kep *Keeper) Take(ctx context.Context, pool string) error {
	kep.mutex.Lock()
	les, _ := kep.table.Lease(kep.Now(), pool)
	rec := Record{Pool: pool, Holder: kep.Holder, BasedOn: les.Token, Renewals: les.Renewals}
	if wat, ok := kep.watches[pool]; ok {
		rec.Renewals = max(rec.Renewals, wat.next)
	}
	rec.Renewals = max(rec.Renewals, kep.renewals[pool].offset)
	kep.mutex.Unlock()
	body, err := rec.Serialize()
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = kep.Log.Append(ctx, Stream, body)
	return trace.Wrap(err)
}

// RenewalDue reports whether this holder should renew the pool's lease.
func (kep *Keeper) RenewalDue(pool string) bool {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	now := kep.Now()
	les, ok := kep.table.Lease(now, pool)
	return ok && les.Holder == kep.Holder && now.Sub(kep.renewals[pool].at) >= RenewInterval
}

// Renew appends a renewal, which shows the pool's watchers that this holder is alive.
func (kep *Keeper) Renew(ctx context.Context, pool string) error {
	kep.mutex.Lock()
	now := kep.Now()
	les, _ := kep.table.Lease(now, pool)
	kep.mutex.Unlock()
	body, err := Renewal{Token: les.Token}.Serialize()
	if err != nil {
		return trace.Wrap(err)
	}
	offset, err := kep.Log.Append(ctx, RenewalStream(pool), body)
	if err != nil {
		return trace.Wrap(err)
	}
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	kep.renewals[pool] = ownRenewal{at: now, offset: offset}
	return nil
}

// TakeDue reports whether this holder should refresh the pool's lease or take a vacant or expired one.
// Daemons that are not first in the pool's ranking pass a grace period, so that they don't race for the lease.
// Nothing is due while the last read of the lease stream is older than Duration.
func (kep *Keeper) TakeDue(pool string, grace time.Duration) bool {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	now := kep.Now()
	if now.Sub(kep.table.ReadAt) >= Duration {
		return false
	}
	les, ok := kep.table.Lease(now, pool)
	if ok {
		delete(kep.vacant, pool)
	}
	switch wat, watched := kep.watches[pool]; {
	case !ok && !kep.table.Vacant(now, pool):
		return false
	case !ok:
		if _, seen := kep.vacant[pool]; !seen {
			kep.vacant[pool] = now
		}
		return now.Sub(kep.vacant[pool]) >= grace
	case les.Holder == kep.Holder:
		return kep.table.RefreshDue(now, pool, kep.Holder)
	default:
		return watched && wat.expired(now, les, grace)
	}
}

// ShouldWatch reports whether a daemon of the given rank in the pool's ranking reads the pool's renewals.
// Normally the first four do. If all of them are alive but none can keep the lease, for example because only they
// are cut off from the log, nobody refreshes the lease any more. Then the number of watchers doubles with each
// refresh interval that passes without a refresh.
func (kep *Keeper) ShouldWatch(pool string, rank int) bool {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	now := kep.Now()
	les, ok := kep.table.Lease(now, pool)
	if ok && les.Holder == kep.Holder {
		return false
	}
	widen := 0
	if ok {
		seen := les.GrantedAt
		if kep.since.After(seen) {
			seen = kep.since
		}
		widen = int(now.Sub(seen) / (kep.table.Refresh + staleSlack))
	}
	return rank < Watchers<<min(widen, maxWiden)
}

// HoldsAny reports whether this holder has the lease of any of the pools, according to its last read.
func (kep *Keeper) HoldsAny(pools []string) bool {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	for _, pool := range pools {
		if les, ok := kep.table.Lease(kep.Now(), pool); ok && les.Holder == kep.Holder {
			return true
		}
	}
	return false
}

// Holds reports whether this holder may rely on its lease now.
func (kep *Keeper) Holds(pool string) bool {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	return kep.table.Holds(kep.Now(), pool, kep.Holder)
}

// MayOrder returns the token for an order to an engine, and whether this holder may send one now.
func (kep *Keeper) MayOrder(pool string, checksFence bool) (int64, bool) {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	return kep.table.MayOrder(kep.Now(), pool, kep.Holder, checksFence)
}
