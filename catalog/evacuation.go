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
}

// Evacuations is the state of all failure domains that were ever evacuated.
type Evacuations struct {
	// Unread is true until the state has been read from the store or received from a peer.
	Unread bool
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

// PutEvacuations applies records in the order of the store's log; it ignores those that are older than what is known.
func (flt *Fleet) PutEvacuations(now time.Time, records []EvacuationRecord) {
	for _, rec := range records {
		flt.putEvacuation(rec.Domain, Evacuation{Offset: rec.Offset, Lifted: rec.Removed, At: now})
	}
}

// ReplaceEvacuations applies all records that the store has, read up to an offset: evacuations without a record are lifted.
// The records count whatever was known before: a store that has begun a new log has lower offsets.
func (flt *Fleet) ReplaceEvacuations(now time.Time, records []EvacuationRecord, readTo int64) {
	listed := map[string]bool{}
	for _, rec := range records {
		listed[rec.Domain] = !rec.Removed
		if old, known := flt.evacuations.Domains[rec.Domain]; known && old.Lifted != rec.Removed {
			flt.setEvacuation(rec.Domain, Evacuation{Offset: rec.Offset, Lifted: rec.Removed, At: now})
		}
	}
	for domain, evc := range flt.evacuations.Domains {
		if !listed[domain] && !evc.Lifted {
			flt.setEvacuation(domain, Evacuation{Offset: readTo - 1, Lifted: true, At: now})
		}
	}
	flt.PutEvacuations(now, records)
	flt.completeEvacuations(readTo)
}

// MergeEvacuations applies the state that a peer knows: of each failure domain, the later record counts. An evacuation that the
// peer lacks, although it has read the store past the evacuation's record, is lifted.
func (flt *Fleet) MergeEvacuations(now time.Time, peer *Evacuations) {
	own := flt.evacuations
	for domain, evc := range own.Domains {
		if _, known := peer.Domains[domain]; !known && !evc.Lifted && evc.Offset < peer.ReadTo {
			flt.setEvacuation(domain, Evacuation{Offset: peer.ReadTo - 1, Lifted: true, At: now})
		}
	}
	for domain, evc := range peer.Domains {
		if _, known := own.Domains[domain]; known || own.Unread || evc.Offset >= own.ReadTo {
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
