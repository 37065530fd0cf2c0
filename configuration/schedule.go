package configuration

import (
	"math/rand/v2"
	"time"
)

// maxSnapshotDelay bounds the random delay before a daemon appends a due snapshot, so that the daemons don't all
// append one: with 400 daemons the shortest delay is 0.1 s on average, and the other daemons read that snapshot
// before their own delay ends.
const maxSnapshotDelay = 30 * time.Second

// SnapshotSchedule decides when a daemon appends a snapshot that is due.
type SnapshotSchedule struct {
	Retention time.Duration
	Rand      *rand.Rand

	// appendAt is the end of the current delay, or zero if no snapshot is due.
	appendAt time.Time
}

// Step is called periodically with whether a snapshot is due, and reports whether to append one now.
// It starts a random delay when a snapshot becomes due, and cancels it if the snapshot stops being due meanwhile,
// because another daemon has appended one.
func (sch *SnapshotSchedule) Step(now time.Time, due bool) bool {
	switch {
	case !due:
		sch.appendAt = time.Time{}
		return false
	case sch.appendAt.IsZero():
		delay := min(maxSnapshotDelay, sch.Retention/8)
		sch.appendAt = now.Add(time.Duration(sch.Rand.Int64N(int64(delay))))
		return false
	case now.Before(sch.appendAt):
		return false
	default:
		// If the append fails, the snapshot is still due, so the next step starts another delay.
		sch.appendAt = time.Time{}
		return true
	}
}
