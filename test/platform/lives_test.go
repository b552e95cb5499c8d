package platform_test

import (
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// Workers crash one after the other and start again under the id that they had. The ledger judges that nothing runs twice, also after its end was
// noted, and that no worker is given more than it holds; all jobs have to end. It failed so:
//
//	TWICE 2b5cb1f5c3227c0f.0.0.0 run 2 on i-m2-0: its end was noted
func TestWorkersStartAgainUnderTheirIDs(t *testing.T) {
	for name, c := range map[string]struct {
		options emulator.Options
		trouble func(*cell)
	}{
		"one after the other": {emulator.Options{Workers: 6}, func(*cell) {}},
		"back at once, holding less": {emulator.Options{Workers: 6}, func(c *cell) {
			for range 4 {
				for _, w := range c.p.Workers {
					w.Crash(30 * time.Millisecond)
					w.SetCapacity(emulator.CPU/2, emulator.MemoryMB/2)
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
				w.SetFault(emulator.WorkerFault{Late: 0.3, LateBy: 2 * time.Second})
			}
			time.Sleep(4 * time.Second)
			for _, w := range c.p.Workers {
				w.SetFault(emulator.WorkerFault{})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c.options.KeepIDs = true
			startAgainUnder(newCell(t, 3, c.options), c.trouble)
		})
	}
}

// startAgainUnder has all workers of a cell start again twice while jobs run and a trouble lasts.
func startAgainUnder(c *cell, trouble func(*cell)) {
	c.during(12*time.Second, func() {
		time.Sleep(time.Second)
		go trouble(c)
		for round := range 2 {
			for n, w := range c.p.Workers {
				w.Crash(time.Duration(600+100*((n+round)%4)) * time.Millisecond)
				time.Sleep(500 * time.Millisecond)
			}
		}
	})
	c.finish(60 * time.Second)
}
