package relay

import (
	"context"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// batchDelay is how long items are collected before they are sent in one message. Each message
	// costs both sides system calls and wake-ups: each of 12 relays for 1,100 workers has about 250
	// orders a second, so that a message holds two or three. On average a start takes 5 ms longer,
	// and so does its answer.
	batchDelay = 10 * time.Millisecond
	// maxBatchItems limits the number of items that wait to be sent.
	maxBatchItems = 4096
)

// batcher collects items for batchDelay and sends them together.
type batcher[T any] struct {
	signal chan struct{} // of capacity 1; signals that there are items

	mu    sync.Mutex
	items []T
}

func newBatcher[T any]() *batcher[T] {
	return &batcher[T]{signal: make(chan struct{}, 1)}
}

// add queues an item and reports whether there was room for it.
func (b *batcher[T]) add(item T) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) >= maxBatchItems {
		return false
	}
	b.items = append(b.items, item)
	if len(b.items) == 1 {
		select {
		case b.signal <- struct{}{}:
		default:
		}
	}
	return true
}

// run sends the collected items until ctx ends.
func (b *batcher[T]) run(ctx context.Context, send func([]T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.signal:
		}
		clock.Sleep(ctx, batchDelay)
		b.mu.Lock()
		items := b.items
		b.items = nil
		b.mu.Unlock()
		if len(items) > 0 {
			send(items)
		}
	}
}
