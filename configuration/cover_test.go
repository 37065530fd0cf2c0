package configuration

import (
	"testing"
	"time"

	"papayacroft/provider"
)

// Guards against needless traffic: if a fixed number of small publishes made a snapshot due, every daemon would
// read a snapshot of a large configuration far more often than the size of the publishes justifies.
func TestSnapshotIntervalDependsOnPublishSize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := []struct {
		name                      string
		snapshotSize, size, count int
		want                      bool
	}{
		{"few small publishes", 1000, 10, publishesPerSnapshot - 1, false},
		{"many small publishes after a small snapshot", 1000, 10, publishesPerSnapshot, true},
		{"many small publishes after a large snapshot", 1_000_000, 800, publishesPerSnapshot, false},
		{"publishes of half the size of a large snapshot", 1_000_000, 800, 625, true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			sta := NewState()
			sta.coverage.addSnapshot(1, now, tst.snapshotSize)
			for i := range tst.count {
				sta.coverage.addRecord(provider.Record{Offset: int64(i + 1), At: now, Body: make([]byte, tst.size)}, true)
			}
			if got := sta.SnapshotDue(now, 24*time.Hour); got != tst.want {
				t.Errorf("got due %t after %d publishes; want %t", got, tst.count, tst.want)
			}
			sta.coverage.addSnapshot(int64(tst.count+1), now, tst.snapshotSize)
			if sta.SnapshotDue(now, 24*time.Hour) {
				t.Error("got due after a snapshot; want not due")
			}
		})
	}
}
