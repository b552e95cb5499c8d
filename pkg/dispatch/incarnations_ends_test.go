package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func endsOfNextLifeCount(t *testing.T) {
	f := newLives(t, 1, nil)
	f.doneOnFirst("a")
	f.pass(time.Second)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("b", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.Expect(f.hold(secondLife(0), false).AckedEnd).To(BeZero())
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["b"].outcome).To(Equal(job.Completed))
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.Expect(f.hold(secondLife(0), false).AckedEnd).To(Equal(int64(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

func clockOfNextLifeIsBelow(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(4)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.acceptBy(s, firstLife(0))
	}
	f.survives(firstLife(0), starts...)
	f.pass(time.Second)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(4), "nothing of the previous incarnation runs")
	poll := f.hold(secondLife(0), false)
	f.Expect(poll.Deadline).To(BeNumerically("~", f.workerClock-secondLife(0).behind+5000, 50), "by the clock of the second incarnation")
}

func gangGoesAgain(t *testing.T) {
	f := newLives(t, 2, nil)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	var first, other []StartOrder
	for _, s := range f.plan().Starts {
		f.acceptBy(s, firstLife(numberOf(s.Worker)))
		if numberOf(s.Worker) == 0 {
			first = append(first, s)
		} else {
			other = append(other, s)
		}
	}
	f.Expect(first).To(HaveLen(4))
	f.survives(firstLife(1), other...)
	f.survives(firstLife(0), first...)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	var broken Report
	for n, s := range other {
		broken.Finished = append(broken.Finished, FinishedRun{Number: int64(n + 1), Task: s.Task, Run: s.Run, Reason: EndGangBroken})
	}
	f.reports(firstLife(1), broken)
	f.Expect(f.plan().Starts).To(HaveLen(8))
}

func lastingTaskGoesAgain(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", servingStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.survives(firstLife(0), s)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	again := f.onlyStart()
	f.Expect(again.Run).To(BeNumerically(">", s.Run))
}

// A poll may reach the next incarnation, for which the end numbers of the previous one mean nothing. So
// ends are acknowledged only to a worker that answered a moment ago: a worker that restarts cannot have
// run and ended a task since.
func noEndIsNotedUnseen(t *testing.T) {
	f := newLives(t, 1, nil)
	f.doneOnFirst("a")
	f.Expect(f.hold(firstLife(0), false).AckedEnd).To(Equal(int64(7)), "it has answered just now")
	f.add(testJob("b", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0)) // the worker has restarted and carried out the start
	f.pass(700 * time.Millisecond)
	poll := f.hold(firstLife(0), false)
	f.Expect(poll.AckedEnd).To(BeZero(), "the next incarnation would forget an end that no owner has read")
	f.answers(poll, secondLife(0), f.end(s, 1, EndDone))
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["b"].outcome).To(Equal(job.Completed))
}

// Seed 386 of the histories behind relays: a poll for the previous incarnation was sent when the entry of
// the next one was known. It was carried out by the next one seconds later, with the end numbers of the
// previous one.
func holdForDoubtedLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.doneOnFirst("a")
	f.lists(secondLife(0))
	f.pass(time.Millisecond)
	poll := f.hold(firstLife(0), false)
	f.Expect(poll.AckedEnd).To(BeZero())
	f.Expect(poll.Deadline).To(BeZero())
	f.answers(poll, firstLife(0), Report{}) // the first incarnation is running after all
	f.pass(time.Millisecond)
	f.Expect(f.hold(firstLife(0), false).AckedEnd).To(Equal(int64(7)))
}

// pollAfterOutdatedEntry has the entry of the previous incarnation come after that of the next one, and
// returns a poll for the previous one that acknowledges its ends again.
func notedAgain(t *testing.T) (f *fixture, late PollOrder) {
	f = newLives(t, 1, nil)
	f.doneOnFirst("a")
	f.lists(secondLife(0))
	f.lists(firstLife(0))
	f.pass(time.Millisecond)
	late = f.hold(firstLife(0), false)
	f.Expect(late.AckedEnd).To(Equal(int64(7)), "the first incarnation is not taken for ended")
	return f, late
}

// expectHigherStartToken has the next incarnation answer and checks that a start for it has a higher
// token than a poll for the previous one.
func (f *fixture) startHasHigherToken(late PollOrder) {
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("b", testStep(1)))
	f.Expect(f.onlyStart().Token).To(BeNumerically(">", late.Token), "the late poll cannot acknowledge the end of what is started here")
}

// Seed 20477 of the histories with short downtimes: the entry of the previous incarnation came after that
// of the next one, so that a poll for the previous one acknowledged its ends again. The next incarnation
// received that poll late, after a start with the same token.
func lateHoldOfFormerLife(t *testing.T) {
	f, late := notedAgain(t)
	f.startHasHigherToken(late)
}

// Seed 10298: the same, when the previous incarnation had been terminated without a report before the
// next one answered.
func lateHoldOfLapsedLife(t *testing.T) {
	f, late := notedAgain(t)
	f.lists(secondLife(0))
	for range 20 {
		f.pass(500 * time.Millisecond)
		f.plan()
	}
	f.Expect(f.pool.workers).NotTo(HaveKey(firstLife(0).id), "it was terminated")
	f.startHasHigherToken(late)
}
