package logline

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckOutput is an output whose reader has stopped reading: writes block until release is closed.
type stuckOutput struct {
	release chan struct{}
	mutex   sync.Mutex
	text    strings.Builder
}

func (out *stuckOutput) Write(line []byte) (int, error) {
	<-out.release
	out.mutex.Lock()
	defer out.mutex.Unlock()
	return out.text.Write(line)
}

// A log reader that stops reading must not block the goroutines that log, and the number of dropped lines must be logged.
func TestStuckReaderDoesNotBlockLoggers(t *testing.T) {
	out := &stuckOutput{release: make(chan struct{})}
	now := time.Unix(1_700_000_000, 0)
	wri := NewWriter(out)
	wri.Now = func() time.Time { return now }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		wri.Run(ctx)
	}()
	const lines = 3 * lineBuffer
	for range lines {
		if _, err := wri.Write([]byte("{\"msg\":\"line\"}\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got, least := wri.Dropped(), int64(lines-lineBuffer-1); got < least {
		t.Errorf("got %d dropped lines, want at least %d", got, least)
	}
	close(out.release)
	cancel()
	<-done
	if got, want := out.text.String(), `"msg":"log lines dropped"`; !strings.Contains(got, want) {
		t.Errorf("got no line %s", want)
	}
}

// The log must stay within the rate limit however many lines are logged.
func TestWriterLimitsRate(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var out strings.Builder
	wri := NewWriter(&out)
	wri.Now = func() time.Time { return now }
	line := []byte(strings.Repeat("x", 1023) + "\n")
	written := 0
	for second := range 10 {
		for range 2000 {
			if _, err := wri.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		for len(wri.lines) > 0 {
			written += len(<-wri.lines)
		}
		now = time.Unix(1_700_000_000+int64(second)+1, 0)
	}
	if got, want := written, maxBurstBytes+9*maxBytesPerSecond; got > want {
		t.Errorf("got %d bytes in 10 s, want at most %d", got, want)
	}
}
