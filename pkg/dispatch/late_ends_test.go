package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// doneUnheard is a hall in which worker 1 has done the only task unheard, and worker 0 alone is given what starts next, of which it leaves the first start without an answer.
func doneUnheard(t *testing.T) *hall {
	h := newHall(t, 2)
	h.closed(0)
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.passes(2 * beat)
	h.Expect(h.there[1].active).To(HaveLen(1))
	h.there[1].cut = true
	h.closed(1)
	h.loses = func(StartOrder) bool { return len(h.kept) == 0 }
	return h
}

// Guards against a late start after an end that was noted: the worker of an earlier run is heard of again after the job has ended, and its end is noted though a void start may come.
func TestEndThatIsHeardWhenTheJobIsForgottenIsHeld(t *testing.T) {
	h := doneUnheard(t)
	h.startsWithin(10*time.Second, "a")
	h.Expect(h.kept).To(HaveLen(1))
	h.becomesVoid()
	h.isDoneWithin(4*time.Second, "a")
	h.Expect(h.pool.jobs).NotTo(HaveKey(h.kept[0].Task.Job))
	h.there[1].cut = false
	h.passes(maxOrderDelay)
	h.Expect(h.noted).To(HaveLen(2))
}

// Guards against a late start after an end that was noted: the worker of an earlier run is heard of again while nobody knows whether the next start is void.
func TestEndOfAnEarlierRunIsHeldWhileAStartIsUnsettled(t *testing.T) {
	h := doneUnheard(t)
	h.startsWithin(10*time.Second, "a")
	h.Expect(h.kept).To(HaveLen(1))
	h.there[0].cut = true
	h.there[1].cut = false
	h.passes(maxOrderDelay)
	h.passes(2 * time.Second)
	h.Expect(h.noted).To(HaveLen(1))
}

// Guards against the same by the next owner, which reads the outcome: it was stored before the call of the start was over.
func TestOutcomeTellsOfAStartWhoseCallIsNotOver(t *testing.T) {
	h := doneUnheard(t)
	h.unheard = true
	h.startsWithin(10*time.Second, "a")
	h.Expect(h.kept).To(HaveLen(1))
	h.there[0].cut = true
	h.there[1].cut = false
	h.passes(3 * beat)
	h.noAnswer(h.kept[0].StartOrder)
	h.nextOwner()
	h.passes(maxOrderDelay)
	h.passes(maxWallClockSkew)
	h.Expect(h.noted).To(HaveLen(1))
}
