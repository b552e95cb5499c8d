package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
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
	_, accepted := c.callers.Submit(context.Background(), "ms=100 failfirst=0.05", []emulator.Step{{Count: 3000, CPU: 200, MemoryMB: 10, Estimate: 100}})
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
		c.awaitReady(owner)
	}
	c.awaitJobsWhile(2 * time.Second)
	c.Expect(c.p.Checker.Ends("done")).To(BeNumerically(">=", 2400))
	c.Expect(strings.Join(c.p.Store.Values(jobstore.ProgressPrefix), "")).To(BeEmpty())
}

// Guards against an owner whose memory or whose time under its lock grows with the tasks that a job has, and
// not with those that run: jobs without end run beside ordinary ones until they are cancelled.
func TestJobsWithoutEndLeaveOthersAlone(t *testing.T) {
	const maxMemoryKB = 200 << 10
	c := newCell(t, 3, emulator.Options{Workers: 4})
	small := emulator.Step{Count: 1, CPU: 100, MemoryMB: 10, Estimate: 100}
	wide := small
	wide.Count = 1<<31 - 1
	ctx := context.Background()
	endless := []string{}
	for _, submit := range []func() (string, bool){
		func() (string, bool) { return c.callers.Submit(ctx, "ms=100", []emulator.Step{wide}) },
		func() (string, bool) {
			return c.callers.SubmitScheduled(ctx, "ms=100", []emulator.Step{small}, startIn(0, 1<<53-1, 50*time.Millisecond))
		},
		func() (string, bool) {
			return c.callers.SubmitScheduled(ctx, "ms=100", []emulator.Step{small}, emulator.Schedule{Repeat: 1<<31 - 1, StartAtMs: 1})
		},
	} {
		id, accepted := submit()
		c.Expect(accepted).To(BeTrue())
		endless = append(endless, id)
	}
	load, stop := context.WithTimeout(ctx, 8*time.Second)
	defer stop()
	c.startLoad(load, 10, quickJob).Wait()
	for n := range c.hosts {
		c.Expect(c.memoryKB(n)).To(BeNumerically("<", maxMemoryKB), "host %d", n)
	}
	c.Eventually(func() int { return c.callers.Counts().Accepted }).Should(BeNumerically(">=", 80))
	for _, id := range endless {
		c.Expect(c.callers.Cancel(ctx, id)).To(Equal(http.StatusOK))
	}
	counts := c.awaitJobs(20 * time.Second)
	c.Expect(counts.Cancelled).To(Equal(len(endless)))
	c.Expect(counts.Completed).To(Equal(counts.Accepted - len(endless)))
}

// memoryKB returns the memory that the process of a host uses.
func (c *cell) memoryKB(n int) (kb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.hosts[n].cmd.Process.Pid))
	c.Expect(err).NotTo(HaveOccurred())
	_, rss, found := strings.Cut(string(status), "VmRSS:")
	c.Expect(found).To(BeTrue())
	_, err = fmt.Sscan(rss, &kb)
	c.Expect(err).NotTo(HaveOccurred())
	return kb
}
