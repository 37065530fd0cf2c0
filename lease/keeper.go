package lease

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/provider"
)

const (
	// Watchers is the number of daemons in a pool's order that read its renewals.
	Watchers = 4
	// staleSlack is the time beyond the refresh interval after which a lease that was not refreshed
	// makes twice as many daemons read the renewals.
	staleSlack = time.Minute
	// maxWiden bounds the doubling; 4 times 2 to the 7th exceeds 400 daemons.
	maxWiden = 7
)

// Log is the part of the platform's log that leases need.
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
	// since is the start of the reads of leases that were not interrupted for as long as a lease lasts.
	since time.Time
	// vacant holds the time at which a pool was first seen without a lease.
	vacant map[string]time.Time
	// watches holds the pools whose renewals this daemon reads.
	watches map[string]*watch
	// renewals holds the last renewal of each pool that this daemon holds.
	renewals map[string]ownRenewal
}

// ownRenewal is the last renewal that this daemon has appended.
type ownRenewal struct {
	at     time.Time
	offset int64
}

// NewKeeper returns a keeper for one daemon incarnation, on a log that keeps records for a time.
func NewKeeper(log Log, holder string, retention time.Duration) *Keeper {
	return &Keeper{
		Log: log, Holder: holder, Now: time.Now, table: NewTable(retention),
		vacant: map[string]time.Time{}, watches: map[string]*watch{}, renewals: map[string]ownRenewal{},
	}
}

// Follow reads the leases once, waiting up to the given time for a record.
func (kep *Keeper) Follow(ctx context.Context, wait time.Duration) error {
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

// Watch chooses the pools whose renewals this daemon reads.
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

// FollowRenewals reads the renewals of one pool once, if it is watched.
func (kep *Keeper) FollowRenewals(ctx context.Context, pool string) error {
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

// Take appends a record based on the pool's last one; only reading the stream tells whether it was accepted.
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

// Renew tells the pool's watchers that this holder is there.
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

// Due reports whether this holder should refresh the pool's lease or take a vacant or expired one.
// A grace keeps daemons that are not the pool's first choice from racing for it.
func (kep *Keeper) Due(pool string, grace time.Duration) bool {
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

// ShouldWatch reports whether a daemon of a rank in the pool's order reads its renewals. The first four do.
// If all of them live and yet none keeps the lease, as when they are cut off from the log alone, the holder
// refreshes nothing any more, and twice as many daemons watch after each refresh interval that passes so.
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

// HoldsAny reports whether this holder is that of any pool, by what it last read.
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

// MayOrder returns the token with which this holder may order an engine now.
func (kep *Keeper) MayOrder(pool string, checksFence bool) (int64, bool) {
	kep.mutex.Lock()
	defer kep.mutex.Unlock()
	return kep.table.MayOrder(kep.Now(), pool, kep.Holder, checksFence)
}
