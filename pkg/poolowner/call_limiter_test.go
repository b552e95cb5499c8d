package poolowner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// heldTimers collects what a gate wants called later.
type heldTimers struct {
	calls     []func()
	durations []time.Duration
}

func (h *heldTimers) after(d time.Duration, f func()) func() {
	h.calls = append(h.calls, f)
	h.durations = append(h.durations, d)
	return func() {}
}

func gateForTest(calls int) (*callGate, *heldTimers) {
	h := &heldTimers{}
	g := newCallGate(calls)
	g.after = h.after
	return g, h
}

// enterLater enters a gate in a goroutine and returns a channel that tells its name when it
// has passed.
func enterLater(g *callGate, class callClass, passed chan<- callClass) {
	before := g.waitingCalls(class)
	go func() {
		if _, ok := g.enter(context.Background(), class, time.Second); ok {
			passed <- class
		}
	}()
	Eventually(func() int { return g.waitingCalls(class) }).Should(Equal(before + 1))
}

// waitingCalls counts the calls of a class that wait.
func (g *callGate) waitingCalls(class callClass) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting[class])
}

func TestGateLetsThroughNoMoreCallsThanItHolds(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(2)
	leave, ok := g.enter(context.Background(), callHold, time.Second)
	Expect(ok).To(BeTrue())
	_, ok = g.enter(context.Background(), callHold, time.Second)
	Expect(ok).To(BeTrue())
	passed := make(chan callClass, 1)
	enterLater(g, callHold, passed)
	Consistently(passed, 30*time.Millisecond).ShouldNot(Receive())
	leave()
	leave() // a call that is over gives its place back once
	Eventually(passed).Should(Receive())
	Expect(g.free).To(Equal(0))
}

func TestGateLetsOrdersThroughBeforeHoldsOfSilentWorkers(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(1)
	leave, _ := g.enter(context.Background(), callHold, time.Second)
	passed := make(chan callClass, 3)
	enterLater(g, callSilent, passed)
	enterLater(g, callHold, passed)
	enterLater(g, callOrder, passed)
	g.turn = len(turns) - 1 // so that the turn is that of orders
	leave()
	Eventually(passed).Should(Receive(Equal(callOrder)))
	g.release()
	Eventually(passed).Should(Receive(Equal(callHold)))
	g.release()
	Eventually(passed).Should(Receive(Equal(callSilent)))
}

func TestFloodOfOrdersLeavesTurnsToHolds(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(1)
	_, _ = g.enter(context.Background(), callOrder, time.Second)
	passed := make(chan callClass, 40)
	for range 12 {
		enterLater(g, callOrder, passed)
	}
	for class := callHold; class < callClasses; class++ {
		enterLater(g, class, passed)
	}
	let := map[callClass]int{}
	for range len(turns) {
		g.release()
		var class callClass
		Eventually(passed).Should(Receive(&class))
		let[class]++
	}
	Expect(let[callHold]).To(Equal(1))
	Expect(let[callFirst]).To(Equal(1))
	Expect(let[callSilent]).To(Equal(1))
	Expect(let[callOrder]).To(Equal(len(turns) - 3))
}

func TestCallToASilentWorkerCountsForAWhileOnly(t *testing.T) {
	RegisterTestingT(t)
	g, timers := gateForTest(1)
	leave, _ := g.enter(context.Background(), callOrder, callCounts)
	Expect(timers.durations).To(Equal([]time.Duration{callCounts}))
	timers.calls[0]()
	Expect(g.free).To(Equal(1))
	leave()
	Expect(g.free).To(Equal(1))
}

func TestCallThatIsGivenUpWhileItWaitsTakesNoPlace(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(1)
	leave, _ := g.enter(context.Background(), callHold, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	gaveUp := make(chan bool, 1)
	go func() {
		_, ok := g.enter(ctx, callHold, time.Second)
		gaveUp <- !ok
	}()
	Eventually(func() int { return g.waitingCalls(callHold) }).Should(Equal(1))
	cancel()
	Eventually(gaveUp).Should(Receive(BeTrue()))
	leave()
	Expect(g.free).To(Equal(1))
}
