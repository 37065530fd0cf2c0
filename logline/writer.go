// Package logline writes structured log lines without ever blocking, and reads them back.
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
	// maxBytesPerSecond bounds the log under load; a line has about 300 bytes, so that 800 requests a second fit.
	maxBytesPerSecond = 256 << 10
	// maxBurstBytes is what may come at once, and what a reader that stops reading costs in memory.
	maxBurstBytes  = 512 << 10
	lineBuffer     = 2048
	reportInterval = time.Second
)

// Writer hands lines to a slow or stopped reader without blocking those who log.
// Lines beyond the rate or the buffer are dropped and counted; the count is written as a line.
type Writer struct {
	Output io.Writer
	Now    func() time.Time

	limiter *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
}

// NewWriter returns a writer that needs its exported fields set before Run.
func NewWriter(output io.Writer) *Writer {
	return &Writer{
		Output: output, Now: time.Now,
		limiter: rate.NewLimiter(maxBytesPerSecond, maxBurstBytes), lines: make(chan []byte, lineBuffer),
	}
}

// Write takes a line or drops it; it never blocks and never fails.
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

// Run writes lines until the context ends, then what is left of them.
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

// output has nowhere to report a failure of the log itself.
func (wri *Writer) output(line []byte) {
	_, _ = wri.Output.Write(line)
}
