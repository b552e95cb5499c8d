package platform_test

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// submit submits a job, which has to be accepted, and returns the IDs of the job and of its first task.
func (c *cell) submit(k jobKind) (id, task string) {
	id, accepted := c.callers.Submit(context.Background(), k.spec, k.steps)
	c.Expect(accepted).To(BeTrue())
	return id, id + ".0.0.0"
}

func (c *cell) state(id string) func() string {
	return func() string { return c.callers.State(context.Background(), id) }
}

// Guards against a task that is started without end because no owner sees more than one of the crashes it
// causes: each owner is killed as soon as a worker has crashed while running the task, before the owner can
// detect that. The starts recorded in the store have to suffice. The platform reports starts after the third
// crash and jobs that are given up without a cause as violations.
func TestCrashLimitHoldsWhenEachOwnerIsKilled(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 8})
	c.runUnderLoad(3*time.Second, func() {})
	id, task := c.submit(crashJob)
	for crashes := 1; crashes <= 5 && c.state(id)() != "failed"; crashes++ {
		c.Eventually(func() bool {
			return c.p.Checker.Crashes(task) >= crashes || c.state(id)() == "failed"
		}, "30s", "5ms").Should(BeTrue())
		n := c.owner()
		c.kill(n)
		c.Eventually(c.owner, "10s", "20ms").ShouldNot(Equal(n))
		c.start(n)
	}
	c.Eventually(c.state(id), "40s", "100ms").Should(Equal("failed"))
	c.awaitJobs(40 * time.Second)
}

func TestCrashingJobsFailWhileOthersComplete(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 8, Advice: true})
	var failing []string
	c.runUnderLoad(6*time.Second, func() {
		for _, k := range []jobKind{crashJob, crashJob, crashGang} {
			id, _ := c.submit(k)
			failing = append(failing, id)
			time.Sleep(300 * time.Millisecond)
		}
	})
	for _, id := range failing {
		c.Eventually(c.state(id), "40s", "100ms").Should(Equal("failed"))
	}
	c.awaitJobs(40 * time.Second)
}

// Changes the capacity of workers while they are full. The platform checks each start against the worker's
// capacity.
func TestWorkerCapacityChanges(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 4})
	c.runUnderLoad(12*time.Second, func() {
		for n := range 3 {
			for _, w := range c.p.Workers {
				w.SetCapacity(int64(1000*(1+n)), emulator.WorkerMemoryMB/4)
			}
			time.Sleep(3600 * time.Millisecond)
			for _, w := range c.p.Workers[:2] {
				w.SetCapacity(emulator.WorkerCPUMillis, emulator.WorkerMemoryMB)
			}
		}
		for _, w := range c.p.Workers {
			w.SetCapacity(emulator.WorkerCPUMillis, emulator.WorkerMemoryMB)
		}
	})
	c.awaitJobs(60 * time.Second)
}
