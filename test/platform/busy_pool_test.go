package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

const (
	busyWorkers   = 48
	busyHosts     = 6
	busyHalls     = 4
	jobsPerSecond = 35
)

// newBusyCell starts a pool with three queues, whose advice is fast, of medium speed and slow.
func newBusyCell(t *testing.T) *cell {
	terms := func(decision, period time.Duration, share float64) *emulator.AdviceTerms {
		return &emulator.AdviceTerms{Decision: decision, Period: period, Validity: 2 * time.Second, Share: share}
	}
	return newCell(t, busyHosts, emulator.Options{Workers: busyWorkers, Halls: busyHalls, HostHalls: busyHalls, Queues: []emulator.Queue{
		{Name: "short", Extension: 1.5, TargetLatency: 250 * time.Millisecond, Advice: terms(5600*time.Microsecond, 80*time.Microsecond, 0.7)},
		{Name: "wide", Priority: 2, Extension: 4, TargetLatency: 3 * time.Second, Advice: terms(42*time.Millisecond, 600*time.Microsecond, 0.45)},
		{Name: "gangs", Priority: 1, Extension: 2.2, TargetLatency: time.Second, Advice: terms(480*time.Millisecond, 6800*time.Microsecond, 0.3)},
	}})
}

// busyLoad submits jobs of random sizes to the queues of a busy cell.
type busyLoad struct {
	cell *cell
	// failingPercent is the share of jobs whose tasks always fail, in addition to a few that often do.
	failingPercent atomic.Int64
}

// start submits jobs until ctx ends. The result is done when all calls have returned.
func (l *busyLoad) start(ctx context.Context, r *rand.Rand) *sync.WaitGroup {
	var submissions sync.WaitGroup
	submissions.Go(func() {
		tick := time.NewTicker(time.Second / jobsPerSecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			job := rand.New(rand.NewPCG(r.Uint64(), 1))
			submissions.Go(func() { l.submit(job) })
		}
	})
	return &submissions
}

func (l *busyLoad) submit(r *rand.Rand) {
	spread := func(mean int) int { return max(1, int(float64(mean)*(0.4+1.2*r.Float64()))) }
	fail := ""
	switch x := r.IntN(100); {
	case x < 3+int(l.failingPercent.Load()):
		fail = " fail=1"
	case x > 94:
		fail = " fail=0.5"
	}
	queue, ms, gang := "short", spread(640), false
	step := emulator.Step{Count: spread(2), CPU: 700, MemoryMB: 2600, Estimate: 640}
	switch x := r.IntN(100); {
	case x < 2:
		queue, ms, gang = "gangs", spread(6200), true
		step = emulator.Step{Count: spread(8) + 1, CPU: 2250, MemoryMB: 8500, Estimate: 6200}
	case x < 14:
		queue, ms = "wide", spread(2200)
		step = emulator.Step{Count: spread(10), CPU: 490, MemoryMB: 1000, Estimate: 2200}
	default:
		gang = step.Count > 1 && r.IntN(3) == 0
	}
	spec := fmt.Sprintf("ms=%d%s", ms, fail)
	if gang {
		step.Gang = true
		spec += fmt.Sprintf(" gang=%d", step.Count)
	}
	steps := []emulator.Step{step}
	if queue == "wide" && r.IntN(2) == 0 {
		step.After = []int{0}
		steps = append(steps, step)
	}
	l.cell.callers.SubmitTo(context.Background(), queue, spec, steps, emulator.Schedule{})
}

// Guards against accepted jobs that stand still since failing jobs have all workers taken out.
func TestFailingJobsDoNotHoldUpOthers(t *testing.T) {
	c := newBusyCell(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	load := &busyLoad{cell: c}
	submissions := load.start(ctx, rand.New(rand.NewPCG(1, 0)))
	time.Sleep(5 * time.Second)
	load.failingPercent.Store(60)
	time.Sleep(8 * time.Second)
	load.failingPercent.Store(0)
	submissions.Wait()
	c.awaitJobs(60 * time.Second)
}

// busyFaults are the faults of many machines at once.
var busyFaults = []soakFault{
	{"all hosts restart", func(c *cell, r *rand.Rand) {
		for n := range c.hosts {
			if c.reserveHost(n) {
				defer c.releaseHost(n)
				defer c.start(n)
				c.kill(n)
			}
		}
		time.Sleep(randomDuration(r, 500*time.Millisecond, 2*time.Second))
	}},
	{"hall cut", func(c *cell, r *rand.Rand) {
		hall := r.IntN(busyHalls)
		defer c.disturbWorkers(hall, busyHalls, emulator.WorkerFault{Silent: true})()
		for n := hall; n < busyHosts; n += busyHalls {
			if c.reserveHost(n) {
				defer c.releaseHost(n)
				defer c.signal(n, syscall.SIGCONT)
				c.signal(n, syscall.SIGSTOP)
			}
		}
		time.Sleep(randomDuration(r, 2*time.Second, 6*time.Second))
	}},
	{"workers fail", func(c *cell, r *rand.Rand) {
		defer c.disturbWorkers(r.IntN(10), 10, emulator.WorkerFault{Fail: true})()
		time.Sleep(randomDuration(r, 2*time.Second, 6*time.Second))
	}},
	{"workers stall", func(c *cell, r *rand.Rand) {
		defer c.disturbWorkers(r.IntN(10), 10, emulator.WorkerFault{Stall: true})()
		time.Sleep(randomDuration(r, 2*time.Second, 6*time.Second))
	}},
}

// disturbWorkers sets a fault of every step-th worker, from the given one on. The function that it returns ends
// the fault.
func (c *cell) disturbWorkers(first, step int, f emulator.WorkerFault) (end func()) {
	set := func(f emulator.WorkerFault) {
		for n := first; n < len(c.p.Workers); n += step {
			c.p.Workers[n].SetFault(f)
		}
	}
	set(f)
	return func() { set(emulator.WorkerFault{}) }
}

// TestSoakBusyPool is TestSoak in a larger pool with slow advice, where now and then most of the jobs fail.
func TestSoakBusyPool(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runBusySoak(t, seed) })
	}
}

func runBusySoak(t *testing.T, seed uint64) {
	t.Helper()
	c := newBusyCell(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(*soakSeconds)*time.Second)
	defer cancel()
	load := &busyLoad{cell: c}
	submissions := load.start(ctx, rand.New(rand.NewPCG(seed, 1)))
	failingJobs := soakFault{"failing jobs", func(_ *cell, r *rand.Rand) {
		load.failingPercent.Store(int64(10 + r.IntN(80)))
		time.Sleep(randomDuration(r, time.Second, 6*time.Second))
		load.failingPercent.Store(0)
	}}
	c.injectFaults(ctx, rand.New(rand.NewPCG(seed, 0)), append([]soakFault{failingJobs, failingJobs}, append(busyFaults, soakFaults...)...))
	submissions.Wait()
	c.awaitJobs(90 * time.Second)
}
