package relay

import (
	"context"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// batchPause is how long items are collected before they are sent together. Each message costs both sides
	// system calls and wake-ups: of 12 relays for 1,100 workers each has about 250 orders a second, so that a
	// message holds two or three. A start waits 5 ms more in the mean, and its answer as long again.
	batchPause = 10 * time.Millisecond
	// batchSize bounds the items that wait.
	batchSize = 4096
)

// batch collects items and sends those of a short time together.
type batch[T any] struct {
	signal chan struct{} // of size 1: there are items

	mu    sync.Mutex
	items []T
}

func newBatch[T any]() *batch[T] {
	return &batch[T]{signal: make(chan struct{}, 1)}
}

// put adds an item; it says whether there was room.
func (b *batch[T]) put(item T) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.items) >= batchSize {
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

// run sends what is collected until ctx ends.
func (b *batch[T]) run(ctx context.Context, send func([]T)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.signal:
		}
		clock.Sleep(ctx, batchPause)
		b.mu.Lock()
		items := b.items
		b.items = nil
		b.mu.Unlock()
		if len(items) > 0 {
			send(items)
		}
	}
}
