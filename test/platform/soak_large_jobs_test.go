package platform_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// randomValueBytes draws the largest value of the store: the usual one, or one that large jobs outgrow if each
// ended task has a row. Another build may not bear the latter.
func randomValueBytes(r *rand.Rand) int {
	if *otherBuild != "" || r.IntN(2) == 0 {
		return 0
	}
	return 16 << 10
}

// startLargeJobs submits jobs of hundreds of tasks, with a schedule or a wide step, until ctx ends.
func (c *cell) startLargeJobs(ctx context.Context, r *rand.Rand, wg *sync.WaitGroup) {
	wg.Go(func() {
		for ctx.Err() == nil {
			step := emulator.Step{Count: 100 + r.IntN(700), CPU: 50 + r.Int64N(200), MemoryMB: 20, Estimate: 100}
			schedule := emulator.Schedule{}
			spec := "ms=100 fail=0.01"
			if r.IntN(2) == 0 {
				step.Count = 1 + r.IntN(24)
				schedule = startIn(randomDuration(r, -time.Minute, time.Second), 20+r.IntN(30), randomDuration(r, 1, 100*time.Millisecond))
			}
			wg.Go(func() { c.callers.SubmitScheduled(context.Background(), spec, []emulator.Step{step}, schedule) })
			time.Sleep(randomDuration(r, time.Second, 4*time.Second))
		}
	})
}
