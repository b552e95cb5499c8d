package advice

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func TestBackoffDoublesWithEachFailure(t *testing.T) {
	g := NewWithT(t)
	a := NewAdvisers()
	a.setIdle("host", true)
	now := clock.Time(1000)
	fail := func() time.Duration {
		a.setIdle("host", false)
		a.Release("host", false, now)
		failedAt := now
		for a.idleCount == 0 {
			now = now.Add(10 * time.Millisecond)
			a.EndBackoffs(now)
		}
		return now.Sub(failedAt)
	}
	g.Expect(fail()).To(Equal(initialBackoff))
	g.Expect(fail()).To(Equal(2 * initialBackoff))
	for range 100 {
		fail()
	}
	g.Expect(fail()).To(Equal(initialBackoff << maxBackoffDoublings))
	a.setIdle("host", false)
	a.Release("host", true, now)
	g.Expect(a.idleCount).To(Equal(1))
	g.Expect(fail()).To(Equal(initialBackoff), "a success ends the series")
}

func TestProcessesMakeOneCallAtATime(t *testing.T) {
	g, a := NewWithT(t), NewAdvisers()
	a.Add("b")
	a.Add("a")
	g.Expect([]string{a.Acquire(), a.Acquire(), a.Acquire()}).To(Equal([]string{"a", "b", ""}))
	g.Expect(a.IdleCount()).To(Equal(0))
	a.Release("b", true, 1000)
	g.Expect(a.Acquire()).To(Equal("b"))
	g.Expect(a.Count()).To(Equal(2))
}

func TestProcessInBackoffIsNotWorking(t *testing.T) {
	g, a := NewWithT(t), NewAdvisers()
	a.Add("a")
	a.Add("b")
	a.Acquire()
	now := clock.Time(1000)
	a.Release("a", false, now)
	g.Expect([]int{a.Count(), a.IdleCount(), a.WorkingCount(now)}).To(Equal([]int{2, 1, 1}))
	now = now.Add(initialBackoff)
	a.EndBackoffs(now)
	g.Expect([]int{a.Count(), a.IdleCount(), a.WorkingCount(now)}).To(Equal([]int{2, 2, 2}))
}

func TestRemovedProcessIsNotAcquired(t *testing.T) {
	g, a := NewWithT(t), NewAdvisers()
	a.Add("a")
	a.Acquire()
	a.Remove("a")
	a.Release("a", true, 1000)
	g.Expect([]int{a.Count(), a.IdleCount(), a.WorkingCount(1000)}).To(Equal([]int{0, 0, 0}))
	g.Expect(a.Acquire()).To(BeEmpty())
}
