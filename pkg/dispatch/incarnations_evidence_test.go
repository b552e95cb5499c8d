package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// Which life is there, by lists and entries that come in any order.

// While the store is away, the next life is known by its lists only. It may hold less than the former one.
func listBeforeEntry(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.survives(firstLife(0), s)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	meets := f.plan().NewWorkers
	f.Expect(meets).To(HaveLen(1), "it is asked from now on")
	f.Expect(meets[0].ID).To(Equal(secondLife(0).id))
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "nobody has read what it holds")
	f.lists(secondLife(0))
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func entryBeforeList(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(2)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	f.acceptBy(starts[0], firstLife(0))
	f.acceptBy(starts[1], firstLife(0))
	f.survives(firstLife(0), starts...)
	f.lists(secondLife(0))
	f.add(testJob("b", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the former life may have ended, and the next one has not answered")
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(3))
}

func lateAnswersOfFormerLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.survives(firstLife(0), s)
	late := f.hold(firstLife(0), false)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.answers(late, firstLife(0), f.end(s, 9, EndLeaseExpired))
	again := f.onlyStart()
	f.acceptBy(again, secondLife(0))
	f.answers(late, firstLife(0), listed(s))
	f.reports(secondLife(0), f.end(again, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// The store may show an entry of the former life after the next one has answered.
func lateEntriesOfFormerLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.lists(firstLife(0))
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "nobody has read what it holds")
	f.lists(secondLife(0))
	f.reports(secondLife(0), Report{})
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// The second life ends before anyone has heard of it; its entry is read after the third one has answered.
func severalLives(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.survives(firstLife(0), s)
	f.pass(time.Second)
	f.answers(f.hold(firstLife(0), false), thirdLife(0), Report{})
	f.lists(secondLife(0))
	f.answers(f.hold(secondLife(0), false), thirdLife(0), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.lists(thirdLife(0))
	f.reports(thirdLife(0), Report{})
	f.reports(thirdLife(0), Report{})
	again := f.onlyStart()
	f.acceptBy(again, thirdLife(0))
	f.lists(secondLife(0)) // once more, late
	f.pass(time.Millisecond)
	f.Expect(f.hold(thirdLife(0), false).Deadline).NotTo(BeZero(), "no doubt about it")
	f.Expect(f.pool.Workers()).To(HaveLen(1), "the second life does not come back")
	f.lists(thirdLife(0))
	f.reports(thirdLife(0), f.end(again, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// A hold was sent while the first life was there, answered by the second one, and held up until the entry of the third was read: that one is there.
func listHeldUp(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.noAnswer(s)
	early := f.hold(firstLife(0), false)
	f.pass(700 * time.Millisecond)
	f.lists(thirdLife(0))
	f.answers(early, secondLife(0), Report{})
	f.reports(thirdLife(0), Report{})
	f.reports(thirdLife(0), Report{})
	again := f.onlyStartAgain(thirdLife(0), Report{})
	f.acceptBy(again, thirdLife(0))
	f.reports(thirdLife(0), f.end(again, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
	f.Expect(f.pool.Workers()).To(HaveLen(1))
}

// A hold was sent while the first life was there, answered by the second one, and held up on its way until the third has begun.
func lateListOfEndedLife(t *testing.T) {
	f := newLives(t, 1, nil)
	early := f.hold(firstLife(0), false)
	f.pass(700 * time.Millisecond)
	f.begins(thirdLife(0), Report{})
	f.reports(thirdLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, thirdLife(0))
	f.answers(early, secondLife(0), Report{})
	f.reports(thirdLife(0), listed(s))
	f.reports(thirdLife(0), listed(s))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the run goes on")
	f.reports(thirdLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}
