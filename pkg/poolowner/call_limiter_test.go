package poolowner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// fakeTimers records the functions that a limiter schedules, without calling them.
type fakeTimers struct {
	calls     []func()
	durations []time.Duration
}

func (t *fakeTimers) afterFunc(d time.Duration, f func()) func() {
	t.calls = append(t.calls, f)
	t.durations = append(t.durations, d)
	return func() {}
}

func newTestLimiter(calls int) (*callLimiter, *fakeTimers) {
	t := &fakeTimers{}
	l := newCallLimiter(calls)
	l.afterFunc = t.afterFunc
	return l, t
}

// acquireInBackground acquires a slot in a goroutine, which sends the class to admitted when it has it. It
// returns when the call waits.
func acquireInBackground(l *callLimiter, class callClass, admitted chan<- callClass) {
	waiting := l.waitingInClass(class)
	go func() {
		if _, ok := l.acquire(context.Background(), class, time.Second); ok {
			admitted <- class
		}
	}()
	Eventually(func() int { return l.waitingInClass(class) }).Should(Equal(waiting + 1))
}

// waitingInClass returns the number of waiting calls of a class.
func (l *callLimiter) waitingInClass(class callClass) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting[class])
}

func TestLimiterAdmitsNoMoreCallsThanItHasSlots(t *testing.T) {
	RegisterTestingT(t)
	l, _ := newTestLimiter(2)
	done, ok := l.acquire(context.Background(), classPoll, time.Second)
	Expect(ok).To(BeTrue())
	_, ok = l.acquire(context.Background(), classPoll, time.Second)
	Expect(ok).To(BeTrue())
	admitted := make(chan callClass, 1)
	acquireInBackground(l, classPoll, admitted)
	Consistently(admitted, 30*time.Millisecond).ShouldNot(Receive())
	done()
	done() // a call releases its slot only once
	Eventually(admitted).Should(Receive())
	Expect(l.freeSlots).To(Equal(0))
}

func TestLimiterAdmitsOrdersBeforePolls(t *testing.T) {
	RegisterTestingT(t)
	l, _ := newTestLimiter(1)
	done, _ := l.acquire(context.Background(), classPoll, time.Second)
	admitted := make(chan callClass, 3)
	acquireInBackground(l, classUnansweredPoll, admitted)
	acquireInBackground(l, classPoll, admitted)
	acquireInBackground(l, classOrder, admitted)
	l.turnIndex = len(classTurns) - 1 // so that the turn is that of orders
	done()
	Eventually(admitted).Should(Receive(Equal(classOrder)))
	l.release()
	Eventually(admitted).Should(Receive(Equal(classPoll)))
	l.release()
	Eventually(admitted).Should(Receive(Equal(classUnansweredPoll)))
}

func TestFloodOfOrdersLeavesTurnsToPolls(t *testing.T) {
	RegisterTestingT(t)
	l, _ := newTestLimiter(1)
	_, _ = l.acquire(context.Background(), classOrder, time.Second)
	admitted := make(chan callClass, 40)
	for range 12 {
		acquireInBackground(l, classOrder, admitted)
	}
	for class := classPoll; class < callClassCount; class++ {
		acquireInBackground(l, class, admitted)
	}
	counts := map[callClass]int{}
	for range len(classTurns) {
		l.release()
		var class callClass
		Eventually(admitted).Should(Receive(&class))
		counts[class]++
	}
	Expect(counts[classPoll]).To(Equal(1))
	Expect(counts[classFirstPoll]).To(Equal(1))
	Expect(counts[classUnansweredPoll]).To(Equal(1))
	Expect(counts[classOrder]).To(Equal(len(classTurns) - 3))
}

func TestUnansweredCallReleasesItsSlotAfterTheSlotTime(t *testing.T) {
	RegisterTestingT(t)
	l, timers := newTestLimiter(1)
	done, _ := l.acquire(context.Background(), classOrder, maxSlotTime)
	Expect(timers.durations).To(Equal([]time.Duration{maxSlotTime}))
	timers.calls[0]()
	Expect(l.freeSlots).To(Equal(1))
	done()
	Expect(l.freeSlots).To(Equal(1))
}

func TestCallCancelledWhileWaitingTakesNoSlot(t *testing.T) {
	RegisterTestingT(t)
	l, _ := newTestLimiter(1)
	done, _ := l.acquire(context.Background(), classPoll, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan bool, 1)
	go func() {
		_, ok := l.acquire(ctx, classPoll, time.Second)
		cancelled <- !ok
	}()
	Eventually(func() int { return l.waitingInClass(classPoll) }).Should(Equal(1))
	cancel()
	Eventually(cancelled).Should(Receive(BeTrue()))
	done()
	Expect(l.freeSlots).To(Equal(1))
}
