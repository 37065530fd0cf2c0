package catalog

import (
	"maps"
	"time"
)

// Evacuation is what is known of the evacuation of a failure domain. While it is in force, no request is sent there.
type Evacuation struct {
	// Offset is the place in the store's log of the record by which it began, or of the record's removal if Lifted is true.
	Offset int64
	Lifted bool
	// At is since when it has been in force, or lifted, as far as daemons know.
	At time.Time
	// UnconfirmedUntil is set if the store has returned from a copy without the record of an evacuation in force: until then,
	// the operator may write it again.
	UnconfirmedUntil time.Time
}

const (
	// noOffset is the offset of what was learnt in an earlier era of the store; each record of the present era is later.
	noOffset = -1
	// confirmTime is well above the time in which the operator writes again what the store has lost.
	confirmTime = 10 * time.Second
)

// Evacuations is the state of all failure domains that were ever evacuated.
type Evacuations struct {
	// Unread is true until the state has been read from the store or received from a peer.
	Unread bool
	// Era is the era of the store that the offsets belong to; 0 if it states none.
	Era int64
	// ReadTo is the offset below which all records were taken into account; Domains may have later ones.
	ReadTo  int64
	Domains map[string]Evacuation
}

// EvacuationRecord is a record of the store by which the operator evacuates a failure domain, or its removal.
type EvacuationRecord struct {
	Domain  string
	Offset  int64
	Removed bool
}

// Has reports whether a failure domain is evacuated.
func (evs *Evacuations) Has(domain string) bool {
	evc, known := evs.Domains[domain]
	return known && !evc.Lifted
}

// Count returns the number of evacuated failure domains.
func (evs *Evacuations) Count() int {
	count := 0
	for _, evc := range evs.Domains {
		if !evc.Lifted {
			count++
		}
	}
	return count
}

// LiftedAt returns when the last evacuation of a failure domain was lifted, as far as daemons know; the zero time if it has not
// been evacuated, or still is.
func (evs *Evacuations) LiftedAt(domain string) time.Time {
	if evc, known := evs.Domains[domain]; known && evc.Lifted {
		return evc.At
	}
	return time.Time{}
}

// PutEvacuations applies records in the order of the store's log; it ignores those that are older than what is known. Those of a
// new era are not: this daemon has not read the whole of it yet.
func (flt *Fleet) PutEvacuations(now time.Time, records []EvacuationRecord, era int64) {
	for _, rec := range records {
		if old, known := flt.evacuations.Domains[rec.Domain]; known && era > flt.evacuations.Era && !flt.evacuations.Unread {
			old.Offset = noOffset
			flt.setEvacuation(rec.Domain, old)
		}
		flt.putEvacuation(rec.Domain, Evacuation{Offset: rec.Offset, Lifted: rec.Removed, At: now})
	}
}

// ReplaceEvacuations applies all records that the store has, read up to an offset: evacuations without a record are lifted, unless
// the store has lost the record by returning from a copy. The records count whatever was known before: a store that has begun a new
// log has lower offsets.
func (flt *Fleet) ReplaceEvacuations(now time.Time, records []EvacuationRecord, era, readTo int64) {
	flt.beginEra(now, era)
	listed := map[string]bool{}
	for _, rec := range records {
		listed[rec.Domain] = !rec.Removed
		if old, known := flt.evacuations.Domains[rec.Domain]; known && old.Lifted != rec.Removed {
			flt.setEvacuation(rec.Domain, Evacuation{Offset: rec.Offset, Lifted: rec.Removed, At: now})
		}
	}
	for domain, evc := range flt.evacuations.Domains {
		if !listed[domain] && !evc.Lifted && evc.UnconfirmedUntil.IsZero() {
			flt.setEvacuation(domain, Evacuation{Offset: readTo - 1, Lifted: true, At: now})
		}
	}
	flt.PutEvacuations(now, records, era)
	flt.completeEvacuations(readTo)
}

// beginEra makes what is known of an earlier era older than each record of the present one. Evacuations in force stay so for
// confirmTime: their records may be among those that the store has lost.
func (flt *Fleet) beginEra(now time.Time, era int64) {
	own := flt.evacuations
	if era == own.Era {
		return
	}
	flt.evacuations.Era, flt.evacuations.ReadTo = era, 0
	flt.changes++
	for domain, evc := range own.Domains {
		evc.Offset = noOffset
		if !evc.Lifted {
			evc.UnconfirmedUntil = now.Add(confirmTime)
		}
		flt.setEvacuation(domain, evc)
	}
}

// expireEvacuations lifts the evacuations whose records were not written again.
func (flt *Fleet) expireEvacuations(now time.Time) {
	for domain, evc := range flt.evacuations.Domains {
		if !evc.Lifted && !evc.UnconfirmedUntil.IsZero() && !now.Before(evc.UnconfirmedUntil) {
			flt.setEvacuation(domain, Evacuation{Offset: flt.evacuations.ReadTo - 1, Lifted: true, At: now})
		}
	}
}

// MergeEvacuations applies the state that a peer knows: of each failure domain, the later record counts. An evacuation that the
// peer lacks, although it has read the store past the evacuation's record, is lifted. What a peer knows of an earlier era is ignored;
// one of a later era has read the store since it returned from a copy.
func (flt *Fleet) MergeEvacuations(now time.Time, peer *Evacuations) {
	switch {
	case flt.evacuations.Unread || peer.Era > flt.evacuations.Era:
		flt.beginEra(now, peer.Era)
	case peer.Era != 0 && peer.Era < flt.evacuations.Era:
		return
	}
	own := flt.evacuations
	for domain, evc := range own.Domains {
		if _, known := peer.Domains[domain]; !known && !evc.Lifted && evc.UnconfirmedUntil.IsZero() && evc.Offset < peer.ReadTo {
			flt.setEvacuation(domain, Evacuation{Offset: peer.ReadTo - 1, Lifted: true, At: now})
		}
	}
	for domain, evc := range peer.Domains {
		if _, known := own.Domains[domain]; known || own.Unread || evc.Offset >= own.ReadTo || !evc.UnconfirmedUntil.IsZero() {
			flt.putEvacuation(domain, evc)
		}
	}
	flt.completeEvacuations(max(own.ReadTo, peer.ReadTo))
}

// putEvacuation records the state of a failure domain unless a later one is known. A lift of a failure domain that is not
// known to be evacuated is recorded too: the record of the evacuation may arrive after it.
func (flt *Fleet) putEvacuation(domain string, evc Evacuation) {
	old, known := flt.evacuations.Domains[domain]
	if known && evc.Offset <= old.Offset {
		return
	}
	if known && evc.Lifted == old.Lifted {
		// The record was written again; what is in force has not changed.
		evc.At = old.At
	}
	flt.setEvacuation(domain, evc)
}

func (flt *Fleet) setEvacuation(domain string, evc Evacuation) {
	domains := maps.Clone(flt.evacuations.Domains)
	if domains == nil {
		domains = map[string]Evacuation{}
	}
	domains[domain] = evc
	flt.evacuations.Domains = domains
	flt.changes++
}

func (flt *Fleet) completeEvacuations(readTo int64) {
	if flt.evacuations.Unread || flt.evacuations.ReadTo != readTo {
		flt.evacuations.Unread, flt.evacuations.ReadTo = false, readTo
		flt.changes++
	}
}
