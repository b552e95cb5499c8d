package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func testNextIncarnationIsSmaller(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.advance(500 * time.Millisecond)
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("a", testStep(4)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the capacity of the previous incarnation says nothing about this one")
	small := secondIncarnation(0).info()
	small.Capacity = cell.Resources{CPUMillis: 2000, MemoryMB: 8000}
	f.pool.UpsertWorker(small, true, f.now)
	f.pool.MarkInRoster([]WorkerID{small.ID})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

// Seed 997 of the histories: a worker that had not answered for a second was given two tasks. The next
// incarnation, which was running by then, had capacity for one.
func testNoStartAfterAFailedPoll(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.advance(200 * time.Millisecond)
	f.pool.HandlePollFailure(firstIncarnation(0).id, f.now)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the incarnation may have ended")
	f.pollAndReport(firstIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func testNextIncarnationIsNotSuspended(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	draining := firstIncarnation(0).info()
	draining.Draining, draining.Remaining = true, time.Second
	f.pool.UpsertWorker(draining, true, f.now)
	f.pool.suspendWorker(f.pool.workers[firstIncarnation(0).id], time.Minute, "failures", f.now)
	f.advance(700 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), activeReport(s))
	f.pool.InspectRuns(f.now)
	f.Expect(f.plan().Stops).To(BeEmpty(), "the second incarnation does not drain")
}

// The next incarnation has seen no token, so it carries out an order of a previous owner until it has
// seen a higher token.
func testTokensRise(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	raised := f.newPoll(firstIncarnation(0), true)
	f.answerPoll(raised, firstIncarnation(0), Report{})
	f.advance(500 * time.Millisecond)
	f.addEntry(secondIncarnation(0))
	next := f.newPoll(secondIncarnation(0), false)
	f.Expect(next.Token).To(BeNumerically(">", raised.Token))
	// A poll for the previous incarnation reaches the next one, with a higher token. That token does not
	// come from another owner.
	_, _ = f.pool.NewPoll(firstIncarnation(0).id, true, true, f.now)
	f.pool.HandlePollAnswer(next, Answer{Verdict: VerdictFenced, Clock: f.workerClock - secondIncarnation(0).clockLag}, Report{}, f.now)
	f.Expect(f.pool.IsFenced()).To(BeFalse())
	f.pollAndReport(secondIncarnation(0), Report{})
	f.Expect(f.pool.IsFenced()).To(BeFalse())
}

func testTicketsAreOfOneIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.pool.AddAdviser("host")
	f.add(advisedJob("a", testStep(5)))
	calls := f.plan().AdviceCalls
	f.Expect(calls).To(HaveLen(1))
	f.pool.HandleAdviceAnswer(calls[0].Number, []Ticket{{calls[0].Workers[0], "t1"}}, true, f.now)
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.acceptFrom(s, firstIncarnation(0))
	}
	f.pollAndReport(firstIncarnation(0), activeReport(starts...))
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the ticket was for the previous incarnation")
	f.Expect(actions.AdviceCalls).To(HaveLen(1))
	f.Expect(actions.AdviceCalls[0].Workers).To(Equal([]WorkerID{secondIncarnation(0).id}))
}

func testCrashIsCounted(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, firstIncarnation(0))
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	j := f.pool.jobs["a"]
	f.Expect(j.occurrences[0].steps[0].tasks[0].crash.Crashes()).To(HaveLen(1))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the crash is stored first")
	stored := f.pool.PrepareCommit()
	f.pool.ApplyCommit(stored)
	f.pollAndReport(secondIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// An entry that the first incarnation wrote is read after that of the second, which goes on answering and
// then crashes. The entry of the second was not removed by itself, as by a worker that leaves, so the
// crash counts.
func testCrashAfterOutdatedEntryIsCounted(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.addEntry(firstIncarnation(0))
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("a", testStep(1)))
	s := f.planOneStart()
	f.acceptFrom(s, secondIncarnation(0))
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(thirdIncarnation(0), Report{})
	f.pollAndReport(thirdIncarnation(0), Report{})
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Crashes()).To(HaveLen(1))
}

// withShortLeases has an owner give shorter leases than the longest that a worker gives.
func withShortLeases(c *Config) {
	c.LeaseDuration, c.MaxLeaseDuration = 3*time.Second, 3*time.Second
}

// A deadline by the clock of the previous incarnation may be far ahead on the next one's, which limits it
// to the longest lease that it gives.
func testLeasesOnNextIncarnation(t *testing.T) {
	f, s := newFixtureWithUnansweredStart(t, withShortLeases)
	f.addEntry(secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), activeReport(s)) // and does not answer from now on
	for range 10 {
		f.advance(500 * time.Millisecond)
		f.pollAndReport(firstIncarnation(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the run may have a lease of 6 s")
	}
	f.advance(1500 * time.Millisecond)
	f.oneStartWithinOneSecond(firstIncarnation(1), Report{})
}

// The next incarnation has answered once, in place of the previous one, and may have carried out a start
// by then.
func testSilentNextIncarnation(t *testing.T) {
	testSilentAfterOneAnswer(t, func(*fixture) {})
}

func testSilentNextIncarnationWithEntry(t *testing.T) {
	testSilentAfterOneAnswer(t, func(f *fixture) { f.addEntry(secondIncarnation(0)) })
}

// testSilentAfterOneAnswer has the next incarnation answer one poll and no more. That poll had no higher
// token, so the start may be carried out until maxOrderDelay after it was sent.
func testSilentAfterOneAnswer(t *testing.T, then func(*fixture)) {
	f, s := newFixtureWithUnansweredStart(t, withShortLeases)
	sentAt := f.pool.workers[s.Worker].runs[runKey{s.Task, s.Run}].startCall.OrderedAt
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	then(f)
	for f.now.Sub(sentAt) < maxOrderDelay+5500*time.Millisecond {
		f.advance(500 * time.Millisecond)
		f.pollAndReport(firstIncarnation(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the start may be carried out for 12 s, and the run may have a lease of 6 s")
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
	f.advance(500 * time.Millisecond)
	f.oneStartWithinOneSecond(firstIncarnation(1), Report{})
}

// Both incarnations have ended for good.
func testNoIncarnationAnswers(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.addEntry(secondIncarnation(0))
	f.advance(2 * time.Second)
	f.removeEntry(secondIncarnation(0))
	for range 20 {
		f.advance(500 * time.Millisecond)
		f.pollAndReport(firstIncarnation(1), Report{})
		f.plan()
	}
	f.Expect(f.pool.Workers()).To(HaveLen(1), "they are not polled for ever")
}

func testMaxPerWorkerOnNextIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	spread := testStep(2)
	spread.MaxPerWorker = 1
	f.add(testJob("a", spread))
	s := f.planOneStart()
	f.acceptFrom(s, firstIncarnation(0))
	f.surviveStarts(firstIncarnation(0), s)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	again := f.planOneStart()
	f.acceptFrom(again, secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), activeReport(again))
	f.Expect(f.plan().Starts).To(BeEmpty(), "at most one task on the worker")
}

func testEntryOfNextIncarnationIsRemoved(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.removeEntry(secondIncarnation(0))
	f.advance(3 * time.Second)
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.addEntry(secondIncarnation(0))
	f.pollAndReport(secondIncarnation(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// The roster has the previous incarnation and the store the entry of the next one.
func testTakeoverFindsNextIncarnation(t *testing.T) {
	f := newFixture(t, 0, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.pool.UpsertWorker(firstIncarnation(0).info(), false, f.now)
	f.addEntry(secondIncarnation(0))
	id := job.TaskID{StepID: job.StepID{Job: "a"}}
	f.pollAndReport(secondIncarnation(0), Report{Active: []ActiveRun{{Task: id, Run: 4, Percent: 50}}}) // of a previous owner
	f.pollAndReport(secondIncarnation(0), Report{Active: []ActiveRun{{Task: id, Run: 4, Percent: 50}}})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(BeEmpty())
	f.pollAndReport(secondIncarnation(0), Report{Finished: []FinishedRun{{Number: 1, Task: id, Run: 4, Reason: EndDone}}})
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
	f.Expect(f.pool.takeover.pending).To(BeFalse(), "the previous incarnation has ended")
}

func testTakeoverWithoutEntry(t *testing.T) {
	f := newFixture(t, 0, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.pool.UpsertWorker(firstIncarnation(0).info(), false, f.now)
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.plan()
	f.Expect(f.pool.takeover.pending).To(BeFalse(), "the previous incarnation has ended, and the next one has reported what it runs")
	var names []WorkerID
	for _, w := range f.pool.Workers() {
		names = append(names, w.ID)
	}
	f.Expect(names).To(Equal([]WorkerID{secondIncarnation(0).id}))
}

// A previous owner has stored a start, and the worker has crashed under it and has restarted under its
// name.
func testTakeoverReadsAttempts(t *testing.T) {
	f := newFixture(t, 0, afterPreviousOwner)
	crash := job.Crash{Run: 1, Worker: "w9", Conclusive: true}
	f.addEntry(secondIncarnation(0))
	f.pool.AddJob(testJob("a", testStep(1)), job.Progress{Tasks: []job.TaskProgress{{
		LastRun: 1, Crashes: []job.Crash{crash}, Attempts: []job.Attempt{{Run: 2, Worker: string(firstIncarnation(0).id)}},
	}}}, true, 0, f.now)
	f.pollAndReport(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.plan()
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Crashes()).To(HaveLen(2))
}

func testCordonByName(t *testing.T) {
	f := newIncarnationFixture(t, 1, nil)
	f.cordonMachineOf(0)
	f.advance(500 * time.Millisecond)
	f.beginIncarnation(secondIncarnation(0), Report{})
	f.pollAndReport(secondIncarnation(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "its machine is cordoned")
}

// cordonMachineOf cordons the machine of a worker.
func (f *fixture) cordonMachineOf(n int) {
	f.pool.SetCordoned(map[string]bool{workerID(n).Name(): true})
}
