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

// The customers of a soak: one whose jobs the soak follows, and one that sends many more than its weight under a quota that changes. Their
// keys change, too. Half of the seeds have none.

// soakCustomers are the customers of one soak.
type soakCustomers struct {
	r    *rand.Rand
	list []emulator.Customer

	mu      sync.Mutex
	version int64
	hot     *emulator.Callers
}

func drawCustomers(r *rand.Rand) *soakCustomers {
	s := &soakCustomers{r: r, version: 1}
	if r.IntN(2) == 0 {
		s.list = []emulator.Customer{
			{Name: "north", Keys: []string{"north-1"}, Weight: 20},
			{Name: "hot", Keys: []string{"hot-1"}, Weight: 2, CPU: 6000, MemoryMB: 1 << 20},
		}
	}
	return s
}

// join gives the soak's callers the keys of the first customer.
func (s *soakCustomers) join(c *cell) {
	if s.list == nil {
		return
	}
	c.callers.WithKeys(func() string { return s.key(0) })
	s.hot = c.callers.As("").WithKeys(func() string { return s.key(1) })
}

// key is the newest key of a customer.
func (s *soakCustomers) key(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.list[n].Keys
	return keys[len(keys)-1]
}

// play has the hot customer hand in jobs, and the configuration change, until ctx ends.
func (s *soakCustomers) play(ctx context.Context, c *cell, all *sync.WaitGroup) {
	if s.list == nil {
		return
	}
	all.Go(func() {
		for ctx.Err() == nil {
			all.Go(func() { s.hot.Submit(context.Background(), quickJob.spec, quickJob.steps) })
			time.Sleep(40 * time.Millisecond)
		}
	})
	all.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(between(s.r, time.Second, 3*time.Second))
			s.change(c)
		}
	})
}

// change puts a configuration in force in which a key is added and an older one taken away, and the hot customer's quota is another one.
func (s *soakCustomers) change(c *cell) {
	s.mu.Lock()
	defer s.mu.Unlock()
	const kept = 2 // hosts that have not heard of the newest key serve the one before
	s.version++
	list := make([]emulator.Customer, 0, len(s.list))
	for _, x := range s.list {
		x.Keys = append(x.Keys[max(0, len(x.Keys)-kept):], fmt.Sprintf("%s-%d", x.Name, s.version))
		if x.CPU > 0 {
			x.CPU = 3000 + 1000*s.r.Int64N(6)
		}
		list = append(list, x)
	}
	s.list = list
	c.p.PutCustomers(s.version, list)
}

// finish waits for the jobs of the hot customer.
func (s *soakCustomers) finish(c *cell) {
	if s.list == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c.Expect(s.hot.Await(ctx)).To(BeEmpty())
}
