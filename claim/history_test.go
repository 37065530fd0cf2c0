package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"papayacroft/membership"
	"papayacroft/provider"
)

// fakeLog is a log that loses answers, lets appends take effect late, is slow or down, and expires records.
type fakeLog struct {
	mutex   sync.Mutex
	mode    string
	records map[string][]provider.Record
	first   map[string]int64
	appends map[string][]time.Time
}

var errLog = errors.New("log failed")

func newFakeLog() *fakeLog {
	return &fakeLog{records: map[string][]provider.Record{}, first: map[string]int64{}, appends: map[string][]time.Time{}}
}

func (log *fakeLog) set(mode string) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.mode = mode
	if mode == "expire" {
		for name, records := range log.records {
			kept := slices.IndexFunc(records, func(rec provider.Record) bool { return time.Since(rec.At) < tableLifetime })
			if kept < 0 {
				kept = len(records)
			}
			log.records[name] = records[kept:]
			log.first[name] += int64(kept)
		}
	}
}

func (log *fakeLog) put(stream string, body []byte) int64 {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	offset := log.first[stream] + int64(len(log.records[stream])) + 1
	log.records[stream] = append(log.records[stream], provider.Record{Offset: offset, At: time.Now(), Body: body})
	return offset
}

func (log *fakeLog) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	log.mutex.Lock()
	mode := log.mode
	log.appends[stream] = append(log.appends[stream], time.Now())
	log.mutex.Unlock()
	switch mode {
	case "down":
		return 0, errLog
	case "late":
		time.AfterFunc(700*time.Millisecond, func() { log.put(stream, body) })
		<-ctx.Done()
		return 0, ctx.Err()
	case "slow":
		time.Sleep(150 * time.Millisecond)
	}
	offset := log.put(stream, body)
	if mode == "loses" {
		return 0, errLog
	}
	return offset, nil
}

func (log *fakeLog) ReadPage(_ context.Context, stream string, from int64, _ time.Duration) (provider.Batch, error) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.mode == "down" {
		return provider.Batch{}, errLog
	}
	first := log.first[stream] + 1
	records := log.records[stream]
	start := min(max(from-first, 0), int64(len(records)))
	return provider.Batch{First: first, Next: first + int64(len(records)), Records: slices.Clone(records[start:])}, nil
}

// fakeMesh carries calls between acquirers in one process; lost calls reach the peer but their answers do not return.
type fakeMesh struct {
	mutex sync.Mutex
	lossy bool
	// frozen names a daemon that takes calls but does nothing.
	frozen string
	nodes  map[string]*Acquirer
}

func (msh *fakeMesh) Call(ctx context.Context, address, method string, params, result any) error {
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	if address == msh.frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	handle := msh.nodes[address].HandleAcquire
	if method == MethodResult {
		handle = msh.nodes[address].HandleResult
	}
	answer, err := handle(ctx, data)
	msh.mutex.Lock()
	lossy := msh.lossy
	msh.mutex.Unlock()
	if lossy {
		<-ctx.Done()
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	data, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// history notes what attempts did.
type history struct {
	mutex      sync.Mutex
	dispatched map[string][]string
	notRun     map[string]bool
	problems   []string
}

func (his *history) note(change func()) {
	his.mutex.Lock()
	defer his.mutex.Unlock()
	change()
}

type attempt struct {
	node, key      int
	start, pause   time.Duration
	leaves, failed bool
}

type fault struct {
	at   time.Duration
	mode string
}

// run takes an attempt the way that an entry daemon does.
func (his *history) run(acq *Acquirer, name string, atm attempt) {
	replaces := ""
	left := Timeout
	for left > 0 {
		started := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), left)
		held, own, err := acq.Acquire(ctx, testKey(fmt.Sprint(atm.key)), "0000000000000000", replaces)
		cancel()
		if time.Since(started) > left+time.Millisecond {
			his.note(func() { his.problems = append(his.problems, "acquire took longer than its limit") })
		}
		left -= time.Since(started)
		if err != nil {
			his.note(func() { his.notRun[name] = true })
			return
		}
		if own {
			his.dispatch(acq, name, atm, held)
			return
		}
		if acq.Result(context.Background(), held).State != StateGivenUp {
			return
		}
		replaces = held.ID
	}
	his.note(func() { his.notRun[name] = true })
}

func (his *history) dispatch(acq *Acquirer, name string, atm attempt, held Claim) {
	id := uuid.MustParse(held.ID)
	time.Sleep(atm.pause)
	if atm.leaves {
		acq.Ledger.GiveUp(time.Now(), id)
		his.note(func() { his.notRun[name] = true })
		return
	}
	if !acq.Ledger.Dispatch(id) {
		his.note(func() { his.problems = append(his.problems, "a granted claim could not be dispatched") })
		return
	}
	if atm.failed {
		// All endpoints refused the connection.
		acq.Ledger.GiveUp(time.Now(), id)
		his.note(func() { his.notRun[name] = true })
		return
	}
	his.note(func() { his.dispatched[held.Key] = append(his.dispatched[held.Key], name) })
	time.Sleep(20 * time.Millisecond)
	acq.Ledger.Finish(time.Now(), id, Result{State: StateAnswered, Status: 200})
}

func newNodes(log Log, agree bool) []*Acquirer {
	msh := &fakeMesh{nodes: map[string]*Acquirer{}}
	var members []membership.Member
	var nodes []*Acquirer
	for _, name := range []string{"one", "two", "three"} {
		acq := NewAcquirer(log, name, name)
		acq.Peers = msh
		msh.nodes[name] = acq
		nodes = append(nodes, acq)
		members = append(members, membership.Member{Name: name, Address: name, Incarnation: name, State: membership.StateLive})
	}
	if agree {
		for _, acq := range nodes {
			acq.Members = func() []membership.Member { return members }
		}
	}
	return nodes
}

func replay(t *testing.T, agree bool, attempts []attempt, faults []fault) *history {
	his := &history{dispatched: map[string][]string{}, notRun: map[string]bool{}}
	synctest.Test(t, func(*testing.T) {
		log := newFakeLog()
		nodes := newNodes(log, agree)
		var wgr sync.WaitGroup
		for _, flt := range faults {
			wgr.Go(func() {
				time.Sleep(flt.at)
				if msh := nodes[0].Peers.(*fakeMesh); flt.mode == "lossy" || flt.mode == "" {
					msh.mutex.Lock()
					msh.lossy = flt.mode == "lossy"
					msh.mutex.Unlock()
				}
				log.set(flt.mode)
			})
		}
		for i, atm := range attempts {
			wgr.Go(func() {
				time.Sleep(atm.start)
				his.run(nodes[atm.node], fmt.Sprint("attempt-", i), atm)
			})
		}
		wgr.Wait()
		// Every request and append that is still under way ends before the next script.
		time.Sleep(5 * time.Second)
		log.mutex.Lock()
		defer log.mutex.Unlock()
		for stream, times := range log.appends {
			for i := 1; agree && i < len(times) && len(faults) == 0; i++ {
				if times[i].Sub(times[i-1]) < appendInterval {
					his.problems = append(his.problems, "appends to "+stream+" are closer than their interval")
				}
			}
		}
	})
	return his
}

// check returns the broken promises of a history.
func (his *history) check() []string {
	problems := his.problems
	for key, names := range his.dispatched {
		if len(names) > 1 {
			problems = append(problems, fmt.Sprintf("key %s was dispatched by %v", key, names))
		}
		for _, name := range names {
			if his.notRun[name] {
				problems = append(problems, name+" was dispatched after notRun")
			}
		}
	}
	return problems
}

// Guards against a second dispatch of a key, and a dispatch after notRun, while the log loses answers, is late,
// slow or down, peers' answers get lost, and several daemons write one shard at once.
func TestAtMostOneDispatch(t *testing.T) {
	millis := func(rt *rapid.T, most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(rt, label)) * time.Millisecond
	}
	rapid.Check(t, func(rt *rapid.T) {
		var attempts []attempt
		for range rapid.IntRange(1, 10).Draw(rt, "attempts") {
			attempts = append(attempts, attempt{
				node: rapid.IntRange(0, 2).Draw(rt, "node"), key: rapid.IntRange(0, 1).Draw(rt, "key"),
				start: millis(rt, 1500, "start"), pause: millis(rt, 700, "pause"),
				leaves: rapid.Bool().Draw(rt, "leaves"), failed: rapid.Bool().Draw(rt, "failed"),
			})
		}
		var faults []fault
		for range rapid.IntRange(0, 4).Draw(rt, "faults") {
			mode := rapid.SampledFrom([]string{"", "down", "late", "slow", "loses", "lossy"}).Draw(rt, "mode")
			faults = append(faults, fault{millis(rt, 1500, "at"), mode})
		}
		if problems := replay(t, rapid.Bool().Draw(rt, "agree"), attempts, faults).check(); len(problems) > 0 {
			rt.Fatalf("%v", problems)
		}
	})
}

// Guards against a key that stays lost after its first claimant was refused and its claim landed late.
func TestGivenUpKeyRunsLater(t *testing.T) {
	for _, agree := range []bool{true, false} {
		his := replay(t, agree, []attempt{{node: 0, key: 1, start: time.Millisecond}, {node: 1, key: 1, start: 2 * time.Second}},
			[]fault{{0, "late"}, {time.Second, ""}})
		if got := his.dispatched[testKey("1")]; !slices.Equal(got, []string{"attempt-1"}) || !his.notRun["attempt-0"] {
			t.Errorf("got dispatches %v, notRun %v; want attempt-1 after attempt-0 was refused", got, his.notRun)
		}
	}
}

// Guards against one append for each claim: many claims of a moment share few records.
func TestGroupCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		nodes := newNodes(log, true)
		var wgr sync.WaitGroup
		for i := range 500 {
			wgr.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Millisecond)
				key := fmt.Sprintf("%032x", i)
				if _, own, err := nodes[i%3].Acquire(t.Context(), key, "0000000000000000", ""); err != nil || !own {
					t.Errorf("got own %v, error %v; want a grant", own, err)
				}
			})
		}
		wgr.Wait()
		log.mutex.Lock()
		defer log.mutex.Unlock()
		total := 0
		for _, times := range log.appends {
			total += len(times)
		}
		if total > 400 {
			t.Errorf("got %d appends in 1 s; want at most 400", total)
		}
	})
}

// Guards against a fresh writer that grants a key which the retained stream shows as held, and against writers that
// stop at records which have expired.
func TestFreshWriterReadsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newFakeLog()
		first, second := NewAcquirer(log, "one", "one"), NewAcquirer(log, "two", "two")
		key := testKey("a")
		if _, own, err := first.Acquire(t.Context(), key, "0000000000000000", ""); err != nil || !own {
			t.Fatalf("got own %v, error %v; want a grant", own, err)
		}
		held, own, err := second.Acquire(t.Context(), key, "0000000000000000", "")
		if err != nil || own || held.Claimant != "one" {
			t.Fatalf("got claimant %q, own %v, error %v; want the first claimant", held.Claimant, own, err)
		}
		time.Sleep(2 * tableLifetime)
		log.set("expire")
		for i, acq := range []*Acquirer{first, second, NewAcquirer(log, "three", "three")} {
			// All keys lie in the shard whose records have expired.
			other := key
			for num := 0; ShardStream(other) != ShardStream(key) || other == key; num++ {
				other = testKey(fmt.Sprint(i, "-", num))
			}
			if _, own, err := acq.Acquire(t.Context(), other, "0000000000000000", ""); err != nil || !own {
				t.Fatalf("got own %v, error %v after records expired; want a grant", own, err)
			}
		}
	})
}

// Guards against a shard that nobody can claim on while its writer is frozen or its answers get lost.
func TestWriterDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := newNodes(newFakeLog(), true)
		key := testKey("a")
		order := membership.Rendezvous(nodes[0].Members(), ShardStream(key))
		nodes[0].Peers.(*fakeMesh).frozen = order[0].Address
		claimant := nodes[slices.IndexFunc(nodes, func(acq *Acquirer) bool { return acq.Claimant == order[2].Incarnation })]
		started := time.Now()
		if _, own, err := claimant.Acquire(t.Context(), key, "0000000000000000", ""); err != nil || !own {
			t.Fatalf("got own %v, error %v; want a grant", own, err)
		}
		if took := time.Since(started); took < hedgeDelay || took > hedgeDelay+appendInterval {
			t.Errorf("got a grant after %s; want one by the second writer, after %s", took, hedgeDelay)
		}
		time.Sleep(Timeout)
	})
}
