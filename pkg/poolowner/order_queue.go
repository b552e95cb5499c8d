package poolowner

import (
	"context"
	"sync"
)

const (
	// maxConcurrentOrders is the maximum number of orders that are being sent to a worker at the same
	// time.
	maxConcurrentOrders = 2
	// maxQueuedOrders is the maximum number of orders that wait for one worker.
	maxQueuedOrders = 512
)

// orderQueue sends the orders for one worker, a few at a time. It has goroutines only while it has
// orders, since most workers have none and there are thousands of workers.
type orderQueue struct {
	startSender func() // starts a goroutine of send

	mu      sync.Mutex
	waiting []func(context.Context)
	senders int
}

// newOrderQueue returns a queue that sends until ctx ends. Its goroutines are part of group.
func newOrderQueue(ctx context.Context, group *sync.WaitGroup) *orderQueue {
	q := &orderQueue{}
	q.startSender = func() { group.Go(func() { q.send(ctx) }) }
	return q
}

// enqueue adds an order; it returns false when the queue is full.
func (q *orderQueue) enqueue(order func(context.Context)) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= maxQueuedOrders {
		return false
	}
	q.waiting = append(q.waiting, order)
	if q.senders < maxConcurrentOrders {
		q.senders++
		q.startSender()
	}
	return true
}

// send sends orders until none waits. When ctx has ended it drops the waiting ones: the worker is
// terminated or another owner has taken over.
func (q *orderQueue) send(ctx context.Context) {
	for {
		order := q.next(ctx)
		if order == nil {
			return
		}
		order(ctx)
	}
}

// next returns the next order; nil when there is none for this sender, which then ends.
func (q *orderQueue) next(ctx context.Context) func(context.Context) {
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
