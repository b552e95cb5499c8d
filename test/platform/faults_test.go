package platform_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// runUnderLoad submits jobs for the time load and calls inject meanwhile. It returns when both have ended.
func (c *cell) runUnderLoad(load time.Duration, inject func()) {
	ctx, cancel := context.WithTimeout(context.Background(), load)
	defer cancel()
	submissions := c.startLoad(ctx, 25, quickJob, chainJob, quickJob, gangJob)
	inject()
	<-ctx.Done()
	submissions.Wait()
}

func TestNoFaults(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6, Advice: true})
	c.runUnderLoad(3*time.Second, func() {})
	counts := c.awaitJobs(15 * time.Second)
	c.Expect(counts.Accepted).To(Equal(counts.Submitted))
	c.Expect(counts.Completed).To(BeNumerically(">=", counts.Accepted*9/10))
}

func TestKilledOwner(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(5*time.Second, func() {
		time.Sleep(time.Second)
		n := c.owner()
		c.kill(n)
		c.Eventually(c.owner, "4s", "20ms").ShouldNot(Equal(n))
		c.start(n)
	})
	c.awaitJobs(20 * time.Second)
}

func TestFrozenOwner(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(6*time.Second, func() {
		time.Sleep(time.Second)
		n := c.owner()
		c.signal(n, syscall.SIGSTOP)
		c.Eventually(c.owner, "4s", "20ms").ShouldNot(Equal(n))
		time.Sleep(time.Second)
		c.signal(n, syscall.SIGCONT)
	})
	c.awaitJobs(20 * time.Second)
}

func TestAllHostsKilledRightAfterAnAcknowledgement(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	for range 2 {
		_, accepted := c.callers.Submit(context.Background(), chainJob.spec, chainJob.steps)
		c.Expect(accepted).To(BeTrue())
		for n := range c.hosts {
			c.kill(n)
		}
		for n := range c.hosts {
			c.start(n)
		}
		for n := range c.hosts {
			c.awaitReady(n)
		}
	}
	c.Expect(c.awaitJobs(20 * time.Second).Completed).To(Equal(2))
}

func TestStoreOutageOfEachKind(t *testing.T) {
	for name, mode := range map[string]emulator.StoreMode{
		"busy": emulator.StoreBusy, "silent": emulator.StoreSilent, "reset": emulator.StoreReset,
	} {
		t.Run(name, func(t *testing.T) {
			c := newCell(t, 3, emulator.Options{Workers: 6})
			c.runUnderLoad(6*time.Second, func() {
				time.Sleep(time.Second)
				owner := c.owner()
				c.p.Store.SetMode(mode)
				time.Sleep(3 * time.Second)
				c.p.Store.SetMode(emulator.StoreUp)
				c.Expect(c.owner()).To(Equal(owner), "the owner keeps the pool through an outage that affects all hosts")
			})
			c.awaitJobs(20 * time.Second)
			c.Expect(c.p.Checker.Ends("lapsed")).To(BeZero(), "tasks continue through the outage")
		})
	}
}

func TestLostAnswersOfTheStore(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(5*time.Second, func() {
		c.p.Store.SetLostAnswers(0.35)
		time.Sleep(4 * time.Second)
		c.p.Store.SetLostAnswers(0)
	})
	c.awaitJobs(20 * time.Second)
}

func TestSlowStoreWithCompaction(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(5*time.Second, func() {
		c.p.Store.SetDelay(200 * time.Millisecond)
		for range 4 {
			time.Sleep(time.Second)
			c.p.Store.Compact()
		}
		c.p.Store.SetDelay(0)
	})
	c.awaitJobs(20 * time.Second)
}

func TestRevokedLeases(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(4*time.Second, func() {
		for range 3 {
			time.Sleep(time.Second)
			c.p.Store.EndLeases()
		}
	})
	c.awaitJobs(20 * time.Second)
}

func TestDelayedOrders(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(6*time.Second, func() {
		for _, w := range c.p.Workers {
			w.SetFault(emulator.WorkerFault{LateShare: 0.1, LateDelay: 2500 * time.Millisecond})
		}
		time.Sleep(4 * time.Second)
		for _, w := range c.p.Workers {
			w.SetFault(emulator.WorkerFault{})
		}
	})
	c.awaitJobs(30 * time.Second)
}

func TestWorkersThatCrashOrAreCutOff(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(8*time.Second, func() {
		time.Sleep(time.Second)
		c.p.Workers[0].Crash(2 * time.Second)
		c.p.Workers[1].SetFault(emulator.WorkerFault{Silent: true})
		time.Sleep(4 * time.Second)
		c.p.Workers[1].SetFault(emulator.WorkerFault{})
		c.p.Workers[2].Drain(2500 * time.Millisecond)
	})
	c.awaitJobs(30 * time.Second)
}

func TestWorkersThatFailOrStall(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(6*time.Second, func() {
		c.p.Workers[0].SetFault(emulator.WorkerFault{Fail: true})
		c.p.Workers[1].SetFault(emulator.WorkerFault{Stall: true})
		time.Sleep(4 * time.Second)
		c.p.Workers[0].SetFault(emulator.WorkerFault{})
		c.p.Workers[1].SetFault(emulator.WorkerFault{})
	})
	c.awaitJobs(30 * time.Second)
}

func TestRollingStops(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.runUnderLoad(14*time.Second, func() {
		for n := range c.hosts {
			c.terminate(n)
			c.start(n)
			c.awaitReady(n)
		}
	})
	c.awaitJobs(20 * time.Second)
}

func TestConcurrentResubmissionsRunOnce(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	id, accepted := c.callers.Submit(context.Background(), quickJob.spec, quickJob.steps)
	c.Expect(accepted).To(BeTrue())
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { c.callers.Resubmit(context.Background(), id) })
	}
	calls.Wait()
	c.awaitJobs(10 * time.Second)
	c.Expect(c.p.Checker.Ends("done")).To(Equal(2))
}

func TestCancelledJobIsStopped(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	id, accepted := c.callers.Submit(context.Background(), "ms=60000", quickJob.steps)
	c.Expect(accepted).To(BeTrue())
	state := func() string { return c.callers.State(context.Background(), id) }
	c.Eventually(state, "5s", "50ms").Should(Equal("running"))
	c.Expect(c.callers.Cancel(context.Background(), id)).To(Equal(http.StatusOK))
	c.Eventually(state, "5s", "50ms").Should(Equal("cancelled"))
	c.Eventually(func() int { return c.p.Checker.Ends("stopped") }, "5s", "50ms").Should(Equal(2))
	c.Expect(c.callers.State(context.Background(), "0123456789abcdef")).To(Equal("gone"))
}

func TestPendingCountsUnstartedJobs(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 1})
	wholeWorker := []emulator.Step{{Count: 1, CPU: emulator.WorkerCPUMillis, MemoryMB: 1000, Estimate: 60000}}
	for range 4 {
		_, accepted := c.callers.Submit(context.Background(), "ms=60000", wholeWorker)
		c.Expect(accepted).To(BeTrue())
	}
	c.Eventually(func() int {
		n, _ := c.callers.Pending(context.Background())
		return n
	}, "5s", "50ms").Should(Equal(3))
}

func TestNewestConfigurationIsApplied(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 2})
	c.p.Store.Compact()
	c.p.PutEmptyConfig(2)
	status := func() int { return c.callers.Probe(context.Background()) }
	c.Eventually(status, "2s", "20ms").Should(Equal(http.StatusNotFound))
	c.p.PutConfig(1) // an older version is never applied again
	c.Consistently(status, "1500ms", "50ms").Should(Equal(http.StatusNotFound))
	c.p.PutConfig(3)
	c.Eventually(status, "2s", "20ms").Should(Equal(http.StatusOK))
}

func TestMaintenanceWave(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 5})
	c.runUnderLoad(9*time.Second, func() {
		time.Sleep(2 * time.Second)
		c.p.PutWave(emulator.Wave{Number: 1, Machines: c.p.MachinesOf(3), AtOnce: 1, Duration: 12 * time.Second})
		state := func() string { return c.p.WaveState(1) }
		c.Eventually(state, "3s", "50ms").Should(Equal("running"))
		time.Sleep(time.Second)
		c.kill(c.owner())
		c.Eventually(state, "25s", "50ms").Should(Equal("completed"))
		serviced, maxAtOnce := c.p.Upkeep(1)
		c.Expect(serviced).To(Equal(3))
		c.Expect(maxAtOnce).To(Equal(1))
	})
	c.awaitJobs(20 * time.Second)
}

func TestMetricsAndJobStatus(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 1})
	id, accepted := c.callers.Submit(context.Background(), "ms=60000", quickJob.steps)
	c.Expect(accepted).To(BeTrue())
	state := func() string { return c.callers.State(context.Background(), id) }
	c.Eventually(state, "5s", "50ms").Should(Equal("running"))
	for n := range c.hosts {
		host := c.hosts[n].host.Operator
		status, metrics := httpGet("http://" + host + "/metrics")
		c.Expect(status).To(Equal(http.StatusOK))
		c.Expect(metrics).To(ContainSubstring("jobs.accept.p99_ms"))
		status, answer := httpGet("http://" + host + "/jobs/" + id)
		if n != c.owner() {
			c.Expect(status).To(Equal(http.StatusMisdirectedRequest))
			continue
		}
		c.Expect(status).To(Equal(http.StatusOK))
		c.Expect(answer).To(ContainSubstring(`"state":"running"`))
		c.Expect(metrics).To(ContainSubstring("pool.run_ordered 2"))
	}
}

func httpGet(url string) (status int, body string) {
	res, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text)
}
