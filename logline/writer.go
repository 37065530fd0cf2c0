// Package logline writes structured log lines without blocking the logging goroutines, and reads such logs.
package logline

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxBytesPerSecond limits the log under load. A line has about 300 bytes, so this is enough for a line about each of
	// 800 requests per second.
	maxBytesPerSecond = 256 << 10
	// maxBurstBytes is the number of bytes that are accepted at once. It is also roughly the memory that queued lines use
	// when the reader of the output is stuck.
	maxBurstBytes = 512 << 10
	// lineBuffer is the number of lines that wait for the reader at most.
	lineBuffer = 2048
	// reportInterval is the time between two lines about dropped lines.
	reportInterval = time.Second
)

// Writer buffers log lines, so that a slow or stuck reader of the output does not block the goroutines that log.
// It drops lines that exceed the rate limit or the buffer, counts them and logs the count.
type Writer struct {
	Output io.Writer
	Now    func() time.Time

	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

// NewWriter returns a writer to an output; lines reach the output only while Run is running.
func NewWriter(output io.Writer) *Writer {
	return &Writer{
		Output: output, Now: time.Now,
		limiter: rate.NewLimiter(maxBytesPerSecond, maxBurstBytes), lines: make(chan []byte, lineBuffer),
	}
}

// Write queues a line for Run or drops it; it never blocks and never fails.
func (wri *Writer) Write(line []byte) (int, error) {
	if !wri.limiter.AllowN(wri.Now(), len(line)) {
		wri.drop()
		return len(line), nil
	}
	select {
	case wri.lines <- append([]byte(nil), line...):
	default:
		wri.drop()
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (wri *Writer) Dropped() int64 {
	return wri.total.Load()
}

func (wri *Writer) drop() {
	wri.dropped.Add(1)
	wri.total.Add(1)
}

// Run writes queued lines to the output until the context ends, then the lines that are still queued.
func (wri *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-wri.lines:
			wri.output(line)
		case <-ticker.C:
			wri.report()
		case <-ctx.Done():
			wri.flush()
			return
		}
	}
}

func (wri *Writer) flush() {
	for {
		select {
		case line := <-wri.lines:
			wri.output(line)
		default:
			wri.report()
			return
		}
	}
}

func (wri *Writer) report() {
	if count := wri.dropped.Swap(0); count > 0 {
		wri.output(fmt.Appendf(nil, `{"level":"warning","msg":"log lines dropped","count":%d,"time":%q}`+"\n",
			count, wri.Now().UTC().Format(time.RFC3339Nano)))
	}
}

// output writes a line. It ignores errors, since there is no other place to report a failure of the log.
func (wri *Writer) output(line []byte) {
	_, _ = wri.Output.Write(line)
}
