package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func nextLifeHoldsLess(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(4)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the capacity of the previous incarnation says nothing about this one")
	small := secondLife(0).info()
	small.Capacity = cell.Resources{CPUMillis: 2000, MemoryMB: 8000}
	f.pool.UpsertWorker(small, true, f.now)
	f.pool.MarkInRoster([]WorkerID{small.ID})
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

// Seed 997 of the histories: a worker that had not answered for a second was given two tasks. The next
// incarnation, which was running by then, had capacity for one.
func nextLifeTakesNoOrder(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(200 * time.Millisecond)
	f.pool.HandlePollFailure(firstLife(0).id, f.now)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the incarnation may have ended")
	f.reports(firstLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func nextLifeIsNotSuspended(t *testing.T) {
	f := newLives(t, 1, nil)
	draining := firstLife(0).info()
	draining.Draining, draining.Remaining = true, time.Second
	f.pool.UpsertWorker(draining, true, f.now)
	f.pool.suspendWorker(f.pool.workers[firstLife(0).id], time.Minute, "failures", f.now)
	f.pass(700 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.reports(secondLife(0), listed(s))
	f.pool.InspectRuns(f.now)
	f.Expect(f.plan().Stops).To(BeEmpty(), "the second incarnation does not drain")
}

// The next incarnation has seen no token, so it carries out an order of a previous owner until it has
// seen a higher token.
func tokensRise(t *testing.T) {
	f := newLives(t, 1, nil)
	raised := f.hold(firstLife(0), true)
	f.answers(raised, firstLife(0), Report{})
	f.pass(500 * time.Millisecond)
	f.lists(secondLife(0))
	next := f.hold(secondLife(0), false)
	f.Expect(next.Token).To(BeNumerically(">", raised.Token))
	// A poll for the previous incarnation reaches the next one, with a higher token. That token does not
	// come from another owner.
	_, _ = f.pool.NewPoll(firstLife(0).id, true, true, f.now)
	f.pool.HandlePollAnswer(next, Answer{Verdict: VerdictFenced, Clock: f.workerClock - secondLife(0).behind}, Report{}, f.now)
	f.Expect(f.pool.IsFenced()).To(BeFalse())
	f.reports(secondLife(0), Report{})
	f.Expect(f.pool.IsFenced()).To(BeFalse())
}

func ticketsAreOfOneLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pool.AddAdviser("host")
	f.add(advisedJob("a", testStep(5)))
	calls := f.plan().AdviceCalls
	f.Expect(calls).To(HaveLen(1))
	f.pool.HandleAdviceAnswer(calls[0].Number, []Ticket{{calls[0].Workers[0], "t1"}}, true, f.now)
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.acceptBy(s, firstLife(0))
	}
	f.reports(firstLife(0), listed(starts...))
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the ticket was for the previous incarnation")
	f.Expect(actions.AdviceCalls).To(HaveLen(1))
	f.Expect(actions.AdviceCalls[0].Workers).To(Equal([]WorkerID{secondLife(0).id}))
}

func crashIsCounted(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	j := f.pool.jobs["a"]
	f.Expect(j.occurrences[0].steps[0].tasks[0].crash.Crashes()).To(HaveLen(1))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the crash is stored first")
	stored := f.pool.PrepareCommit()
	f.pool.ApplyCommit(stored)
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// An entry that the first incarnation wrote is read after that of the second, which goes on answering and
// then crashes. The entry of the second was not removed by itself, as by a worker that leaves, so the
// crash counts.
func crashIsCountedAfterOldEntry(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.lists(firstLife(0))
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.pass(500 * time.Millisecond)
	f.begins(thirdLife(0), Report{})
	f.reports(thirdLife(0), Report{})
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Crashes()).To(HaveLen(1))
}

// withShortLeases has an owner give shorter leases than the longest that a worker gives.
func shortLeases(c *Config) {
	c.LeaseDuration, c.MaxLeaseDuration = 3*time.Second, 3*time.Second
}

// A deadline by the clock of the previous incarnation may be far ahead on the next one's, which limits it
// to the longest lease that it gives.
func leasesOnNextLife(t *testing.T) {
	f, s := unanswered(t, shortLeases)
	f.lists(secondLife(0))
	f.reports(secondLife(0), listed(s)) // and does not answer from now on
	for range 10 {
		f.pass(500 * time.Millisecond)
		f.reports(firstLife(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the run may have a lease of 6 s")
	}
	f.pass(1500 * time.Millisecond)
	f.onlyStartAgain(firstLife(1), Report{})
}

// The next incarnation has answered once, in place of the previous one, and may have carried out a start
// by then.
func silentNextLife(t *testing.T) {
	silentAtOnce(t, func(*fixture) {})
}

func silentNextLifeWithEntry(t *testing.T) {
	silentAtOnce(t, func(f *fixture) { f.lists(secondLife(0)) })
}

// testSilentAtOnce has the next incarnation answer one poll and no more. That poll had no higher token,
// so the start may be carried out until maxOrderDelay after it was sent.
func silentAtOnce(t *testing.T, then func(*fixture)) {
	f, s := unanswered(t, shortLeases)
	sentAt := f.pool.workers[s.Worker].runs[runKey{s.Task, s.Run}].startCall.OrderedAt
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	then(f)
	for f.now.Sub(sentAt) < maxOrderDelay+5500*time.Millisecond {
		f.pass(500 * time.Millisecond)
		f.reports(firstLife(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the start may be carried out for 12 s, and the run may have a lease of 6 s")
		f.pool.ApplyCommit(f.pool.PrepareCommit())
	}
	f.pass(500 * time.Millisecond)
	f.onlyStartAgain(firstLife(1), Report{})
}

// Both incarnations have ended for good.
func noLifeAnswers(t *testing.T) {
	f := newLives(t, 1, nil)
	f.begins(firstLife(1), Report{})
	f.lists(secondLife(0))
	f.pass(2 * time.Second)
	f.entryGoes(secondLife(0))
	for range 20 {
		f.pass(500 * time.Millisecond)
		f.reports(firstLife(1), Report{})
		f.plan()
	}
	f.Expect(f.pool.Workers()).To(HaveLen(1), "they are not polled for ever")
}

func spreadOverLives(t *testing.T) {
	f := newLives(t, 1, nil)
	spread := testStep(2)
	spread.MaxPerWorker = 1
	f.add(testJob("a", spread))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.survives(firstLife(0), s)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	again := f.onlyStart()
	f.acceptBy(again, secondLife(0))
	f.reports(secondLife(0), listed(again))
	f.Expect(f.plan().Starts).To(BeEmpty(), "at most one task on the worker")
}

func entryOfNextLifeGoes(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.entryGoes(secondLife(0))
	f.pass(3 * time.Second)
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.lists(secondLife(0))
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// The roster has the previous incarnation and the store the entry of the next one.
func takeoverMeetsNextLife(t *testing.T) {
	f := newFixture(t, 0, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.pool.UpsertWorker(firstLife(0).info(), false, f.now)
	f.lists(secondLife(0))
	id := job.TaskID{StepID: job.StepID{Job: "a"}}
	f.reports(secondLife(0), Report{Active: []ActiveRun{{Task: id, Run: 4, Percent: 50}}}) // of a previous owner
	f.reports(secondLife(0), Report{Active: []ActiveRun{{Task: id, Run: 4, Percent: 50}}})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(BeEmpty())
	f.reports(secondLife(0), Report{Finished: []FinishedRun{{Number: 1, Task: id, Run: 4, Reason: EndDone}}})
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
	f.Expect(f.pool.takeover.pending).To(BeFalse(), "the previous incarnation has ended")
}

func takeoverWithoutEntry(t *testing.T) {
	f := newFixture(t, 0, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.pool.UpsertWorker(firstLife(0).info(), false, f.now)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.plan()
	f.Expect(f.pool.takeover.pending).To(BeFalse(), "the previous incarnation has ended, and the next one has reported what it runs")
	var names []WorkerID
	for _, w := range f.pool.Workers() {
		names = append(names, w.ID)
	}
	f.Expect(names).To(Equal([]WorkerID{secondLife(0).id}))
}

// A previous owner has stored a start, and the worker has crashed under it and has restarted under its
// name.
func takeoverReadsAttempts(t *testing.T) {
	f := newFixture(t, 0, afterFormerOwner)
	crash := job.Crash{Run: 1, Worker: "w9", Alone: true}
	f.lists(secondLife(0))
	f.pool.AddJob(testJob("a", testStep(1)), job.Progress{Tasks: []job.TaskProgress{{
		LastRun: 1, Crashes: []job.Crash{crash}, Attempts: []job.Attempt{{Run: 2, Worker: string(firstLife(0).id)}},
	}}}, true, 0, f.now)
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.plan()
	f.Expect(f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].crash.Crashes()).To(HaveLen(2))
}

func closedByName(t *testing.T) {
	f := newLives(t, 1, nil)
	f.closeMachineOf(0)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "its machine is cordoned")
}

// cordonMachineOf cordons the machine of a worker.
func (f *fixture) closeMachineOf(n int) {
	f.pool.SetCordoned(map[string]bool{workerID(n).Name(): true})
}
