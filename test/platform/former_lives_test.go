package platform_test

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// longJob outlasts a takeover. A worker has room for five of them.
var longJob = jobKind{"ms=13000", []emulator.Step{{Count: 1, CPU: emulator.WorkerCPUMillis / 5, MemoryMB: 100, Estimate: 13000}}}

// Guards against a task that a new owner starts beside a run on a worker that is cut off: the worker has restarted
// under its ID, and has taken a longer lease than owners give from a deadline by its former clock.
func TestRestartedWorkersAreCutOffAfterTheOwnerIsKilled(t *testing.T) {
	const (
		affected  = 5 // of twice as many workers
		downtime  = 600 * time.Millisecond
		untilKill = 2 * time.Second // from the crash
		untilCut  = 600 * time.Millisecond
		cut       = 9 * time.Second
	)
	c := newCell(t, 4, emulator.Options{Workers: 2 * affected, KeepIDs: true, MaxHold: 10 * time.Second})
	c.awaitOwnerLinks()
	time.Sleep(time.Second)
	for _, w := range c.p.Workers[:affected] {
		w.Crash(downtime)
	}
	time.Sleep(downtime + 200*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), untilKill-downtime-200*time.Millisecond)
	defer cancel()
	load := c.startLoad(ctx, 20, longJob)
	load.Wait()
	n := c.owner()
	c.kill(n)
	time.Sleep(untilCut)
	for _, w := range c.p.Workers[:affected] {
		w.SetFault(emulator.WorkerFault{Silent: true})
	}
	c.start(n)
	for end := time.Now().Add(cut); time.Now().Before(end); time.Sleep(time.Second) {
		c.p.Checker.RecordDisruption() // jobs may stand while workers are cut off
	}
	for _, w := range c.p.Workers[:affected] {
		w.SetFault(emulator.WorkerFault{})
	}
	c.awaitJobs(60 * time.Second)
}

// Guards against starts, stops and polls that the next incarnations of workers carry out late, with the deadlines and
// end numbers of the previous ones: a task runs twice, or its end is forgotten. The queue has no advice, so that no
// ticket keeps a start from being carried out. The load outlasts the time for which tasks wait for late starts.
func TestLateOrdersReachRestartedWorkers(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 9, KeepIDs: true, MaxHold: 10 * time.Second})
	c.runUnderLoad(22*time.Second, func() {
		time.Sleep(time.Second)
		time.AfterFunc(3*time.Second, c.disturbWorkers(0, 1, emulator.WorkerFault{LateShare: 0.2, LateDelay: 1500 * time.Millisecond}))
		for range 2 {
			for _, w := range c.p.Workers {
				w.Crash(600 * time.Millisecond)
				time.Sleep(500 * time.Millisecond)
			}
		}
	})
	c.awaitJobs(30 * time.Second)
}
