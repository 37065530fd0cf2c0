package control

import (
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

// Evacuations is the input for failure domains that the operator evacuates; one of Records, All and Peer is set.
type Evacuations struct {
	// Records are changes, in the order of the store's log.
	Records []catalog.EvacuationRecord
	// Era is the era of the store that the offsets of Records belong to.
	Era int64
	// Whole is true if Records are all that the store has, read up to the offset ReadTo.
	Whole  bool
	ReadTo int64
	// Peer is the state that another daemon knows; nil for what was read from the store.
	Peer *catalog.Evacuations
	// Source is logged as the source of the changes.
	Source string
}

// Apply updates the evacuated failure domains.
func (evc Evacuations) Apply(now time.Time, ctl *Control) {
	ctl.evacuationSource = evc.Source
	switch {
	case evc.Peer != nil:
		ctl.fleet.MergeEvacuations(now, evc.Peer)
	case evc.Whole:
		ctl.fleet.ReplaceEvacuations(now, evc.Records, evc.Era, evc.ReadTo)
	default:
		ctl.fleet.PutEvacuations(now, evc.Records, evc.Era)
	}
}

// announceEvacuations logs the evacuations that have come into force or were lifted.
func (ctl *Control) announceEvacuations(old, snp *Snapshot) {
	for domain, evc := range snp.Fleet.Evacuations.Domains {
		if !evc.UnconfirmedUntil.IsZero() && old.Fleet.Evacuations.Domains[domain].UnconfirmedUntil.IsZero() {
			ctl.Logger.WithFields(logrus.Fields{"failureDomain": domain, "left": evc.UnconfirmedUntil.Sub(ctl.Now())}).
				Warn("the store has lost the record of an evacuation; it stays in force until the operator has had time to write it again")
		}
		before := old.Fleet.Evacuations.Has(domain)
		if before != evc.Lifted {
			continue
		}
		text := "evacuation of a failure domain takes effect"
		if evc.Lifted {
			text = "evacuation of a failure domain is lifted"
		}
		fields := logrus.Fields{"failureDomain": domain, "source": ctl.evacuationSource, "offset": evc.Offset, "age": ctl.Now().Sub(evc.At)}
		if evc.Lifted {
			fields["age"] = ctl.Now().Sub(old.Fleet.Evacuations.Domains[domain].At)
		}
		ctl.Logger.WithFields(fields).Info(text)
	}
}
