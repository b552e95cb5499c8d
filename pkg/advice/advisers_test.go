package advice

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

func TestProcessWhoseCallsFailRestsLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	a := NewAdvisers()
	a.setIdle("host", true)
	now := clock.Time(1000)
	fail := func() time.Duration {
		a.setIdle("host", false)
		a.Answered("host", false, now)
		failedAt := now
		for a.free == 0 {
			now = now.Add(10 * time.Millisecond)
			a.EndRests(now)
		}
		return now.Sub(failedAt)
	}
	g.Expect(fail()).To(Equal(firstRest))
	g.Expect(fail()).To(Equal(2 * firstRest))
	for range 100 {
		fail()
	}
	g.Expect(fail()).To(Equal(firstRest << mostDoublings))
	a.setIdle("host", false)
	a.Answered("host", true, now)
	g.Expect(a.free).To(Equal(1))
	g.Expect(fail()).To(Equal(firstRest), "a success ends the series")
}

func TestProcessesMakeOneCallAtATime(t *testing.T) {
	g, a := NewWithT(t), NewAdvisers()
	a.Put("b")
	a.Put("a")
	g.Expect([]string{a.Take(), a.Take(), a.Take()}).To(Equal([]string{"a", "b", ""}))
	g.Expect(a.Free()).To(Equal(0))
	a.Answered("b", true, 1000)
	g.Expect(a.Take()).To(Equal("b"))
	g.Expect(a.Joined()).To(Equal(2))
}

func TestRestingProcessDoesNotWork(t *testing.T) {
	g, a := NewWithT(t), NewAdvisers()
	a.Put("a")
	a.Put("b")
	a.Take()
	now := clock.Time(1000)
	a.Answered("a", false, now)
	g.Expect([]int{a.Joined(), a.Free(), a.Working(now)}).To(Equal([]int{2, 1, 1}))
	now = now.Add(firstRest)
	a.EndRests(now)
	g.Expect([]int{a.Joined(), a.Free(), a.Working(now)}).To(Equal([]int{2, 2, 2}))
}

func TestProcessThatLeftIsNotTaken(t *testing.T) {
	g, a := NewWithT(t), NewAdvisers()
	a.Put("a")
	a.Take()
	a.Remove("a")
	a.Answered("a", true, 1000)
	g.Expect([]int{a.Joined(), a.Free(), a.Working(1000)}).To(Equal([]int{0, 0, 0}))
	g.Expect(a.Take()).To(BeEmpty())
}
