package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// soakCustomers holds the customers of one soak: one whose jobs the soak follows, and one that submits many
// more jobs than its weight allows, under a quota that changes. Their keys change, too. Half of the seeds
// have no customers.
type soakCustomers struct {
	rng  *rand.Rand
	list []emulator.Customer

	mu          sync.Mutex
	version     int64
	busyCallers *emulator.LoadGenerator
}

func randomCustomers(r *rand.Rand) *soakCustomers {
	s := &soakCustomers{rng: r, version: 1}
	if r.IntN(2) == 0 {
		s.list = []emulator.Customer{
			{Name: "north", Keys: []string{"north-1"}, Weight: 20},
			{Name: "hot", Keys: []string{"hot-1"}, Weight: 2, CPU: 6000, MemoryMB: 1 << 20},
		}
	}
	return s
}

// useKeys makes the load of the soak use the keys of the first customer.
func (s *soakCustomers) useKeys(c *cell) {
	if s.list == nil {
		return
	}
	c.callers.WithKeys(func() string { return s.newestKey(0) })
	s.busyCallers = c.callers.ForKey("").WithKeys(func() string { return s.newestKey(1) })
}

// newestKey returns the newest key of a customer.
func (s *soakCustomers) newestKey(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.list[n].Keys
	return keys[len(keys)-1]
}

// start submits jobs of the second customer and changes the configuration until ctx ends.
func (s *soakCustomers) start(ctx context.Context, c *cell, wg *sync.WaitGroup) {
	if s.list == nil {
		return
	}
	wg.Go(func() {
		for ctx.Err() == nil {
			wg.Go(func() { s.busyCallers.Submit(context.Background(), quickJob.spec, quickJob.steps) })
			time.Sleep(40 * time.Millisecond)
		}
	})
	wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(randomDuration(s.rng, time.Second, 3*time.Second))
			s.changeConfig(c)
		}
	})
}

// changeConfig writes a configuration that adds a key to each customer, removes the oldest one and changes
// the quota of the second customer.
func (s *soakCustomers) changeConfig(c *cell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const kept = 2 // hosts without the newest configuration still accept the previous key
	s.version++
	list := make([]emulator.Customer, 0, len(s.list))
	for _, x := range s.list {
		x.Keys = append(x.Keys[max(0, len(x.Keys)-kept):], fmt.Sprintf("%s-%d", x.Name, s.version))
		if x.CPU > 0 {
			x.CPU = 3000 + 1000*s.rng.Int64N(6)
		}
		list = append(list, x)
	}
	s.list = list
	c.p.PutCustomers(s.version, list)
}

// awaitJobs waits until the jobs of the second customer have ended.
func (s *soakCustomers) awaitJobs(c *cell) {
	if s.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c.Expect(s.busyCallers.AwaitJobs(ctx)).To(BeEmpty())
}
