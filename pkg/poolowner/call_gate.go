package poolowner

import (
	"context"
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
)

const (
	// callsAtOnce is how many calls to workers are begun and not yet over, of those that count.
	callsAtOnce = 64
	// callCounts is how long a call counts at most: one to a silent worker must not keep the
	// others waiting until its time limit.
	callCounts = 50 * time.Millisecond
	// waitCounts is how long a call counts that a worker may let wait for an end.
	waitCounts = 10 * time.Millisecond
)

// unboundedCalls is more calls than an owner ever begins at once.
const unboundedCalls = 1 << 20

func callsAtOnceOf(deps Deps) int {
	if deps.Without.Contains(dispatch.CallLimit) {
		return unboundedCalls
	}
	return callsAtOnce
}

// callClass is the order in which calls are let through.
type callClass int

// The classes of calls, the most urgent first.
const (
	callOrder  callClass = iota // starts, stops, pace, and holds that settle a lost answer
	callHold                    // holds that extend leases
	callFirst                   // the first hold of a worker
	callSilent                  // holds of workers that have not answered the last one
	callClasses
)

// turns tells which class is asked first, release by release: a flood of orders must not keep
// leases from being extended, nor new workers from being met. A class in which none waits
// leaves its turn to the most urgent one.
var turns = [...]callClass{callOrder, callHold, callOrder, callHold, callOrder, callFirst, callOrder, callSilent}

// callGate bounds the calls to workers that this process has on its hands. A time limit runs
// while a call waits for the processor, too: with too many calls begun at once all of them
// fail, and are made again over new connections, which takes more time still. A gate that is
// passed before the limit begins keeps a process with too much to do at the rate that it can
// bear. This is admission control by concurrency; see "Little's law".
type callGate struct {
	// after calls a function later; it returns what cancels that.
	after func(d time.Duration, f func()) (cancel func())

	mu      sync.Mutex
	free    int
	turn    int // in turns
	waiting [callClasses][]chan struct{}
}

func newCallGate(calls int) *callGate {
	return &callGate{free: calls, after: func(d time.Duration, f func()) func() {
		t := time.AfterFunc(d, f)
		return func() { t.Stop() }
	}}
}

// enter waits until a call may begin. The call counts until leave is called, but no longer
// than counts. ok is false when ctx has ended; leave must not be called then.
func (g *callGate) enter(ctx context.Context, class callClass, counts time.Duration) (leave func(), ok bool) {
	if !g.pass(ctx, class) {
		return nil, false
	}
	var once sync.Once
	give := func() { once.Do(g.release) }
	cancel := g.after(counts, give)
	return func() {
		cancel()
		give()
	}, true
}

// pass takes one of the free calls, or waits for one.
func (g *callGate) pass(ctx context.Context, class callClass) bool {
	g.mu.Lock()
	if g.free > 0 {
		g.free--
		g.mu.Unlock()
		return true
	}
	turn := make(chan struct{})
	g.waiting[class] = append(g.waiting[class], turn)
	g.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	if !g.withdraw(class, turn) {
		g.release() // its turn came at the same moment
	}
	return false
}

// withdraw takes back a wait; it says whether it was still waiting.
func (g *callGate) withdraw(class callClass, turn chan struct{}) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, t := range g.waiting[class] {
		if t == turn {
			g.waiting[class] = append(g.waiting[class][:i], g.waiting[class][i+1:]...)
			return true
		}
	}
	return false
}

// queued is how many calls wait.
func (g *callGate) queued() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, waiting := range g.waiting {
		n += len(waiting)
	}
	return n
}

// release hands a call on to one that waits.
func (g *callGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turn = (g.turn + 1) % len(turns)
	if g.admit(turns[g.turn]) {
		return
	}
	for class := range callClasses {
		if g.admit(class) {
			return
		}
	}
	g.free++
}

// admit lets the first through that waits in a class; it says whether there was one. The caller
// holds g.mu.
func (g *callGate) admit(class callClass) bool {
	waiting := g.waiting[class]
	if len(waiting) == 0 {
		return false
	}
	g.waiting[class] = waiting[1:]
	close(waiting[0])
	return true
}
