package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration, or until ctx ends if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
