package poolowner

import (
	"context"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
)

const (
	// maxConcurrentCalls is the number of slots for calls to workers.
	maxConcurrentCalls = 64
	// maxSlotTime is how long a call occupies a slot at most. A call to a worker that does not answer
	// must not block other calls until its time limit.
	maxSlotTime = 50 * time.Millisecond
	// maxWaitingSlotTime is the same for a poll, which the worker may leave open until a run ends.
	maxWaitingSlotTime = 10 * time.Millisecond
)

// unboundedCalls is more calls than an owner ever makes at the same time.
const unboundedCalls = 1 << 20

func concurrentCallLimit(deps Deps) int {
	if deps.Disabled.Contains(dispatch.CallLimit) {
		return unboundedCalls
	}
	return maxConcurrentCalls
}

// callClass is the urgency of a call.
type callClass int

// The classes of calls, most urgent first.
const (
	classOrder          callClass = iota // starts, stops, pace changes, and polls that fence a worker
	classPoll                            // polls that extend leases
	classFirstPoll                       // the first poll of a worker
	classUnansweredPoll                  // polls of workers that did not answer the last one
	callClassCount
)

// classTurns is the class that gets the freed slot, release by release. A flood of orders must not keep
// leases from being extended or new workers from being polled. A class in which no call waits leaves its
// turn to the most urgent one that has some.
var classTurns = [...]callClass{classOrder, classPoll, classOrder, classPoll, classOrder, classFirstPoll, classOrder, classUnansweredPoll}

// callLimiter limits the concurrent calls of this process to workers. The time limit of a call also runs
// while the call waits for the processor: when too many are started at once, all of them time out and
// are repeated over new connections, which costs even more. Since a call waits for its slot before its
// time limit starts, an overloaded process keeps to the rate that it can sustain. This is admission
// control by concurrency; see "Little's law".
type callLimiter struct {
	// afterFunc calls f after d; the function that it returns cancels this.
	afterFunc func(d time.Duration, f func()) (cancel func())

	mu        sync.Mutex
	freeSlots int
	turnIndex int // in classTurns
	waiting   [callClassCount][]chan struct{}
}

func newCallLimiter(calls int) *callLimiter {
	return &callLimiter{freeSlots: calls, afterFunc: func(d time.Duration, f func()) func() {
		t := time.AfterFunc(d, f)
		return func() { t.Stop() }
	}}
}

// acquire waits for a slot for a call. The call occupies the slot until done is called, but no longer
// than slotTime. ok is false when ctx has ended; done is nil then.
func (l *callLimiter) acquire(ctx context.Context, class callClass, slotTime time.Duration) (done func(), ok bool) {
	if !l.takeSlot(ctx, class) {
		return nil, false
	}
	var once sync.Once
	releaseOnce := func() { once.Do(l.release) }
	cancel := l.afterFunc(slotTime, releaseOnce)
	return func() {
		cancel()
		releaseOnce()
	}, true
}

// takeSlot takes a free slot, or waits for one. It returns false when ctx has ended.
func (l *callLimiter) takeSlot(ctx context.Context, class callClass) bool {
	l.mu.Lock()
	if l.freeSlots > 0 {
		l.freeSlots--
		l.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	l.waiting[class] = append(l.waiting[class], turn)
	l.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	if !l.removeWaiter(class, turn) {
		l.release() // the slot was given at the same moment
	}
	return false
}

// removeWaiter removes a waiting call; it returns false when the call has been admitted already.
func (l *callLimiter) removeWaiter(class callClass, turn chan struct{}) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, t := range l.waiting[class] {
		if t == turn {
			l.waiting[class] = append(l.waiting[class][:i], l.waiting[class][i+1:]...)
			return true
		}
	}
	return false
}

// waitingCount returns the number of waiting calls.
func (l *callLimiter) waitingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, waiting := range l.waiting {
		n += len(waiting)
	}
	return n
}

// release gives the slot of a call to a waiting one, or frees it.
func (l *callLimiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turnIndex = (l.turnIndex + 1) % len(classTurns)
	if l.admit(classTurns[l.turnIndex]) {
		return
	}
	for class := range callClassCount {
		if l.admit(class) {
			return
		}
	}
	l.freeSlots++
}

// admit admits the first waiting call of a class; it reports whether there was one. The caller holds
// l.mu.
func (l *callLimiter) admit(class callClass) bool {
	waiting := l.waiting[class]
	if len(waiting) == 0 {
		return false
	}
	l.waiting[class] = waiting[1:]
	close(waiting[0])
	return true
}
