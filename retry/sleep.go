package retry

import (
	"context"
	"time"
)

// Sleep waits for a duration or until the context ends.
func Sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
	case <-ctx.Done():
	}
}
