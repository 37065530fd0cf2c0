package control

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

// A process that was paused holds a configuration in which a key may have been withdrawn meanwhile. Its view must count
// as stale until the store has been read, but not for long if the store can't be read.
func TestPauseMakesViewStale(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	now := time.Unix(1_700_000_000, 0)
	ctl := New()
	ctl.Logger = logger
	for _, stp := range []struct {
		name  string
		after time.Duration
		// tick and read say whether the control goroutine and the store's reader have run.
		tick, read, want bool
	}{
		{name: "start", tick: true, read: true},
		{name: "usual tick", after: 100 * time.Millisecond, tick: true},
		{name: "woken before the control goroutine", after: 5 * time.Second, want: true},
		{name: "woken", tick: true, want: true},
		{name: "store read", after: 10 * time.Millisecond, tick: true, read: true},
		{name: "second pause", after: 2 * time.Second, tick: true, want: true},
		{name: "store can't be read", after: resumeTime, tick: true},
	} {
		now = now.Add(stp.after)
		if stp.tick {
			ctl.notePause(now)
		}
		if stp.read {
			StoreRead{}.Apply(now, ctl)
		}
		if stp.tick || stp.read {
			ctl.publish()
		}
		if got := ctl.Snapshot().IsStale(now); got != stp.want {
			t.Errorf("%s: got stale %v, want %v", stp.name, got, stp.want)
		}
	}
}

// A store that returns from a copy may lack entries that endpoints write again within 1.2 s; the removal of an entry must wait for
// that. At the start, when each topic shows the era for the first time, it must not wait: the endpoint may stop 2 s later.
func TestEraDelaysRemovals(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	for _, cse := range []struct {
		name         string
		eras         []StoreEra
		restores     int64
		wantEndpoint bool
	}{
		{"start", []StoreEra{{Era: 3}, {Era: 3}, {Era: 3}}, 0, false},
		{"restored", []StoreEra{{Era: 3}, {Era: 4, Before: 3}, {Era: 4, Before: 3}}, 1, true},
		{"twice", []StoreEra{{Era: 3}, {Era: 4, Before: 3}, {Era: 6, Before: 4}}, 2, true},
		{"lower", []StoreEra{{Era: 3}, {Era: 2, Before: 3}}, 1, true},
	} {
		now := time.Unix(1_700_000_000, 0)
		ctl := New()
		ctl.Logger = logger
		EndpointUpdate{Endpoints: []catalog.Endpoint{{ID: "e", State: catalog.StateReady, StartedAt: 1}}}.Apply(now, ctl)
		for _, era := range cse.eras {
			era.Apply(now, ctl)
		}
		EndpointUpdate{Whole: true}.Apply(now, ctl)
		ctl.publish()
		snp := ctl.Snapshot()
		if got := snp.has("e"); got != cse.wantEndpoint || snp.StoreRestores != cse.restores {
			t.Errorf("%s: got endpoint kept %t, %d restores, want %t, %d", cse.name, got, snp.StoreRestores, cse.wantEndpoint, cse.restores)
		}
	}
}
