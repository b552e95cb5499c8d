package platform_test

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// Guards against jobs that stand still beside room since a worker went for good at the time of the owner, though
// nobody can have started them.
func TestJobsAcceptedWithoutAnOwnerDoNotWaitForAGoneWorker(t *testing.T) {
	c := newCell(t, 4, emulator.Options{Workers: 12, Advice: true})
	const gone = 30 * time.Second
	c.p.Workers[3].Crash(gone)
	c.kill(c.owner())
	for range 12 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		c.callers.Submit(ctx, quickJob.spec, quickJob.steps)
		cancel()
	}
	counts := c.awaitJobs(20 * time.Second)
	c.Expect(counts.Accepted).To(BeNumerically(">=", 6))
	c.Expect(c.p.Checker.LongestIdle()).To(BeNumerically("<", 3*time.Second))
}
