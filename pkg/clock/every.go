package clock

import (
	"context"
	"time"
)

// Every calls f once per period until ctx ends. The first call is after one period.
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
