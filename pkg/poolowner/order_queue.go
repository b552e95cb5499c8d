package poolowner

import (
	"context"
	"sync"
)

const (
	// ordersAtOnce is how many orders are on their way to a worker.
	ordersAtOnce = 2
	// ordersPerQueue bounds the orders that wait for one worker.
	ordersPerQueue = 512
)

// orderQueue sends the orders for one worker, a few at a time. It has goroutines only while it
// has orders: most of thousands of workers have none.
type orderQueue struct {
	run func() // starts sender as a duty

	mu      sync.Mutex
	waiting []func(context.Context)
	senders int
}

// newOrderQueue returns a queue that sends until ctx ends.
func newOrderQueue(ctx context.Context, duties *sync.WaitGroup) *orderQueue {
	q := &orderQueue{}
	q.run = func() { duties.Go(func() { q.send(ctx) }) }
	return q
}

// put queues an order; it says whether there was room.
func (q *orderQueue) put(order func(context.Context)) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= ordersPerQueue {
		return false
	}
	q.waiting = append(q.waiting, order)
	if q.senders < ordersAtOnce {
		q.senders++
		q.run()
	}
	return true
}

// send sends orders until none waits. When ctx has ended, those that wait are dropped: the
// worker is gone, or another owner has taken over.
func (q *orderQueue) send(ctx context.Context) {
	for {
		order := q.take(ctx)
		if order == nil {
			return
		}
		order(ctx)
	}
}

// take returns the next order; nil when there is none for this sender, which ends then.
func (q *orderQueue) take(ctx context.Context) func(context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ctx.Err() != nil {
		q.waiting = nil
	}
	if len(q.waiting) == 0 {
		q.waiting = nil
		q.senders--
		return nil
	}
	order := q.waiting[0]
	q.waiting = q.waiting[1:]
	return order
}
