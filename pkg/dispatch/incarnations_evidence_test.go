package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// While the store is unreachable, the next incarnation is known by its reports only. It may have less
// capacity than the previous one.
func listBeforeEntry(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.survives(firstLife(0), s)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	newWorkers := f.plan().NewWorkers
	f.Expect(newWorkers).To(HaveLen(1), "it is polled from now on")
	f.Expect(newWorkers[0].ID).To(Equal(secondLife(0).id))
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "its capacity is not known yet")
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
	f.Expect(f.plan().Starts).To(BeEmpty(), "the previous incarnation may have ended, and the next one has not answered")
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

// The store may deliver an entry of the previous incarnation after the next one has answered.
func lateEntriesOfFormerLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.lists(firstLife(0))
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "its capacity is not known yet")
	f.lists(secondLife(0))
	f.reports(secondLife(0), Report{})
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// The second incarnation ends before it has answered any poll; its entry is read after the third one has
// answered.
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
	f.lists(secondLife(0))
	f.pass(time.Millisecond)
	f.Expect(f.hold(thirdLife(0), false).Deadline).NotTo(BeZero(), "it is not taken for ended")
	f.Expect(f.pool.Workers()).To(HaveLen(1), "the second incarnation does not come back")
	f.lists(thirdLife(0))
	f.reports(thirdLife(0), f.end(again, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// A poll was sent while the first incarnation was running, answered by the second one, and the answer was
// delayed until the entry of the third had been read. The third one is running.
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

// A poll was sent while the first incarnation was running, answered by the second one, and the answer was
// delayed until the third had begun.
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
	f.Expect(f.plan().Starts).To(BeEmpty(), "the run continues")
	f.reports(thirdLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}
