package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func TestUnansweredStartBlocksItsTaskUntilResolved(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	w := workerNumber(s.Worker)
	f.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), f.now)
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.FenceWorkers).To(Equal([]WorkerID{s.Worker}))
	f.report(w, Report{}) // answers a poll with the same token: the start may still be carried out
	f.Expect(f.plan().Starts).To(BeEmpty())
	poll, _ := f.pool.NewPoll(s.Worker, true, true, f.now)
	f.Expect(poll.Token).To(BeNumerically(">", s.Token))
	f.advance(time.Millisecond)
	f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictDone, Clock: f.workerClock}, Report{}, f.now)
	again := f.plan().Starts
	f.Expect(again).To(HaveLen(1))
	f.Expect(again[0].Run).To(BeNumerically(">", s.Run))
}

func TestUnansweredStartThatWasCarriedOutIsAdopted(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), f.now)
	f.report(workerNumber(s.Worker), Report{Active: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 10}}})
	f.Expect(f.plan().Starts).To(BeEmpty())
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Running))
}

func TestTaskOfASilentWorkerWaitsUntilItsLeaseExpires(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	other := 1 - workerNumber(s.Worker)
	for elapsed := time.Duration(0); elapsed < 5*time.Second; elapsed += 500 * time.Millisecond {
		f.advance(500 * time.Millisecond)
		f.report(other, Report{})
		f.Expect(f.plan().Starts).To(BeEmpty())
	}
	f.advance(1400 * time.Millisecond)
	f.report(other, Report{})
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(workerNumber(starts[0].Worker)).To(Equal(other))
}

// Guards against a lost worker whose runs are never taken for ended: the worker had left, and every
// unanswered poll postponed the expiry of its leases. Seen with seed mix 625966707817 of mmda-foldarch.
func TestUnansweredPollsDoNotPostponeLeaseExpiry(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	other := 1 - workerNumber(s.Worker)
	var starts []StartOrder
	for elapsed := time.Duration(0); elapsed < 8*time.Second; elapsed += 200 * time.Millisecond {
		f.advance(200 * time.Millisecond)
		f.report(other, Report{})
		_, _ = f.pool.NewPoll(s.Worker, false, true, f.now) // no answer
		starts = append(starts, f.plan().Starts...)
	}
	f.Expect(starts).To(HaveLen(1))
	f.Expect(workerNumber(starts[0].Worker)).To(Equal(other))
}

func TestDrainingWorkerGetsNoTasks(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	w := f.pool.Workers()[0]
	w.Draining = true
	f.pool.UpsertWorker(w, true, f.now)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

func TestStuckRunIsStoppedAndStartedElsewhere(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	row := ActiveRun{Task: s.Task, Run: s.Run, Percent: 20, Checkpoint: "c1"}
	for range 5 {
		f.advance(500 * time.Millisecond)
		f.report(workerNumber(s.Worker), Report{Active: []ActiveRun{row}})
		f.report(1-workerNumber(s.Worker), Report{})
		f.pool.InspectRuns(f.now)
	}
	f.Expect(f.plan().Stops).To(HaveLen(1))
	f.report(workerNumber(s.Worker), f.endReport(s, 1, EndStopped))
	again := f.plan().Starts
	f.Expect(again).To(HaveLen(1))
	f.Expect(again[0].Worker).NotTo(Equal(s.Worker))
	f.Expect(again[0].Checkpoint).To(Equal("c1"))
}

// Guards against a run that is taken for stuck because its worker was not polled: a busy owner had not
// polled a worker for 1.65 s. Seen with seed 2965 of the random histories.
func TestRunIsNotStuckBecauseItsWorkerWasNotPolled(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	f.advance(100 * time.Millisecond)
	f.report(workerNumber(s.Worker), Report{Active: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 20}}})
	f.advance(1680 * time.Millisecond)
	f.pool.InspectRuns(f.now)
	f.Expect(f.plan().Stops).To(BeEmpty())
}

func TestRunThatOutlastsItsDrainingWorkerIsMoved(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	long := testStep(1)
	long.Estimate = 10 * time.Second
	f.add(testJob("a", long))
	s := f.plan().Starts[0]
	f.accept(s)
	w := f.pool.workers[s.Worker].info
	w.Draining, w.Remaining = true, 2*time.Second
	f.pool.UpsertWorker(w, true, f.now)
	f.report(workerNumber(s.Worker), Report{Active: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 1}}})
	f.pool.InspectRuns(f.now)
	f.Expect(f.plan().Stops).To(HaveLen(1))
	f.report(workerNumber(s.Worker), f.endReport(s, 1, EndStopped))
	again := f.plan().Starts
	f.Expect(again).To(HaveLen(1))
	f.Expect(again[0].Worker).NotTo(Equal(s.Worker))
}

func TestRunThatEndsBeforeItsWorkerLeavesIsNotMoved(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	w := f.pool.workers[s.Worker].info
	w.Draining, w.Remaining = true, 2*time.Second
	f.pool.UpsertWorker(w, true, f.now)
	f.report(0, Report{Active: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 1}}})
	f.pool.InspectRuns(f.now)
	f.Expect(f.plan().Stops).To(BeEmpty())
}

func TestWorkerIsUsedOnlyOnceInRoster(t *testing.T) {
	f := newFixture(t, 0, nil)
	f.pool.UpsertWorker(WorkerInfo{
		ID: "w0", Pool: "pool", Address: netip.MustParseAddrPort("10.0.0.1:80"),
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}, true, f.now)
	f.report(0, Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pool.MarkInRoster([]WorkerID{"w0"})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestWorkerThatLeftAsAnnouncedIsTerminatedAtOnce(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		f := newFixture(t, 2, nil)
		f.reportAll(2)
		f.add(testJob("a", testStep(1)))
		s := f.plan().Starts[0]
		f.accept(s)
		w := f.pool.workers[s.Worker].info
		w.Draining, w.Remaining = true, 2*time.Second
		f.pool.UpsertWorker(w, true, f.now)
		f.advance(2 * time.Second)
		f.report(1-workerNumber(s.Worker), Report{})
		f.pool.RemoveEntry(s.Worker, fresh, f.now)
		if fresh {
			f.Expect(f.plan().Starts).To(HaveLen(1))
		} else {
			f.Expect(f.plan().Starts).To(BeEmpty(), "the worker may have been cut off from the store")
		}
	}
}

// The number of calls to workers per second must not grow with the pool.
func TestPollsWaitLongerInALargePool(t *testing.T) {
	small := newFixture(t, 48, nil)
	small.Expect(small.pool.PollWait("w0")).To(Equal(pollWait))
	large := newFixture(t, 3000, nil)
	large.reportAll(3000)
	large.Expect(large.pool.PollWait("w0")).To(Equal(maxIdlePollWait))
	large.add(testJob("a", testStep(1)))
	s := large.plan().Starts[0]
	large.Expect(large.pool.PollWait(s.Worker)).To(Equal(maxPollWait))
	large.Expect(maxIdlePollWait).To(BeNumerically("<", answerTimeout))
}

// All entries expire while the store can't be reached, and come back one by one.
func TestWorkerWithExpiredEntryIsUsedForAWhileIfItAnswers(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	for n := range 2 {
		f.pool.RemoveEntry(workerID(n), false, f.now)
	}
	f.add(testJob("a", testStep(8)))
	f.Expect(f.plan().Starts).To(HaveLen(8))
	f.advance(2 * time.Second)
	f.report(0, Report{})
	f.add(testJob("b", testStep(8)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "worker 1 is silent, and worker 0 has no room beside the first runs")
}

func TestWorkerWithUnparsableRunsGetsNoTasks(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.report(0, Report{UnparsableRuns: 1})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "nobody knows how much room the run takes")
	f.report(0, Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// Another writer has replaced the worker's entry.
func TestWorkerWithAnInvalidEntryGetsNoTasksAndKeepsItsRuns(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	f.pool.MarkEntryInvalid("w0")
	f.report(0, Report{Active: []ActiveRun{{Task: s.Task, Run: s.Run, Percent: 10}}})
	f.add(testJob("b", testStep(1)))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(BeEmpty())
	f.report(0, f.endReport(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
	f.addWorker(0)
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestWorkerWithoutEntryGetsNoTasks(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.RemoveEntry("w0", false, f.now)
	f.advance(3 * time.Second)
	f.report(0, Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.addWorker(0)
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// A worker that leaves announces it before its entry is removed.
func TestDrainingWorkerWithoutEntryGetsNoTasks(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	w := f.pool.Workers()[0]
	w.Draining = true
	f.pool.UpsertWorker(w, true, f.now)
	f.pool.RemoveEntry("w0", false, f.now)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

func TestOnlyReportsWithChangesNeedAPlan(t *testing.T) {
	f := newFixture(t, 1, nil)
	answer := func(r Report) bool {
		poll, _ := f.pool.NewPoll("w0", false, true, f.now)
		f.advance(time.Millisecond)
		return f.pool.HandlePollAnswer(poll, Answer{Verdict: VerdictDone, Clock: f.workerClock}, r, f.now)
	}
	f.Expect(answer(Report{})).To(BeTrue(), "the worker may be given tasks from now on")
	f.Expect(answer(Report{})).To(BeFalse())
	f.add(testJob("a", testStep(1)))
	start := f.plan().Starts[0]
	f.accept(start)
	f.Expect(answer(Report{Active: []ActiveRun{{Task: start.Task, Run: start.Run, Percent: 3}}})).To(BeFalse())
	f.Expect(answer(f.endReport(start, 1, EndDone))).To(BeTrue(), "there is room")
	f.Expect(answer(Report{Active: []ActiveRun{{Task: start.Task, Run: 99}}})).To(BeTrue(), "the run must not go on")
}

func TestWorkerThatReturnsAfterALongOutageAcceptsTheSameOwner(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	raised, _ := f.pool.NewPoll("w0", true, true, f.now)
	f.pool.HandlePollAnswer(raised, Answer{Verdict: VerdictDone, Clock: f.workerClock}, Report{}, f.now)
	f.pool.RemoveEntry("w0", false, f.now)
	for range 50 {
		f.advance(200 * time.Millisecond)
		f.report(1, Report{})
		f.plan()
	}
	f.Expect(f.pool.workers).NotTo(HaveKey(WorkerID("w0")), "the worker counts as one that has left")
	f.addWorker(0)
	poll, ok := f.pool.NewPoll("w0", false, true, f.now)
	f.Expect(ok).To(BeTrue())
	f.Expect(poll.Token).To(BeNumerically(">=", raised.Token), "the worker rejects a lower token")
}
