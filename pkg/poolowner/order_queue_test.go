package poolowner

import (
	"context"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

func TestOrderQueueLimitsConcurrentOrders(t *testing.T) {
	g := NewWithT(t)
	var group sync.WaitGroup
	q := newOrderQueue(context.Background(), &group)
	var mu sync.Mutex
	sent, running, maxRunning := 0, 0, 0
	release := make(chan struct{})
	for range 20 {
		g.Expect(q.enqueue(func(context.Context) {
			mu.Lock()
			running++
			maxRunning = max(maxRunning, running)
			mu.Unlock()
			<-release
			mu.Lock()
			running--
			sent++
			mu.Unlock()
		})).To(BeTrue())
	}
	close(release)
	group.Wait()
	g.Expect(sent).To(Equal(20))
	g.Expect(maxRunning).To(BeNumerically("<=", maxConcurrentOrders))
	g.Expect(q.senders).To(BeZero(), "no goroutine is left")
}

func TestOrderQueueIsBoundedAndDropsOrdersWhenCancelled(t *testing.T) {
	g := NewWithT(t)
	var group sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	q := newOrderQueue(ctx, &group)
	var mu sync.Mutex
	sent := 0
	order := func(ctx context.Context) {
		mu.Lock()
		sent++
		mu.Unlock()
		<-ctx.Done()
	}
	accepted := 0
	for q.enqueue(order) {
		accepted++
	}
	g.Expect(accepted).To(BeNumerically(">=", maxQueuedOrders))
	cancel()
	group.Wait()
	g.Expect(sent).To(BeNumerically("<=", maxConcurrentOrders))
}
