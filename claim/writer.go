package claim

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/provider"
)

const (
	// maxBatch bounds the claims of one record to about 60 KB.
	maxBatch = 256
	// logTimeout bounds one call of the log, so that a connection that does not answer does not block a shard for long.
	logTimeout = 500 * time.Millisecond
	// loadTimeout bounds the reading of a whole shard by a writer that has just started.
	loadTimeout = 30 * time.Second
	// maxWaiting bounds the claims that wait for one shard during an outage of the log.
	maxWaiting = 4096
)

// Log is the part of the platform's log that claims use.
type Log interface {
	Append(ctx context.Context, stream string, body []byte) (int64, error)
	ReadPage(ctx context.Context, stream string, from int64, wait time.Duration) (provider.Batch, error)
}

// writer appends the claims of one shard to the log, many in one record and one record at a time.
type writer struct {
	log    Log
	stream string

	mutex   sync.Mutex
	table   *Table
	pace    Pace
	waiting []*request
	running bool
	// loaded is true once the stream has been read to its end.
	loaded bool
}

// request is a claim whose outcome a caller waits for.
type request struct {
	ctx   context.Context
	claim Claim
	held  chan Claim
}

func newWriter(log Log, stream string) *writer {
	return &writer{log: log, stream: stream, table: NewTable()}
}

// submit queues a claim and returns the holder of its key once the claim has been read back from the log or has lost.
func (wri *writer) submit(ctx context.Context, clm Claim) (Claim, error) {
	req := &request{ctx: ctx, claim: clm, held: make(chan Claim, 1)}
	wri.mutex.Lock()
	held, settled := wri.table.Resolve(clm)
	full := !settled && len(wri.waiting) >= maxWaiting
	if !settled && !full {
		wri.waiting = append(wri.waiting, req)
		if !wri.running {
			wri.running = true
			go wri.run()
		}
	}
	wri.mutex.Unlock()
	if settled {
		return held, nil
	}
	if full {
		return Claim{}, trace.LimitExceeded("%d claims wait for stream %s", maxWaiting, wri.stream)
	}
	select {
	case held := <-req.held:
		return held, nil
	case <-ctx.Done():
		return Claim{}, trace.ConnectionProblem(ctx.Err(), "claim %s was not read back from stream %s", clm.ID, wri.stream)
	}
}

// run appends claims until none waits. An append that failed may still take effect, so it neither grants nor refuses
// its claims: they stay in the queue and are appended again. A second copy of a claim has no effect.
func (wri *writer) run() {
	for {
		delay, more := wri.nextAppend(time.Now())
		if !more {
			return
		}
		time.Sleep(delay)
		err := wri.catchUpOnce()
		if err == nil {
			err = wri.appendWaiting()
		}
		wri.mutex.Lock()
		wri.pace.Finished(time.Now(), err == nil)
		wri.mutex.Unlock()
	}
}

// catchUpOnce reads the whole stream before the first append. While the writer still reads an hour of records, a claim
// would exceed its deadline before it is read back, and appending it repeatedly would only add copies.
func (wri *writer) catchUpOnce() error {
	wri.mutex.Lock()
	loaded := wri.loaded
	wri.mutex.Unlock()
	if loaded {
		return nil
	}
	return wri.catchUp(0, logTimeout)
}

// appendWaiting appends a batch of the queued claims and reads them back.
func (wri *writer) appendWaiting() error {
	batch := wri.nextBatch(time.Now())
	if len(batch) == 0 {
		return nil
	}
	offset, err := wri.append(batch)
	if err != nil {
		_ = wri.catchUp(0, logTimeout)
		return trace.Wrap(err)
	}
	return wri.catchUp(offset, logTimeout)
}

// nextAppend answers decided claims, removes those whose callers no longer wait, and returns the time until the next
// append. more is false if no claim is left; a later submit must then start run again.
func (wri *writer) nextAppend(now time.Time) (delay time.Duration, more bool) {
	wri.mutex.Lock()
	defer wri.mutex.Unlock()
	wri.settle()
	wri.running = len(wri.waiting) > 0
	return wri.pace.Delay(now), wri.running
}

func (wri *writer) nextBatch(now time.Time) []Claim {
	wri.mutex.Lock()
	defer wri.mutex.Unlock()
	wri.settle()
	var batch []Claim
	for _, req := range wri.waiting[:min(len(wri.waiting), maxBatch)] {
		batch = append(batch, req.claim)
	}
	if len(batch) > 0 {
		wri.pace.Started(now)
	}
	return batch
}

// settle answers the queued claims that the table decides and removes those whose callers no longer wait; the caller
// holds the mutex.
func (wri *writer) settle() {
	var left []*request
	for _, req := range wri.waiting {
		held, settled := wri.table.Resolve(req.claim)
		switch {
		case settled:
			req.held <- held
		case req.ctx.Err() == nil:
			left = append(left, req)
		}
	}
	wri.waiting = left
}

func (wri *writer) append(batch []Claim) (int64, error) {
	body, err := Record{Claims: batch}.Serialize()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), logTimeout)
	defer cancel()
	offset, err := wri.log.Append(ctx, wri.stream, body)
	return offset, trace.Wrap(err)
}

// catchUp reads to the end of the stream. It fails if the stream ends before the record at the offset.
func (wri *writer) catchUp(offset int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		wri.mutex.Lock()
		from := wri.table.Next
		wri.mutex.Unlock()
		bat, err := wri.log.ReadPage(ctx, wri.stream, from, 0)
		if err != nil {
			return trace.Wrap(err)
		}
		next := wri.apply(time.Now(), bat)
		switch {
		case len(bat.Records) == 0 && next <= offset:
			return trace.NotFound("record %d is not on stream %s", offset, wri.stream)
		case len(bat.Records) == 0 || next > offset && !bat.More:
			return nil
		}
	}
}

func (wri *writer) apply(now time.Time, bat provider.Batch) int64 {
	wri.mutex.Lock()
	defer wri.mutex.Unlock()
	for _, rec := range bat.Records {
		wri.table.Apply(now, rec)
	}
	if len(bat.Records) == 0 {
		wri.table.Next = max(wri.table.Next, bat.First)
	}
	wri.loaded = wri.loaded || !bat.More
	wri.settle()
	return wri.table.Next
}

// prune removes the claims of keys that have expired.
func (wri *writer) prune(now time.Time) {
	wri.mutex.Lock()
	defer wri.mutex.Unlock()
	wri.table.Prune(now)
}
