package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/inventory"
	"papayacroft/lease"
	"papayacroft/membership"
	"papayacroft/provider"
)

// leasePeriod is the simulated time over which the bytes of lease traffic are counted. The default keeps a run under the
// race detector short and includes no refresh of a lease; 10m includes two.
var leasePeriod = flag.Duration("lease-period", 50*time.Second, "simulated time over which bytes of leases are counted")

const (
	testRetention = 24 * time.Hour
	// responseHeaderBytes is the size of the headers that the log stand-in sends with a response.
	responseHeaderBytes = 120
)

var errLogDown = errors.New("log is down")

// fakeLog is an in-memory log that all daemons of a fleet share; each of them uses it through a readerLog.
type fakeLog struct {
	mutex   sync.Mutex
	streams map[string][]provider.Record
	// changed holds, for each stream with waiting readers, a channel that the next append closes.
	changed map[string]chan struct{}
}

// readerLog is one daemon's access to the log; it counts the records and bytes that the daemon receives.
type readerLog struct {
	*fakeLog
	records, bytes int
	// down makes this daemon's appends and reads fail.
	down bool
}

// Append adds a record.
func (rlg *readerLog) Append(_ context.Context, stream string, body []byte) (int64, error) {
	rlg.mutex.Lock()
	defer rlg.mutex.Unlock()
	if rlg.down {
		return 0, errLogDown
	}
	offset := int64(len(rlg.streams[stream])) + 1
	rlg.streams[stream] = append(rlg.streams[stream], provider.Record{Offset: offset, At: time.Now(), Body: body})
	if changed, ok := rlg.changed[stream]; ok {
		close(changed)
		delete(rlg.changed, stream)
	}
	return offset, nil
}

// Read returns the records from an offset on, waiting up to the given time for the first.
func (rlg *readerLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (provider.Batch, error) {
	bat, changed, off := rlg.read(stream, from)
	if len(bat.Records) == 0 && wait > 0 && !off {
		tmr := time.NewTimer(wait)
		defer tmr.Stop()
		select {
		case <-tmr.C:
		case <-changed:
		case <-ctx.Done():
		}
		bat, _, off = rlg.read(stream, from)
	}
	if off {
		return provider.Batch{}, errLogDown
	}
	data, err := json.Marshal(bat)
	rlg.mutex.Lock()
	defer rlg.mutex.Unlock()
	rlg.records, rlg.bytes = rlg.records+len(bat.Records), rlg.bytes+len(data)+responseHeaderBytes
	return bat, err
}

func (rlg *readerLog) read(stream string, from int64) (provider.Batch, <-chan struct{}, bool) {
	rlg.mutex.Lock()
	defer rlg.mutex.Unlock()
	next := int64(len(rlg.streams[stream])) + 1
	if rlg.changed[stream] == nil {
		rlg.changed[stream] = make(chan struct{})
	}
	return provider.Batch{First: 1, Next: next, Records: rlg.streams[stream][min(max(from, 1), next)-1:]}, rlg.changed[stream], rlg.down
}

// fleet is a group of daemons that compete for the leases of some pools.
type fleet struct {
	log     *fakeLog
	logs    []*readerLog
	leasers []*leaser
	pools   []string
	// gone holds the daemons that are gone according to gossip.
	gone map[string]bool
}

func newFleet(daemons, pools int) *fleet {
	flt := &fleet{log: &fakeLog{streams: map[string][]provider.Record{}, changed: map[string]chan struct{}{}}, gone: map[string]bool{}}
	cfg := &inventory.Configuration{Pools: map[string]inventory.Pool{}}
	for i := range pools {
		flt.pools = append(flt.pools, fmt.Sprintf("pool-%d", i))
		cfg.Pools[flt.pools[i]] = inventory.Pool{Name: flt.pools[i], Kind: inventory.PoolKindEngine}
	}
	idx := inventory.NewIndex(cfg)
	var vms []provider.VM
	for i := range daemons {
		vms = append(vms, provider.VM{Name: fmt.Sprintf("entry-%d", i), State: provider.VMLive})
	}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	for _, vmc := range vms {
		log := &readerLog{fakeLog: flt.log}
		flt.logs = append(flt.logs, log)
		flt.leasers = append(flt.leasers, &leaser{
			keeper: lease.NewKeeper(log, vmc.Name, testRetention), name: vmc.Name, logger: quiet,
			snapshot: func() *blackboard.Snapshot {
				flt.log.mutex.Lock()
				defer flt.log.mutex.Unlock()
				// The coarse time makes each daemon compute its ranks only once a minute, which keeps the test fast.
				snp := &blackboard.Snapshot{At: time.Now().Truncate(time.Minute), Index: idx, VMs: vms}
				for name := range flt.gone {
					snp.Members = append(snp.Members, membership.Member{Name: name, State: membership.StateGone})
				}
				return snp
			},
		})
	}
	return flt
}

// run starts the tasks of all daemons at random times within one second.
func (flt *fleet) run(ctx context.Context) {
	for _, lsr := range flt.leasers {
		for _, task := range []func(context.Context){lsr.follow, lsr.watch, lsr.maintain} {
			go func() {
				time.Sleep(rand.N(time.Second))
				task(ctx)
			}()
		}
	}
}

// holder returns the daemon that holds a pool's lease, or -1. It fails the test if a second holder may send orders.
func (flt *fleet) holder(t *testing.T, pool string) int {
	t.Helper()
	holder := -1
	for i, lsr := range flt.leasers {
		if lsr.keeper.Holds(pool) {
			if _, orders := lsr.keeper.MayOrder(pool, false); orders && holder >= 0 {
				t.Fatalf("got daemons %d and %d that may order %s; want one", holder, i, pool)
			}
			holder = i
		}
	}
	return holder
}

// Guards against lease traffic of more than 100 B/s on average per daemon at 400 daemons and 32 pools. Each daemon reads
// the lease stream, so that a shorter pause or larger records raise the traffic of all of them.
func TestLeaseBytesAtTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, pools, settle = 400, 32, time.Minute
		ctx, cancel := context.WithCancel(t.Context())
		flt := newFleet(daemons, pools)
		flt.run(ctx)
		time.Sleep(settle)
		records, bytes, most := 0, 0, 0
		flt.log.mutex.Lock()
		for _, log := range flt.logs {
			log.records, log.bytes = 0, 0
		}
		flt.log.mutex.Unlock()
		time.Sleep(*leasePeriod)
		flt.log.mutex.Lock()
		for _, log := range flt.logs {
			records, bytes, most = records+log.records, bytes+log.bytes, max(most, log.bytes)
		}
		flt.log.mutex.Unlock()
		for _, pool := range flt.pools {
			if flt.holder(t, pool) < 0 {
				t.Errorf("got no holder of %s; want one", pool)
			}
		}
		seconds := leasePeriod.Seconds()
		mean := float64(bytes) / daemons / seconds
		t.Logf("%.2f records/s, %.0f B/s a daemon, at most %.0f B/s", float64(records)/daemons/seconds, mean, float64(most)/seconds)
		if mean > 100 {
			t.Errorf("got %.0f B/s a daemon; want 100 at most", mean)
		}
		cancel()
		synctest.Wait()
	})
}

// lowestRanked returns the first daemons of a pool's order, up to the given count.
func (flt *fleet) lowestRanked(pool string, count int) []int {
	var first []int
	for i, lsr := range flt.leasers {
		if lsr.rank(lsr.snapshot(), pool) < count {
			first = append(first, i)
		}
	}
	return first
}

// cutOff makes the log fail for some daemons. With gossip, they also become gone; otherwise they stay live members.
func (flt *fleet) cutOff(daemons []int, gossip bool) {
	flt.log.mutex.Lock()
	defer flt.log.mutex.Unlock()
	for _, i := range daemons {
		flt.logs[i].down = true
		if gossip {
			flt.gone[flt.leasers[i].name] = true
		}
	}
}

// awaitHolder waits until a daemon other than the lost ones holds the pool's lease and returns it. It fails the test if
// that takes longer than within.
func (flt *fleet) awaitHolder(t *testing.T, pool string, lost []int, within time.Duration) int {
	t.Helper()
	started := time.Now()
	for {
		holder := flt.holder(t, pool)
		switch {
		case holder >= 0 && !slices.Contains(lost, holder):
			t.Logf("daemon %d holds the lease after %s", holder, time.Since(started))
			return holder
		case time.Since(started) > within:
			t.Fatalf("got holder %d after %s; want one other than %v", holder, within, lost)
		}
		time.Sleep(time.Second)
	}
}

// Guards against a pool that stays without a lease holder after all daemons that read its renewals fail together: the
// remaining daemons read no renewals at that time, so that none would see the lease expire.
func TestHolderAfterAllWatchersLost(t *testing.T) {
	for _, tst := range []struct {
		name string
		// gossip is true if the daemons are gone according to gossip; otherwise they live and only fail to reach the log.
		gossip bool
		within time.Duration
	}{
		{"gone", true, 2 * time.Minute},
		{"cut off from the log", false, 7 * time.Minute},
	} {
		t.Run(tst.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				flt := newFleet(12, 1)
				flt.run(ctx)
				time.Sleep(3 * time.Minute)
				pool := flt.pools[0]
				old, lost := flt.holder(t, pool), flt.lowestRanked(pool, lease.Watchers)
				if !slices.Contains(lost, old) {
					t.Fatalf("got holder %d; want one of %v", old, lost)
				}
				flt.cutOff(lost, tst.gossip)
				next := flt.awaitHolder(t, pool, lost, tst.within)
				time.Sleep(lease.Duration + lease.Margin + 2*time.Second)
				if _, ok := flt.leasers[next].keeper.MayOrder(pool, false); !ok {
					t.Errorf("got daemon %d without the right to send orders after the old lease ended; want it to have the right", next)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
