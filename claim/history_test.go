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

// fakeLog is a log that, depending on its mode, is down or slow, loses the answers to appends or lets appends take
// effect after their deadline. It can also remove expired records.
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

// fakeMesh connects the acquirers of one process. While it is lossy, calls reach the peer but their answers are lost.
type fakeMesh struct {
	mutex sync.Mutex
	lossy bool
	// frozen is the address of a daemon that accepts calls but never handles them.
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

// history records the outcomes of attempts and the faults that they showed.
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
	node, key                   int
	start, pause                time.Duration
	callerCancels, dialsRefused bool
}

type fault struct {
	at   time.Duration
	mode string
}

// run makes an attempt in the same way as package entry.
func (his *history) run(acq *Acquirer, name string, atm attempt) {
	replaces := ""
	left := AcquireTimeout
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
	if atm.callerCancels {
		acq.Ledger.GiveUp(time.Now(), id)
		his.note(func() { his.notRun[name] = true })
		return
	}
	if !acq.Ledger.Dispatch(id) {
		his.note(func() { his.problems = append(his.problems, "a granted claim could not be dispatched") })
		return
	}
	if atm.dialsRefused {
		// All endpoints refused the connection, so none can have begun the request.
		acq.Ledger.GiveUp(time.Now(), id)
		his.note(func() { his.notRun[name] = true })
		return
	}
	his.note(func() { his.dispatched[held.KeyDigest] = append(his.dispatched[held.KeyDigest], name) })
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
		// All requests and appends in flight end within this time.
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

// check returns the violations of the guarantee that at most one attempt with a key sends its request, and none that
// reported notRun.
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

// Guards against a request that is sent twice, or after notRun was reported, because the log loses answers, is slow or
// down or lets appends take effect late, peers' answers are lost, or several daemons write one shard at once.
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
				callerCancels: rapid.Bool().Draw(rt, "leaves"), dialsRefused: rapid.Bool().Draw(rt, "failed"),
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

// Guards against a key that no later attempt can use because the claim of a refused attempt was appended late and
// holds it.
func TestGivenUpKeyRunsLater(t *testing.T) {
	for _, agree := range []bool{true, false} {
		his := replay(t, agree, []attempt{{node: 0, key: 1, start: time.Millisecond}, {node: 1, key: 1, start: 2 * time.Second}},
			[]fault{{0, "late"}, {time.Second, ""}})
		if got := his.dispatched[testKey("1")]; !slices.Equal(got, []string{"attempt-1"}) || !his.notRun["attempt-0"] {
			t.Errorf("got dispatches %v, notRun %v; want attempt-1 after attempt-0 was refused", got, his.notRun)
		}
	}
}

// Guards against one append for each claim, which would overload the log; claims that arrive together share a record.
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

// Guards against a writer that has just started and grants a key that a claim on the stream already holds, and against
// writers that fail because the records at their next offset have been removed from the log.
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
			// The new key belongs to the shard whose records have expired.
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

// Guards against a shard whose keys nobody can claim while its first writer does not answer.
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
		time.Sleep(AcquireTimeout)
	})
}
