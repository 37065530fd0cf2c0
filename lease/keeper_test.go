package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/provider"
)

// retention is the time for which the log keeps records in tests that set no other.
const retention = 24 * time.Hour

// memoryLog is a log in memory that can be down, or store appended records and fail to answer.
type memoryLog struct {
	streams    map[string][]provider.Record
	loseAnswer bool
	down       bool
}

// Append adds a record.
func (mlg *memoryLog) Append(_ context.Context, stream string, body []byte) (int64, error) {
	if mlg.down {
		return 0, trace.ConnectionProblem(nil, "log is down")
	}
	if mlg.streams == nil {
		mlg.streams = map[string][]provider.Record{}
	}
	offset := int64(len(mlg.streams[stream])) + 1
	mlg.streams[stream] = append(mlg.streams[stream], provider.Record{Offset: offset, At: time.Now(), Body: body})
	if mlg.loseAnswer {
		return 0, trace.ConnectionProblem(nil, "answer lost")
	}
	return offset, nil
}

// Read returns the records from an offset on.
func (mlg *memoryLog) Read(_ context.Context, stream string, from int64, _ time.Duration) (provider.Batch, error) {
	if mlg.down {
		return provider.Batch{}, trace.ConnectionProblem(nil, "log is down")
	}
	next := int64(len(mlg.streams[stream])) + 1
	return provider.Batch{First: 1, Next: next, Records: mlg.streams[stream][min(max(from, 1), next)-1:]}, nil
}

func follow(t *testing.T, keepers ...*Keeper) {
	t.Helper()
	for _, kep := range keepers {
		if err := kep.ReadLeases(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		kep.Watch([]string{"llm"})
		if err := kep.ReadRenewals(t.Context(), "llm"); err != nil {
			t.Fatal(err)
		}
	}
}

func checkOrder(t *testing.T, kep *Keeper, checksFence bool, want bool) {
	t.Helper()
	if token, got := kep.MayOrder("llm", checksFence); got != want {
		t.Errorf("holder %s, engine checks token %v: got order allowed %v with token %d; want %v", kep.Holder, checksFence, got, token, want)
	}
}

// Guards against two daemons that order the same engines at a takeover. That happens if a holder that cannot read the
// log goes on with orders after its lease ran out, or if its successor orders engines that don't check tokens before
// the holder's last order has taken effect. Guards as well against a holder that loses its lease because the answer to
// its append was lost.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mlg := &memoryLog{loseAnswer: true}
		one, two := NewKeeper(mlg, "one", retention), NewKeeper(mlg, "two", retention)
		follow(t, one, two)
		if err := one.Take(t.Context(), "llm"); err == nil {
			t.Fatal("got an answer; want it lost")
		}
		follow(t, one, two)
		checkOrder(t, one, false, true)
		checkOrder(t, two, true, false)
		if two.TakeDue("llm", 0) {
			t.Error("got a lease due while its holder lives; want none")
		}
		mlg.down = true
		time.Sleep(Duration - Margin)
		checkOrder(t, one, true, false)
		time.Sleep(Margin)
		if two.TakeDue("llm", 0) {
			t.Error("got a lease due though the log cannot be read; want none")
		}
		mlg.down = false
		follow(t, two)
		if !two.TakeDue("llm", 0) || two.TakeDue("llm", 2*time.Second) {
			t.Error("got no lease due at 10 s, or one due in the grace period; want it due only without a grace period")
		}
		_ = two.Take(t.Context(), "llm")
		follow(t, one, two)
		checkOrder(t, one, true, false)
		checkOrder(t, two, true, true)
		checkOrder(t, two, false, false)
		for range 12 {
			time.Sleep(time.Second)
			_ = two.Take(t.Context(), "llm")
			follow(t, two)
		}
		checkOrder(t, two, false, true)
	})
}

// Guards against one daemon that takes the leases of all pools because it checks them before the daemons that are
// first in the pools' rankings do.
func TestVacantPoolWaitsForGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kep := NewKeeper(&memoryLog{}, "one", retention)
		follow(t, kep)
		if kep.TakeDue("llm", 2*time.Second) {
			t.Error("got a vacant pool due at once; want a grace period for the daemon of the first rank")
		}
		time.Sleep(2 * time.Second)
		if !kep.TakeDue("llm", 2*time.Second) {
			t.Error("got no lease due after the grace period; want one")
		}
	})
}
