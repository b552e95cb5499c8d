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
	l := newCallGate(calls)
	l.after = h.after
	return l, h
}

// acquireInBackground acquires a slot in a goroutine, which sends the class to passed when it has it. It
// returns when the call waits.
func enterLater(l *callGate, class callClass, admitted chan<- callClass) {
	waiting := l.waitingCalls(class)
	go func() {
		if _, ok := l.enter(context.Background(), class, time.Second); ok {
			admitted <- class
		}
	}()
	Eventually(func() int { return l.waitingCalls(class) }).Should(Equal(waiting + 1))
}

// waitingInClass returns the number of waiting calls of a class.
func (l *callGate) waitingCalls(class callClass) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting[class])
}

func TestGateLetsThroughNoMoreCallsThanItHolds(t *testing.T) {
	RegisterTestingT(t)
	l, _ := gateForTest(2)
	done, ok := l.enter(context.Background(), callHold, time.Second)
	Expect(ok).To(BeTrue())
	_, ok = l.enter(context.Background(), callHold, time.Second)
	Expect(ok).To(BeTrue())
	admitted := make(chan callClass, 1)
	enterLater(l, callHold, admitted)
	Consistently(admitted, 30*time.Millisecond).ShouldNot(Receive())
	done()
	done() // a call releases its slot only once
	Eventually(admitted).Should(Receive())
	Expect(l.free).To(Equal(0))
}

func TestGateLetsOrdersThroughBeforeHoldsOfSilentWorkers(t *testing.T) {
	RegisterTestingT(t)
	l, _ := gateForTest(1)
	done, _ := l.enter(context.Background(), callHold, time.Second)
	admitted := make(chan callClass, 3)
	enterLater(l, callSilent, admitted)
	enterLater(l, callHold, admitted)
	enterLater(l, callOrder, admitted)
	l.turn = len(turns) - 1 // so that the turn is that of orders
	done()
	Eventually(admitted).Should(Receive(Equal(callOrder)))
	l.release()
	Eventually(admitted).Should(Receive(Equal(callHold)))
	l.release()
	Eventually(admitted).Should(Receive(Equal(callSilent)))
}

func TestFloodOfOrdersLeavesTurnsToHolds(t *testing.T) {
	RegisterTestingT(t)
	l, _ := gateForTest(1)
	_, _ = l.enter(context.Background(), callOrder, time.Second)
	admitted := make(chan callClass, 40)
	for range 12 {
		enterLater(l, callOrder, admitted)
	}
	for class := callHold; class < callClasses; class++ {
		enterLater(l, class, admitted)
	}
	counts := map[callClass]int{}
	for range len(turns) {
		l.release()
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
	l, timers := gateForTest(1)
	done, _ := l.enter(context.Background(), callOrder, callCounts)
	Expect(timers.durations).To(Equal([]time.Duration{callCounts}))
	timers.calls[0]()
	Expect(l.free).To(Equal(1))
	done()
	Expect(l.free).To(Equal(1))
}

func TestCallThatIsGivenUpWhileItWaitsTakesNoPlace(t *testing.T) {
	RegisterTestingT(t)
	l, _ := gateForTest(1)
	done, _ := l.enter(context.Background(), callHold, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan bool, 1)
	go func() {
		_, ok := l.enter(ctx, callHold, time.Second)
		cancelled <- !ok
	}()
	Eventually(func() int { return l.waitingCalls(callHold) }).Should(Equal(1))
	cancel()
	Eventually(cancelled).Should(Receive(BeTrue()))
	done()
	Expect(l.free).To(Equal(1))
}
