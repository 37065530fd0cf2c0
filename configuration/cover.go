package configuration

import (
	"time"

	"papayacroft/provider"
)

// publishesPerSnapshot is the least number of publishes between two snapshots.
// A snapshot is due only if these publishes also have half of its size, since every daemon reads every snapshot:
// at 6,200 organisations one after each 64 publishes would take 500 B/s a node at 2,000 publishes a day.
const publishesPerSnapshot = 64

// cover tells which records of the log a new reader needs: a snapshot and every record that it does not reflect.
// Records without effect count too, because a reader that finds them expired can't know that they had none.
type cover struct {
	readTo int64
	// at is the time of the snapshot, or zero if there is none.
	at        time.Time
	records   []mark
	publishes int
	// publishBytes is the size of these publishes, snapshotBytes that of the snapshot record.
	publishBytes  int
	snapshotBytes int
}

type mark struct {
	offset  int64
	at      time.Time
	publish bool
	size    int
}

func (cov *cover) record(rec provider.Record, publish bool) {
	cov.records = append(cov.records, mark{rec.Offset, rec.At, publish, len(rec.Body)})
	if publish {
		cov.publishes++
		cov.publishBytes += len(rec.Body)
	}
}

// snapshot notes a snapshot record; one that reflects fewer records than an earlier one does not help a reader.
func (cov *cover) snapshot(readTo int64, at time.Time, size int) {
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

// oldest is the time of the oldest record that a new reader needs.
func (cov *cover) oldest() time.Time {
	if len(cov.records) > 0 && (cov.at.IsZero() || cov.records[0].at.Before(cov.at)) {
		return cov.records[0].at
	}
	return cov.at
}

// SnapshotDue reports whether a snapshot should be appended:
// a record that a new reader needs is older than half the retention, or many publishes of a size that matters follow the last snapshot.
// This holds before the first version as well, because a new reader must know that the records which expired had no effect.
func (sta *State) SnapshotDue(now time.Time, retention time.Duration) bool {
	oldest := sta.cover.oldest()
	if oldest.IsZero() || sta.Behind() {
		return false
	}
	many := sta.cover.publishes >= publishesPerSnapshot && 2*sta.cover.publishBytes >= sta.cover.snapshotBytes
	return many || now.Sub(oldest) > retention/2
}
