package lease

import (
	"slices"
	"time"

	"papayacroft/provider"
)

const (
	// Duration is the time for which a lease lasts after it was last known to be held.
	Duration = 10 * time.Second
	// Margin is taken off by the holder and added by its successor, so that an order
	// that is checked in time has twice the margin to take effect.
	Margin = 2 * time.Second
	// RenewInterval is the time after which a holder renews its lease; three tries fit in the duration.
	RenewInterval = 3 * time.Second
	// RefreshInterval is the time after which a holder repeats its lease record, so that a fresh reader finds
	// it before the log lets it expire; 32 pools make 19 B/s for each daemon that reads them.
	RefreshInterval = 5 * time.Minute
	// minRefreshInterval bounds the appends on a log that keeps records for a very short time.
	minRefreshInterval = 10 * time.Second
	// refreshesPerRetention leaves a fresh reader four times the period in which a lease record counts, see voidRefreshes.
	refreshesPerRetention = 12
	// voidRefreshes is the number of missed refreshes after which a lease record counts no more.
	voidRefreshes = 3
	// None is the token of a pool without a lease.
	None int64 = -1
)

// Lease is the last accepted record of a pool.
type Lease struct {
	Pool   string
	Holder string
	// Token is the offset of the record; a later lease has a greater one.
	Token int64
	// Tenure is the offset of the holder's first record that this daemon has read.
	Tenure int64
	// At is the log's time of the record.
	At time.Time
	// Since is the present of this daemon when it first read a record of this holder's tenure.
	Since time.Time
	// GrantedAt is the present of this daemon when it read the last record.
	GrantedAt time.Time
	// Renewals is an offset of the pool's renewals from which a new reader needs no earlier one.
	Renewals int64
	// First is true while the holder is the first that the stream shows and no record has expired from it.
	First bool
}

// Table follows the stream of leases and holds the lease of each pool.
//
// Which records are accepted depends only on the stream, so all daemons agree: the first record in offset order
// that is based on the pool's lease wins. A lease counts until a record comes three refresh intervals or more
// later; then a record based on None takes the pool.
//
// A daemon that starts when older records have expired does not know at first which records were accepted. It
// knows the lease of a pool once it reads a record that is based on one that it has read too: its writer knew
// the lease, and no record between the two can have taken it. Holders refresh their leases much more often than
// records expire, so a lease that counts always shows such a record.
type Table struct {
	// Margin is Margin except in measurements of what it buys.
	Margin time.Duration
	// Refresh is the time after which a holder repeats its lease record.
	Refresh time.Duration
	// Next is the offset to read from next.
	Next int64
	// ReadAt is the start of the last complete read.
	ReadAt time.Time

	pools map[string]*poolRecords
	// gap is true if records expired before this daemon read them.
	gap bool
	// retention is the time for which the log keeps records, at least half of which is relied on.
	retention time.Duration
	// knownFrom is the time from which a table with a gap has read all records.
	knownFrom time.Time
}

// poolRecords is what a table knows of one pool.
type poolRecords struct {
	lease Lease
	held  bool
	// known is true if the table knows which record is the lease, if any.
	known  bool
	recent []baseRecord
}

// baseRecord is a record that a later one may be based on.
type baseRecord struct {
	offset int64
	at     time.Time
}

// NewTable returns a table that has read nothing, for a log that keeps records for a time.
func NewTable(retention time.Duration) *Table {
	refresh := max(minRefreshInterval, min(RefreshInterval, retention/refreshesPerRetention))
	return &Table{Margin: Margin, Refresh: refresh, retention: retention, pools: map[string]*poolRecords{}}
}

// Apply takes in a batch whose read began at start; now is the time at which it was complete.
func (tab *Table) Apply(start, now time.Time, bat provider.Batch) {
	// Offsets start at 1 or 0 by the log's choice; anything above means that records have expired.
	if bat.First > max(tab.Next, 1) {
		tab.gap, tab.knownFrom = true, start.Add(-tab.retention/2)
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

// accepts notes a record and reports whether it takes or refreshes the lease.
func (tab *Table) accepts(pol *poolRecords, rec provider.Record, basedOn int64) bool {
	based, others := pol.note(rec, basedOn, tab.voidAfter())
	switch {
	case pol.held && rec.At.Sub(pol.lease.At) < tab.voidAfter():
		return basedOn == pol.lease.Token
	case pol.known:
		return basedOn == None
	case basedOn == None:
		return !others && !rec.At.Before(tab.knownFrom.Add(tab.voidAfter()))
	default:
		return based
	}
}

// note keeps a record, reports whether it is based on one that still counts, and whether there are any that still count.
func (pol *poolRecords) note(rec provider.Record, basedOn int64, voidAfter time.Duration) (based, others bool) {
	pol.recent = slices.DeleteFunc(pol.recent, func(base baseRecord) bool { return rec.At.Sub(base.at) >= voidAfter })
	based = slices.ContainsFunc(pol.recent, func(base baseRecord) bool { return base.offset == basedOn })
	others = len(pol.recent) > 0
	pol.recent = append(pol.recent, baseRecord{offset: rec.Offset, at: rec.At})
	return based, others
}

// voidAfter is the age from which a lease record counts no more.
func (tab *Table) voidAfter() time.Duration {
	return voidRefreshes * tab.Refresh
}

// Lease returns the lease of a pool, unless its record is too old to count.
func (tab *Table) Lease(now time.Time, pool string) (Lease, bool) {
	pol, ok := tab.pools[pool]
	if !ok || !pol.held || now.Sub(pol.lease.At) >= tab.voidAfter() {
		return Lease{Token: None}, false
	}
	return pol.lease, true
}

// Vacant reports whether a pool has no lease, as far as this table can know.
func (tab *Table) Vacant(now time.Time, pool string) bool {
	if _, ok := tab.Lease(now, pool); ok {
		return false
	}
	pol, ok := tab.pools[pool]
	return !ok || pol.known || now.Sub(pol.recent[len(pol.recent)-1].at) >= tab.voidAfter()
}

// Holds reports whether the holder may rely on its lease at this moment.
func (tab *Table) Holds(now time.Time, pool, holder string) bool {
	les, ok := tab.Lease(now, pool)
	return ok && les.Holder == holder && now.Before(tab.ReadAt.Add(Duration-tab.Margin))
}

// MayOrder returns the token with which the holder may order an engine at this moment.
// An engine that ignores tokens is left alone until every earlier holder's lease has run out.
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
// It does so soon for the first time, so that daemons that start then know the lease.
func (tab *Table) RefreshDue(now time.Time, pool, holder string) bool {
	les, ok := tab.Lease(now, pool)
	refresh := tab.Refresh
	if les.Token == les.Tenure {
		refresh = min(refresh, Duration)
	}
	return ok && les.Holder == holder && !now.Before(les.GrantedAt.Add(refresh))
}
