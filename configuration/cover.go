package configuration

import (
	"time"

	"papayacroft/provider"
)

// publishesPerSnapshot is the number of publishes since the last snapshot that can make the next one due before
// any record is old. Their total size must also reach half of that snapshot's size, because every daemon reads
// every snapshot: with 6,200 organisations and 2,000 publishes a day, a snapshot after every 64 publishes would
// cost each daemon 500 B/s.
const publishesPerSnapshot = 64

// coverage tracks which records a daemon with an empty state has to read from the log: the last snapshot and
// every record that this snapshot does not reflect. Records without effect are included, because a reader that
// finds them expired can't know that they had none.
type coverage struct {
	// readTo is the offset before which the snapshot reflects every record.
	readTo int64
	// at is the time of the snapshot (for one adopted from a peer its CoveredAt), or zero if there is none.
	at time.Time
	// records holds the records from readTo on, in order of offset.
	records   []requiredRecord
	publishes int
	// publishBytes is the total size of the publishes in records, snapshotBytes the size of the snapshot record.
	publishBytes  int
	snapshotBytes int
}

type requiredRecord struct {
	offset  int64
	at      time.Time
	publish bool
	size    int
}

func (cov *coverage) addRecord(rec provider.Record, publish bool) {
	cov.records = append(cov.records, requiredRecord{rec.Offset, rec.At, publish, len(rec.Body)})
	if publish {
		cov.publishes++
		cov.publishBytes += len(rec.Body)
	}
}

// addSnapshot registers a snapshot record and drops the records that it reflects.
// It ignores a snapshot that reflects fewer records than an earlier one, as a new reader gains nothing from it.
func (cov *coverage) addSnapshot(readTo int64, at time.Time, size int) {
	if readTo < cov.readTo {
		return
	}
	cov.readTo, cov.at, cov.snapshotBytes = readTo, at, size
	for len(cov.records) > 0 && cov.records[0].offset < readTo {
		if cov.records[0].publish {
			cov.publishes--
			cov.publishBytes -= cov.records[0].size
		}
		cov.records = cov.records[1:]
	}
}

// oldest returns the time of the oldest record that a new reader needs, or zero if there is none.
func (cov *coverage) oldest() time.Time {
	if len(cov.records) > 0 && (cov.at.IsZero() || cov.records[0].at.Before(cov.at)) {
		return cov.records[0].at
	}
	return cov.at
}

// SnapshotDue reports whether a snapshot should be appended: either a record that a new reader needs is older than
// half the retention, or the publishes since the last snapshot are many and large (see publishesPerSnapshot).
// It applies before the first version too, because a new reader has to learn that expired records had no effect.
func (sta *State) SnapshotDue(now time.Time, retention time.Duration) bool {
	oldest := sta.coverage.oldest()
	if oldest.IsZero() || sta.Behind() {
		return false
	}
	many := sta.coverage.publishes >= publishesPerSnapshot && 2*sta.coverage.publishBytes >= sta.coverage.snapshotBytes
	return many || now.Sub(oldest) > retention/2
}
