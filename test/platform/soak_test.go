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
type trouble struct {
	name string
	do   func(c *cell, r *rand.Rand)
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// injectStoreFault returns a function that sets a fault of the store for 0.5 to 4 s.
func storeFault(set, reset func(*emulator.Store)) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		set(c.p.Store)
		time.Sleep(between(r, 500*time.Millisecond, 4*time.Second))
		reset(c.p.Store)
	}
}

// injectWorkerFault returns a function that sets a fault of one or two workers for 1 to 5 s.
func workerFault(f emulator.WorkerFault) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		n := 1 + r.IntN(2)
		first := r.IntN(len(c.p.Workers))
		for i := range n {
			c.p.Workers[(first+i)%len(c.p.Workers)].SetFault(f)
		}
		time.Sleep(between(r, time.Second, 5*time.Second))
		for i := range n {
			c.p.Workers[(first+i)%len(c.p.Workers)].SetFault(emulator.WorkerFault{})
		}
	}
}

func storeMode(m emulator.StoreMode) func(*cell, *rand.Rand) {
	return storeFault(func(s *emulator.Store) { s.SetMode(m) }, func(s *emulator.Store) { s.SetMode(emulator.StoreUp) })
}

// injectHostFault returns a function that injects a fault into a host, two times out of three the owner,
// unless another fault is being injected into that host.
func hostTrouble(do func(c *cell, r *rand.Rand, n int)) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		n := c.owner()
		if n < 0 || r.IntN(3) == 0 {
			n = r.IntN(len(c.hosts))
		}
		if !c.take(n) {
			return
		}
		defer c.release(n)
		do(c, r, n)
	}
}

// injectLinkFault returns a function that sets a fault of a random link for 0.3 to 5 s.
func linkTrouble(links func(*cell) []*link, f linkFault) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) {
		k := drawLink(links(c), r)
		k.set(f)
		time.Sleep(between(r, 300*time.Millisecond, 5*time.Second))
		k.set(linkFault{})
	}
}

func linkReset(links func(*cell) []*link) func(*cell, *rand.Rand) {
	return func(c *cell, r *rand.Rand) { drawLink(links(c), r).reset() }
}

func drawLink(links []*link, r *rand.Rand) *link {
	return links[r.IntN(len(links))]
}

func toStore(c *cell) []*link  { return c.storeLinks }
func toWorker(c *cell) []*link { return c.workerLinks }

var (
	delayed   = linkFault{delay: 120 * time.Millisecond}
	silenced  = linkFault{holdsOrders: true, holdsAnswers: true}
	noAnswers = linkFault{holdsAnswers: true}
	noOrders  = linkFault{holdsOrders: true}
)

var troubles = []trouble{
	{"store link delayed", linkTrouble(toStore, delayed)},
	{"store link silent", linkTrouble(toStore, silenced)},
	{"store link without answers", linkTrouble(toStore, noAnswers)},
	{"store link without calls", linkTrouble(toStore, noOrders)},
	{"store link reset", linkReset(toStore)},
	{"worker link delayed", linkTrouble(toWorker, delayed)},
	{"worker link silent", linkTrouble(toWorker, silenced)},
	{"worker link without answers", linkTrouble(toWorker, noAnswers)},
	{"worker link without orders", linkTrouble(toWorker, noOrders)},
	{"worker link reset", linkReset(toWorker)},
	{"kill", hostTrouble(func(c *cell, r *rand.Rand, n int) {
		c.kill(n)
		time.Sleep(between(r, 100*time.Millisecond, 3*time.Second))
		c.start(n)
	})},
	{"freeze", hostTrouble(func(c *cell, r *rand.Rand, n int) {
		c.signal(n, syscall.SIGSTOP)
		time.Sleep(between(r, 300*time.Millisecond, 5*time.Second))
		c.signal(n, syscall.SIGCONT)
	})},
	{"term", hostTrouble(func(c *cell, _ *rand.Rand, n int) {
		c.term(n)
		c.start(n)
	})},
	{"hangup", hostTrouble(func(c *cell, _ *rand.Rand, n int) { c.signal(n, syscall.SIGHUP) })},
	{"store busy", storeMode(emulator.StoreBusy)},
	{"store silent", storeMode(emulator.StoreSilent)},
	{"store reset", storeMode(emulator.StoreReset)},
	{"store slow", storeFault(func(s *emulator.Store) { s.SetDelay(250 * time.Millisecond) }, func(s *emulator.Store) { s.SetDelay(0) })},
	{"store lost", storeFault(func(s *emulator.Store) { s.SetLost(0.35) }, func(s *emulator.Store) { s.SetLost(0) })},
	{"store revoke", func(c *cell, _ *rand.Rand) { c.p.Store.Revoke() }},
	{"store compact", func(c *cell, _ *rand.Rand) { c.p.Store.Compact() }},
	{"worker silent", workerFault(emulator.WorkerFault{Silent: true})},
	{"worker late", workerFault(emulator.WorkerFault{Late: 0.3, LateBy: 2500 * time.Millisecond})},
	{"worker lost", workerFault(emulator.WorkerFault{Lost: 0.2})},
	{"worker fail", workerFault(emulator.WorkerFault{Fail: true})},
	{"worker stall", workerFault(emulator.WorkerFault{Stall: true})},
	{"worker crash", func(c *cell, r *rand.Rand) {
		c.p.Workers[r.IntN(len(c.p.Workers))].Crash(between(r, 200*time.Millisecond, 3*time.Second))
	}},
	{"worker shrinks", func(c *cell, r *rand.Rand) {
		w := c.p.Workers[r.IntN(len(c.p.Workers))]
		w.SetCapacity(emulator.CPU/4+r.Int64N(emulator.CPU/2), emulator.MemoryMB/4)
		time.Sleep(between(r, 300*time.Millisecond, 6*time.Second))
		w.SetCapacity(emulator.CPU, emulator.MemoryMB)
	}},
	{"crashing job", func(c *cell, r *rand.Rand) {
		kinds := []jobKind{crashJob, crashGang}
		k := kinds[r.IntN(len(kinds))]
		c.callers.Submit(context.Background(), k.spec, k.steps)
	}},
	{"worker drain", func(c *cell, r *rand.Rand) {
		c.p.Workers[r.IntN(len(c.p.Workers))].Drain(between(r, 2*time.Second, 4*time.Second))
	}},
}

// TestSoak injects random faults, several at a time, while jobs run. Afterwards all accepted jobs have to
// end. To run it with other seeds: make soak SEED=n SEEDS=m SECONDS=s.
func TestSoak(t *testing.T) {
	for seed := *soakSeed; seed < *soakSeed+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 0))
	keepIDs := rand.New(rand.NewPCG(seed, 2)).IntN(2) == 0
	customers := drawCustomers(rand.New(rand.NewPCG(seed, 3)))
	c := newCell(t, 3+r.IntN(3), emulator.Options{Workers: 4 + r.IntN(6), Advice: r.IntN(2) == 0, KeepIDs: keepIDs, Customers: customers.list})
	customers.join(c)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(*soakSeconds)*time.Second)
	defer cancel()
	load := c.load(ctx, 20, quickJob, chainJob, quickJob, gangJob)
	customers.play(ctx, c, load)
	var injections sync.WaitGroup
	troubles := slices.Concat(troubles, buildTroubles())
	for ctx.Err() == nil {
		fault := troubles[r.IntN(len(troubles))]
		faultRNG := rand.New(rand.NewPCG(r.Uint64(), 1))
		t.Logf("%s", fault.name)
		injections.Go(func() { fault.do(c, faultRNG) })
		time.Sleep(between(r, 200*time.Millisecond, 2*time.Second))
	}
	injections.Wait()
	load.Wait()
	customers.finish(c)
	c.finish(60 * time.Second)
}
