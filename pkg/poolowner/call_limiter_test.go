package poolowner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakeTimers records the functions that a limiter schedules, without calling them.
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

// acquireInBackground acquires a slot in a goroutine, which sends the class to passed when it has it. It
// returns when the call waits.
func enterLater(g *callGate, class callClass, admitted chan<- callClass) {
	waiting := g.waitingCalls(class)
	go func() {
		if _, ok := g.enter(context.Background(), class, time.Second); ok {
			admitted <- class
		}
	}()
	Eventually(func() int { return g.waitingCalls(class) }).Should(Equal(waiting + 1))
}

// waitingInClass returns the number of waiting calls of a class.
func (g *callGate) waitingCalls(class callClass) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.waiting[class])
}

func TestGateLetsThroughNoMoreCallsThanItHolds(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(2)
	done, ok := g.enter(context.Background(), callHold, time.Second)
	Expect(ok).To(BeTrue())
	_, ok = g.enter(context.Background(), callHold, time.Second)
	Expect(ok).To(BeTrue())
	admitted := make(chan callClass, 1)
	enterLater(g, callHold, admitted)
	Consistently(admitted, 30*time.Millisecond).ShouldNot(Receive())
	done()
	done() // a call releases its slot only once
	Eventually(admitted).Should(Receive())
	Expect(g.free).To(Equal(0))
}

func TestGateLetsOrdersThroughBeforeHoldsOfSilentWorkers(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(1)
	done, _ := g.enter(context.Background(), callHold, time.Second)
	admitted := make(chan callClass, 3)
	enterLater(g, callSilent, admitted)
	enterLater(g, callHold, admitted)
	enterLater(g, callOrder, admitted)
	g.turn = len(turns) - 1 // so that the turn is that of orders
	done()
	Eventually(admitted).Should(Receive(Equal(callOrder)))
	g.release()
	Eventually(admitted).Should(Receive(Equal(callHold)))
	g.release()
	Eventually(admitted).Should(Receive(Equal(callSilent)))
}

func TestFloodOfOrdersLeavesTurnsToHolds(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(1)
	_, _ = g.enter(context.Background(), callOrder, time.Second)
	admitted := make(chan callClass, 40)
	for range 12 {
		enterLater(g, callOrder, admitted)
	}
	for class := callHold; class < callClasses; class++ {
		enterLater(g, class, admitted)
	}
	counts := map[callClass]int{}
	for range len(turns) {
		g.release()
		var class callClass
		Eventually(admitted).Should(Receive(&class))
		counts[class]++
	}
	Expect(counts[callHold]).To(Equal(1))
	Expect(counts[callFirst]).To(Equal(1))
	Expect(counts[callSilent]).To(Equal(1))
	Expect(counts[callOrder]).To(Equal(len(turns) - 3))
}

func TestCallToASilentWorkerCountsForAWhileOnly(t *testing.T) {
	RegisterTestingT(t)
	g, timers := gateForTest(1)
	done, _ := g.enter(context.Background(), callOrder, callCounts)
	Expect(timers.durations).To(Equal([]time.Duration{callCounts}))
	timers.calls[0]()
	Expect(g.free).To(Equal(1))
	done()
	Expect(g.free).To(Equal(1))
}

func TestCallThatIsGivenUpWhileItWaitsTakesNoPlace(t *testing.T) {
	RegisterTestingT(t)
	g, _ := gateForTest(1)
	done, _ := g.enter(context.Background(), callHold, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan bool, 1)
	go func() {
		_, ok := g.enter(ctx, callHold, time.Second)
		cancelled <- !ok
	}()
	Eventually(func() int { return g.waitingCalls(callHold) }).Should(Equal(1))
	cancel()
	Eventually(cancelled).Should(Receive(BeTrue()))
	done()
	Expect(g.free).To(Equal(1))
}
