package platform_test

import (
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// Workers crash one after the other and restart under the same ID. The platform checks that no task runs
// twice, also not after its end was acknowledged, and that no worker is given more than its capacity. All
// jobs have to end. The fault that this guards against is reported as:
//
//	TWICE 2b5cb1f5c3227c0f.0.0.0 run 2 on i-m2-0: its end was already acknowledged
func TestWorkersRestartUnderTheSameID(t *testing.T) {
	for name, c := range map[string]struct {
		options emulator.Options
		fault   func(*cell)
	}{
		"one after the other": {emulator.Options{Workers: 6}, func(*cell) {}},
		"back at once, with less capacity": {emulator.Options{Workers: 6}, func(c *cell) {
			for range 4 {
				for _, w := range c.p.Workers {
					w.Crash(30 * time.Millisecond)
					w.SetCapacity(emulator.WorkerCPUMillis/2, emulator.WorkerMemoryMB/2)
				}
				time.Sleep(1500 * time.Millisecond)
			}
		}},
		"with advice": {emulator.Options{Workers: 9, Advice: true}, func(*cell) {}},
		"the store is away": {emulator.Options{Workers: 6}, func(c *cell) {
			c.p.Store.SetMode(emulator.StoreSilent)
			time.Sleep(3 * time.Second)
			c.p.Store.SetMode(emulator.StoreUp)
		}},
		"owners are killed": {emulator.Options{Workers: 6}, func(c *cell) {
			n := c.owner()
			c.kill(n)
			c.start(n)
		}},
		"owners freeze": {emulator.Options{Workers: 6}, func(c *cell) {
			n := c.owner()
			c.signal(n, syscall.SIGSTOP)
			time.Sleep(2500 * time.Millisecond)
			c.signal(n, syscall.SIGCONT)
		}},
		"orders are carried out late": {emulator.Options{Workers: 9, Advice: true}, func(c *cell) {
			for _, w := range c.p.Workers {
				w.SetFault(emulator.WorkerFault{LateShare: 0.3, LateDelay: 2 * time.Second})
			}
			time.Sleep(4 * time.Second)
			for _, w := range c.p.Workers {
				w.SetFault(emulator.WorkerFault{})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c.options.KeepIDs = true
			restartWorkersDuring(newCell(t, 3, c.options), c.fault)
		})
	}
}

// restartWorkersDuring restarts all workers of a cell twice, one after the other, while jobs run and a fault
// is injected.
func restartWorkersDuring(c *cell, fault func(*cell)) {
	c.runUnderLoad(12*time.Second, func() {
		time.Sleep(time.Second)
		go fault(c)
		for round := range 2 {
			for n, w := range c.p.Workers {
				w.Crash(time.Duration(600+100*((n+round)%4)) * time.Millisecond)
				time.Sleep(500 * time.Millisecond)
			}
		}
	})
	c.awaitJobs(60 * time.Second)
}
