package clock

import (
	"context"
	"time"
)

// Every calls f again and again, a period apart, until ctx ends. It is the loop of a duty.
func Every(ctx context.Context, period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
