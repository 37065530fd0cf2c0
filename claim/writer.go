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
	// logTimeout bounds one call of the log, so that a silent connection does not block a shard for long.
	logTimeout = 500 * time.Millisecond
	// loadTimeout bounds the reading of a whole shard by a fresh writer.
	loadTimeout = 30 * time.Second
	// maxWaiting bounds the claims that wait for one shard during an outage of the log.
	maxWaiting = 4096
)

// Log is the part of the platform's log that claims need.
type Log interface {
	Append(ctx context.Context, stream string, body []byte) (int64, error)
	ReadPage(ctx context.Context, stream string, from int64, wait time.Duration) (provider.Batch, error)
}

// writer puts claims of one shard on the log, many in one record and one append at a time.
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

// submit returns the holder of the claim's key after the claim has been read back from the log or has lost.
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

// run appends until no claim waits. An append that failed may still take effect, so its claims are neither
// granted nor refused by it: they stay in line, and a second copy of a claim has no effect.
func (wri *writer) run() {
	for {
		delay, more := wri.upkeep(time.Now())
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

// catchUpOnce reads the whole stream before the first append; claims that are appended while the writer is still
// reading an hour of records are refused by their deadline, and appending them again would add copies only.
func (wri *writer) catchUpOnce() error {
	wri.mutex.Lock()
	loaded := wri.loaded
	wri.mutex.Unlock()
	if loaded {
		return nil
	}
	return wri.catchUp(0, logTimeout)
}

// appendWaiting appends the claims in line and reads them back.
func (wri *writer) appendWaiting() error {
	batch := wri.take(time.Now())
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

// upkeep forgets claims that nobody waits for and says how long to wait before the next append.
func (wri *writer) upkeep(now time.Time) (delay time.Duration, more bool) {
	wri.mutex.Lock()
	defer wri.mutex.Unlock()
	wri.settle()
	wri.running = len(wri.waiting) > 0
	return wri.pace.Delay(now), wri.running
}

func (wri *writer) take(now time.Time) []Claim {
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

// settle answers the claims that the table decides; the caller holds the mutex.
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

// catchUp reads to the end of the stream, which must lie beyond the offset.
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

// prune drops claims of keys that have expired.
func (wri *writer) prune(now time.Time) {
	wri.mutex.Lock()
	defer wri.mutex.Unlock()
	wri.table.Prune(now)
}
