package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
)

// soakFault is a kind of fault that the soak injects at random.
type soakFault struct {
	name   string
	inject func(c *cell, r *rand.Rand)
}

func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// injectStoreFault returns a function that sets a fault of the store for 0.5 to 4 s.
func injectStoreFault(set, reset func(*emulator.Store)) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		set(c.p.Store)
		time.Sleep(randomDuration(r, 500*time.Millisecond, 4*time.Second))
		reset(c.p.Store)
	}
}

// injectWorkerFault returns a function that sets a fault of one or two workers for 1 to 5 s.
func injectWorkerFault(f emulator.WorkerFault) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		n := 1 + r.IntN(2)
		first := r.IntN(len(c.p.Workers))
		for i := range n {
			c.p.Workers[(first+i)%len(c.p.Workers)].SetFault(f)
		}
		time.Sleep(randomDuration(r, time.Second, 5*time.Second))
		for i := range n {
			c.p.Workers[(first+i)%len(c.p.Workers)].SetFault(emulator.WorkerFault{})
		}
	}
}

func injectStoreMode(m emulator.StoreMode) func(*cell, *rand.Rand) {
	return injectStoreFault(func(s *emulator.Store) { s.SetMode(m) }, func(s *emulator.Store) { s.SetMode(emulator.StoreUp) })
}

// injectHostFault returns a function that injects a fault into a host, two times out of three the owner,
// unless another fault is being injected into that host.
func injectHostFault(do func(c *cell, r *rand.Rand, n int)) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		n := c.owner()
		if n < 0 || r.IntN(3) == 0 {
			n = r.IntN(len(c.hosts))
		}
		if !c.reserveHost(n) {
			return
		}
		defer c.releaseHost(n)
		do(c, r, n)
	}
}

// injectLinkFault returns a function that sets a fault of a random link for 0.3 to 5 s.
func injectLinkFault(links func(*cell) []*link, f linkFault) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		k := randomLink(links(c), r)
		k.set(f)
		time.Sleep(randomDuration(r, 300*time.Millisecond, 5*time.Second))
		k.set(linkFault{})
	}
}

func injectLinkReset(links func(*cell) []*link) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) { randomLink(links(c), r).reset() }
}

func randomLink(links []*link, r *rand.Rand) *link {
	return links[r.IntN(len(links))]
}

func storeLinksOf(c *cell) []*link  { return c.storeLinks }
func workerLinksOf(c *cell) []*link { return c.workerLinks }

var (
	delayFault   = linkFault{delay: 120 * time.Millisecond}
	silenceFault = linkFault{holdsRequests: true, holdsAnswers: true}
	answersHeld  = linkFault{holdsAnswers: true}
	requestsHeld = linkFault{holdsRequests: true}
)

var soakFaults = []soakFault{
	{"store link delayed", injectLinkFault(storeLinksOf, delayFault)},
	{"store link silent", injectLinkFault(storeLinksOf, silenceFault)},
	{"store link without answers", injectLinkFault(storeLinksOf, answersHeld)},
	{"store link without calls", injectLinkFault(storeLinksOf, requestsHeld)},
	{"store link reset", injectLinkReset(storeLinksOf)},
	{"worker link delayed", injectLinkFault(workerLinksOf, delayFault)},
	{"worker link silent", injectLinkFault(workerLinksOf, silenceFault)},
	{"worker link without answers", injectLinkFault(workerLinksOf, answersHeld)},
	{"worker link without orders", injectLinkFault(workerLinksOf, requestsHeld)},
	{"worker link reset", injectLinkReset(workerLinksOf)},
	{"kill", injectHostFault(func(c *cell, r *rand.Rand, n int) {
		c.kill(n)
		time.Sleep(randomDuration(r, 100*time.Millisecond, 3*time.Second))
		c.start(n)
	})},
	{"freeze", injectHostFault(func(c *cell, r *rand.Rand, n int) {
		c.signal(n, syscall.SIGSTOP)
		time.Sleep(randomDuration(r, 300*time.Millisecond, 5*time.Second))
		c.signal(n, syscall.SIGCONT)
	})},
	{"term", injectHostFault(func(c *cell, _ *rand.Rand, n int) {
		c.terminate(n)
		c.start(n)
	})},
	{"hangup", injectHostFault(func(c *cell, _ *rand.Rand, n int) { c.signal(n, syscall.SIGHUP) })},
	{"store busy", injectStoreMode(emulator.StoreBusy)},
	{"store silent", injectStoreMode(emulator.StoreSilent)},
	{"store reset", injectStoreMode(emulator.StoreReset)},
	{"store slow", injectStoreFault(func(s *emulator.Store) { s.SetDelay(250 * time.Millisecond) }, func(s *emulator.Store) { s.SetDelay(0) })},
	{"store lost", injectStoreFault(func(s *emulator.Store) { s.SetLostAnswers(0.35) }, func(s *emulator.Store) { s.SetLostAnswers(0) })},
	{"store revoke", func(c *cell, _ *rand.Rand) { c.p.Store.EndLeases() }},
	{"store compact", func(c *cell, _ *rand.Rand) { c.p.Store.Compact() }},
	{"worker silent", injectWorkerFault(emulator.WorkerFault{Silent: true})},
	{"worker late", injectWorkerFault(emulator.WorkerFault{LateShare: 0.3, LateDelay: 2500 * time.Millisecond})},
	{"worker lost", injectWorkerFault(emulator.WorkerFault{LostAnswerShare: 0.2})},
	{"worker fail", injectWorkerFault(emulator.WorkerFault{Fail: true})},
	{"worker stall", injectWorkerFault(emulator.WorkerFault{Stall: true})},
	{"worker crash", func(c *cell, r *rand.Rand) {
		c.p.Workers[r.IntN(len(c.p.Workers))].Crash(randomDuration(r, 200*time.Millisecond, 3*time.Second))
	}},
	{"worker shrinks", func(c *cell, r *rand.Rand) {
		w := c.p.Workers[r.IntN(len(c.p.Workers))]
		w.SetCapacity(emulator.WorkerCPUMillis/4+r.Int64N(emulator.WorkerCPUMillis/2), emulator.WorkerMemoryMB/4)
		time.Sleep(randomDuration(r, 300*time.Millisecond, 6*time.Second))
		w.SetCapacity(emulator.WorkerCPUMillis, emulator.WorkerMemoryMB)
	}},
	{"crashing job", func(c *cell, r *rand.Rand) {
		kinds := []jobKind{crashJob, crashGang}
		k := kinds[r.IntN(len(kinds))]
		c.callers.Submit(context.Background(), k.spec, k.steps)
	}},
	{"worker drain", func(c *cell, r *rand.Rand) {
		c.p.Workers[r.IntN(len(c.p.Workers))].Drain(randomDuration(r, 2*time.Second, 4*time.Second))
	}},
}

// TestSoak injects random faults, several at a time, while jobs run and the operator requests upkeep waves over
// machines that the waves share. Afterwards all waves have to be completed and all accepted jobs have to end.
// To run it with other seeds: make soak SEED=n SEEDS=m SECONDS=s.
func TestSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// injectFaults injects random faults, several at a time, until ctx ends, and waits until they are over.
func (c *cell) injectFaults(ctx context.Context, r *rand.Rand, faults []soakFault) {
	var injections sync.WaitGroup
	for ctx.Err() == nil {
		fault := faults[r.IntN(len(faults))]
		faultRNG := rand.New(rand.NewPCG(r.Uint64(), 1))
		c.t.Logf("%s", fault.name)
		injections.Go(func() { fault.inject(c, faultRNG) })
		time.Sleep(randomDuration(r, 200*time.Millisecond, 2*time.Second))
	}
	injections.Wait()
}

func runSoak(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	keepIDs := rand.New(rand.NewPCG(seed, 2)).IntN(2) == 0
	customers := randomCustomers(rand.New(rand.NewPCG(seed, 3)))
	sizes := rand.New(rand.NewPCG(seed, 4))
	waves, machines := rand.New(rand.NewPCG(seed, 5)), rand.New(rand.NewPCG(seed, 6))
	c := newCell(t, 3+r.IntN(3), emulator.Options{
		Workers: 4 + r.IntN(6), Advice: r.IntN(2) == 0, KeepIDs: keepIDs, Customers: customers.list, MaxValueBytes: randomValueBytes(sizes),
	})
	customers.useKeys(c)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(*soakSeconds)*time.Second)
	defer cancel()
	load := c.startLoad(ctx, 20, quickJob, chainJob, quickJob, gangJob)
	customers.start(ctx, c, load)
	c.startLargeJobs(ctx, sizes, load)
	c.startWaves(ctx, waves, load)
	load.Go(func() { c.injectFaults(ctx, machines, machineFaults) })
	c.injectFaults(ctx, r, slices.Concat(soakFaults, buildFaults()))
	load.Wait()
	c.awaitWaves()
	customers.awaitJobs(c)
	c.awaitJobs(60 * time.Second)
}
