package lease

import (
	"slices"
	"time"

	"papayacroft/provider"
)

const (
	// Duration is the time for which a lease lasts after the last proof that it is held: a read of the lease stream
	// for the holder, a lease record or a renewal for the watchers.
	Duration = 10 * time.Second
	// Margin is subtracted from Duration by the holder and added to it by its successor, so that an order
	// that is checked in time has twice the margin to take effect.
	Margin = 2 * time.Second
	// RenewInterval is the time after which a holder renews its lease; three attempts fit into Duration.
	RenewInterval = 3 * time.Second
	// RefreshInterval is the time after which a holder repeats its lease record, so that a new reader finds
	// a record that the log's retention has not removed yet; 32 pools make 19 B/s for each daemon that reads them.
	RefreshInterval = 5 * time.Minute
	// minRefreshInterval bounds the rate of appends on a log with a very short retention.
	minRefreshInterval = 10 * time.Second
	// refreshesPerRetention makes the log's retention four times the validity of a lease record (see validRefreshes),
	// so that a new reader finds enough records.
	refreshesPerRetention = 12
	// validRefreshes is the number of refresh intervals after which a lease record without a refresh is no longer valid.
	validRefreshes = 3
	// None is the token of a pool without a lease.
	None int64 = -1
)

// Lease is the last accepted record of a pool.
type Lease struct {
	Pool   string
	Holder string
	// Token is the offset of the record; a later lease has a greater one.
	Token int64
	// Tenure is the offset of the first record of the holder's uninterrupted tenure that this daemon has read.
	Tenure int64
	// At is the time at which the log stored the record.
	At time.Time
	// Since is the time of this daemon's clock when it read the first record of the holder's tenure.
	Since time.Time
	// GrantedAt is the time of this daemon's clock when it read the last accepted record.
	GrantedAt time.Time
	// Renewals is an offset in the pool's renewal stream; a new reader starts there and needs no earlier renewal.
	Renewals int64
	// First is true if the pool had no earlier holder: the table has read the stream from its beginning, before any record
	// expired, and the holder's first record is the first accepted one of the pool.
	First bool
}

// Table follows the lease stream and holds the lease of each pool.
//
// Which records are accepted depends only on the stream, so all daemons agree: the first record in offset order
// that is based on the pool's current lease wins. A lease is valid until the stream has a record of the pool that is
// three refresh intervals or more younger; such a record takes the pool if it is based on None.
//
// A daemon that starts after older records have expired does not know at first which records were accepted. It
// knows the lease of a pool once it reads a record that is based on another one that it has read: the writer of the
// later record knew the lease, and no record between the two can have taken it. Holders refresh their leases much
// more often than records expire, so the stream has such a record for each valid lease.
type Table struct {
	// Margin is the constant Margin, except in tests that measure its effect.
	Margin time.Duration
	// Refresh is the time after which a holder repeats its lease record.
	Refresh time.Duration
	// Next is the offset at which the next read starts.
	Next int64
	// ReadAt is the start of the last complete read.
	ReadAt time.Time

	pools map[string]*poolRecords
	// gap is true if records expired before this daemon read them.
	gap bool
	// retention is the time for which the log keeps records; the table relies on half of it only.
	retention time.Duration
	// completeFrom is the time from which a table with a gap has read all records.
	completeFrom time.Time
}

// poolRecords is the state of one pool in a table.
type poolRecords struct {
	lease Lease
	held  bool
	// known is true if the table knows which record is the lease, or that there is none.
	known bool
	// recent holds the records of the pool that are still valid, accepted or not.
	recent []baseRecord
}

// baseRecord is a record that a later one may be based on.
type baseRecord struct {
	offset int64
	at     time.Time
}

// NewTable returns a table that has read nothing, for a log with the given retention.
func NewTable(retention time.Duration) *Table {
	refresh := max(minRefreshInterval, min(RefreshInterval, retention/refreshesPerRetention))
	return &Table{Margin: Margin, Refresh: refresh, retention: retention, pools: map[string]*poolRecords{}}
}

// Apply applies a batch whose read began at start and was complete at now.
func (tab *Table) Apply(start, now time.Time, bat provider.Batch) {
	// Logs number their first record 0 or 1; a greater first offset means that records have expired.
	if bat.First > max(tab.Next, 1) {
		tab.gap, tab.completeFrom = true, start.Add(-tab.retention/2)
		tab.pools = map[string]*poolRecords{}
	}
	for _, rec := range bat.Records {
		if rec.Offset >= tab.Next {
			tab.applyRecord(now, rec)
			tab.Next = rec.Offset + 1
		}
	}
	if (bat.Next <= tab.Next || len(bat.Records) == 0) && start.After(tab.ReadAt) {
		tab.ReadAt = start
	}
	tab.Next = max(tab.Next, bat.Next)
}

func (tab *Table) applyRecord(now time.Time, rec provider.Record) {
	parsed, err := ParseRecord(rec.Body)
	if err != nil {
		return
	}
	pol, ok := tab.pools[parsed.Pool]
	if !ok {
		pol = &poolRecords{lease: Lease{Token: None}, known: !tab.gap}
		tab.pools[parsed.Pool] = pol
	}
	if !tab.accepts(pol, rec, parsed.BasedOn) {
		return
	}
	les := Lease{
		Pool: parsed.Pool, Holder: parsed.Holder, Token: rec.Offset, Tenure: rec.Offset, At: rec.At,
		Since: now, GrantedAt: now, Renewals: parsed.Renewals,
	}
	les.First = !pol.held && parsed.BasedOn == None && !tab.gap
	if pol.held && pol.lease.Holder == parsed.Holder {
		les.Since, les.First, les.Tenure = pol.lease.Since, pol.lease.First, pol.lease.Tenure
	}
	pol.lease, pol.held, pol.known = les, true, true
}

// accepts adds a record to the recent ones and reports whether it takes or refreshes the lease.
func (tab *Table) accepts(pol *poolRecords, rec provider.Record, basedOn int64) bool {
	based, anyRecent := pol.addRecent(rec, basedOn, tab.validity())
	switch {
	case pol.held && rec.At.Sub(pol.lease.At) < tab.validity():
		return basedOn == pol.lease.Token
	case pol.known:
		return basedOn == None
	case basedOn == None:
		return !anyRecent && !rec.At.Before(tab.completeFrom.Add(tab.validity()))
	default:
		return based
	}
}

// addRecent adds a record to the recent ones and drops those that are no longer valid. It reports whether the record is
// based on a recent one, and whether there were any.
func (pol *poolRecords) addRecent(rec provider.Record, basedOn int64, validity time.Duration) (based, anyRecent bool) {
	pol.recent = slices.DeleteFunc(pol.recent, func(base baseRecord) bool { return rec.At.Sub(base.at) >= validity })
	based = slices.ContainsFunc(pol.recent, func(base baseRecord) bool { return base.offset == basedOn })
	anyRecent = len(pol.recent) > 0
	pol.recent = append(pol.recent, baseRecord{offset: rec.Offset, at: rec.At})
	return based, anyRecent
}

// validity is the age at which a lease record is no longer valid.
func (tab *Table) validity() time.Duration {
	return validRefreshes * tab.Refresh
}

// Lease returns the lease of a pool, unless its record is no longer valid.
func (tab *Table) Lease(now time.Time, pool string) (Lease, bool) {
	pol, ok := tab.pools[pool]
	if !ok || !pol.held || now.Sub(pol.lease.At) >= tab.validity() {
		return Lease{Token: None}, false
	}
	return pol.lease, true
}

// Vacant reports whether a pool has no lease. It is false while the table has not read enough records to know.
func (tab *Table) Vacant(now time.Time, pool string) bool {
	if _, ok := tab.Lease(now, pool); ok {
		return false
	}
	pol, ok := tab.pools[pool]
	return !ok || pol.known || now.Sub(pol.recent[len(pol.recent)-1].at) >= tab.validity()
}

// Holds reports whether the holder may rely on its lease at this moment.
func (tab *Table) Holds(now time.Time, pool, holder string) bool {
	les, ok := tab.Lease(now, pool)
	return ok && les.Holder == holder && now.Before(tab.ReadAt.Add(Duration-tab.Margin))
}

// MayOrder returns the token for an order to an engine, and whether the holder may send one at this moment.
// Engines that don't check tokens get no orders until every earlier holder's lease has run out.
func (tab *Table) MayOrder(now time.Time, pool, holder string, checksFence bool) (int64, bool) {
	if !tab.Holds(now, pool, holder) {
		return None, false
	}
	les, _ := tab.Lease(now, pool)
	if !checksFence && !les.First && now.Before(les.Since.Add(Duration+tab.Margin)) {
		return None, false
	}
	return les.Token, true
}

// RefreshDue reports whether the holder should repeat its lease record.
// The first refresh of a tenure is due early, because a daemon that starts late needs two records to know the lease.
func (tab *Table) RefreshDue(now time.Time, pool, holder string) bool {
	les, ok := tab.Lease(now, pool)
	refresh := tab.Refresh
	if les.Token == les.Tenure {
		refresh = min(refresh, Duration)
	}
	return ok && les.Holder == holder && !now.Before(les.GrantedAt.Add(refresh))
}
