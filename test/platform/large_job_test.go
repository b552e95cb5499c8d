package platform_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// smallValueBytes is a limit for values of the store that a job of a few hundred ended tasks exceeds if each
// of them has a row.
const smallValueBytes = 6000

// startIn returns a schedule that begins after a time.
func startIn(d time.Duration, repeat int, interval time.Duration) emulator.Schedule {
	return emulator.Schedule{Repeat: repeat, StartAtMs: time.Now().Add(d).UnixMilli(), IntervalMs: interval.Milliseconds()}
}

// awaitJobsWhile submits ordinary jobs for a while, waits until all jobs have ended and checks that all of them
// are completed, and that the store keeps no progress.
func (c *cell) awaitJobsWhile(submitting time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), submitting)
	defer cancel()
	c.startLoad(ctx, 10, quickJob).Wait()
	counts := c.awaitJobs(40 * time.Second)
	c.Expect(counts.Failed).To(BeZero())
	c.Eventually(func() []string { return c.p.Store.Values(jobstore.ProgressPrefix) }, "5s", "50ms").Should(BeEmpty())
}

// Guards against the progress of a scheduled job that grows with each ended task until the store refuses the
// value, which held up the commits of all jobs.
func TestScheduledJobOutgrowsAValueOfTheStore(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 4, MaxValueBytes: smallValueBytes})
	_, accepted := c.callers.SubmitScheduled(context.Background(), "ms=100", []emulator.Step{{Count: 24, CPU: 100, MemoryMB: 10, Estimate: 100}}, startIn(0, 60, 100*time.Millisecond))
	c.Expect(accepted).To(BeTrue())
	c.awaitJobsWhile(6 * time.Second)
}

// Guards against the same for a job with one wide step.
func TestWideJobOutgrowsAValueOfTheStore(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 4, MaxValueBytes: smallValueBytes})
	_, accepted := c.callers.Submit(context.Background(), "ms=100 fail=0.05", []emulator.Step{{Count: 3000, CPU: 200, MemoryMB: 10, Estimate: 100}})
	c.Expect(accepted).To(BeTrue())
	c.awaitJobsWhile(6 * time.Second)
}

// Guards against a new owner that repeats tasks whose ends an earlier one has committed in segments.
func TestNewOwnersGoOnWithALargeJob(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 4, MaxValueBytes: smallValueBytes})
	id, accepted := c.callers.SubmitScheduled(context.Background(), "ms=100", []emulator.Step{{Count: 24, CPU: 100, MemoryMB: 10, Estimate: 100}}, startIn(0, 100, 100*time.Millisecond))
	c.Expect(accepted).To(BeTrue())
	c.Eventually(func() string { return string(c.p.Store.Value(jobstore.ProgressPrefix + id)) }, "20s", "20ms").Should(ContainSubstring(`"size"`), "the progress is in segments")
	for range 3 {
		owner := c.owner()
		c.kill(owner)
		c.Eventually(c.owner, "10s", "20ms").ShouldNot(BeElementOf(-1, owner))
		c.start(owner)
		time.Sleep(time.Second)
	}
	c.awaitJobsWhile(2 * time.Second)
	c.Expect(c.p.Checker.Ends("done")).To(BeNumerically(">=", 2400))
	c.Expect(strings.Join(c.p.Store.Values(jobstore.ProgressPrefix), "")).To(BeEmpty())
}
