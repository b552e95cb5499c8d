package platform_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against jobs that stand still beside room while a new owner waits for workers that went at the same time as
// the owner before it.
func TestJobsOfAFormerOwnerDoNotWaitForGoneWorkers(t *testing.T) {
	c := newBusyCell(t)
	const gone = 40 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), 36*time.Second)
	defer cancel()
	load := &busyLoad{cell: c}
	submissions := load.start(ctx, rand.New(rand.NewPCG(1, 0)))
	for i := range 2 {
		time.Sleep(3 * time.Second)
		c.p.Workers[7+i].Crash(gone)
		c.p.Workers[20+i].Crash(gone)
		c.kill(c.owner())
		time.Sleep(12 * time.Second)
	}
	submissions.Wait()
	c.awaitJobs(60 * time.Second)
}
