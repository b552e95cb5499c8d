package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// A start without an answer is invalidated for an incarnation once that has answered a poll with a
// higher token without listing the run. The worker's next incarnation has seen no token, and may still
// carry out the start until maxOrderDelay after it was sent. Until then the task must not run on another
// worker, and the worker must not be let forget an end of the task, or of another member of its gang,
// with EndDone, nor the last of its failed attempts.
// The cases guard against such a late start beside or after a later run of its task.
func TestInvalidatedStartDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"invalidated for the next incarnation":          testInvalidatedForNextIncarnation,
		"another worker has room":                       testInvalidatedWithAnotherWorker,
		"its end is committed":                          testInvalidatedAndDone,
		"a second start is invalidated":                 testInvalidatedTwice,
		"a long-running task":                           testInvalidatedLongRunning,
		"a gang whose other members are done":           testInvalidatedMember,
		"a gang whose member is sent to another worker": testInvalidatedMemberElsewhere,
		"the next incarnation has an entry only":        testInvalidatedBeforeNextIncarnationAnswers,
		"a third incarnation follows":                   testInvalidatedBeforeThirdIncarnation,
		"the next incarnation carries it out unreached": testInvalidatedAndExecutedUnreached,
		"its worker drains":                             testInvalidatedOnDrainingWorker,
		"its worker drains and leaves":                  testPendingAtDrainedWorker,
		"its last attempt fails":                        testInvalidatedAndLastAttemptFails,
	} {
		t.Run(name, test)
	}
}

// Guards against two runs of a task whose start is pending at a silent worker: the task is started
// elsewhere once all leases have expired, and the worker's next incarnation carries out the pending
// start.
func TestStartPendingAtASilentWorkerDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"its worker is silent until all leases expire": testPendingAtSilentWorker,
		"its worker leaves and comes back":             testPendingAtWorkerThatLeft,
	} {
		t.Run(name, test)
	}
}

// Guards against a late start of a previous owner that the next incarnation carries out beside a run
// that the present owner started.
func TestInvalidatedStartOfAPreviousOwnerDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"the previous owner knew that it was invalidated": testInvalidatedUnderPreviousOwner,
		"the previous owner was gone before":              testPendingFromPreviousOwner,
		"its job was shown as completed":                  testCompletedUnderPreviousOwner,
		"a member of a gang that was sent twice":          testInvalidatedMemberUnderPreviousOwner,
		"a third owner":                                   testInvalidatedUnderTwoPreviousOwners,
		"its worker is gone from the store":               testPendingFromPreviousOwnerAtLostWorker,
		"its number was reused there":                     testNumberReusedUnderPreviousOwner,
	} {
		t.Run(name, test)
	}
}

// Guards against two runs of a task whose start was still in flight when its owner was replaced: that
// owner never received the failure of the call.
func TestStartInFlightOfAPreviousOwnerDoesNotRunTwice(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.callsStayOpen = true
	sim.losesAnswer = func(s StartOrder) bool { return len(sim.pendingStarts) == 0 && s.Task.Job == "a" }
	sim.runTimes["a"] = 5 * time.Second
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.addIncarnation(firstIncarnation(1))
	sim.changeOwner()
	sim.cordonOnly(0)
	sim.expectCompleted(30*time.Second, "a")
}

// Guards against tasks that wait for a start that nobody can carry out any more, or that does no harm.
func TestInvalidatedStartBlocksNothingElse(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"a gang is done while the store is unreachable":      testInvalidatedMemberExecutedLate,
		"its end comes after the expiry":                     testInvalidatedAndDoneAfterExpiry,
		"another worker has room after the expiry":           testInvalidatedWithRoomAfterExpiry,
		"a queue with advice":                                testInvalidatedWithTicket,
		"workers that do not report their incarnation start": testInvalidatedWithoutIncarnationStart,
		"a speculative step":                                 testInvalidatedSpeculative,
		"it may start again on the same incarnation":         testInvalidatedOnOnlyWorker,
		"it may start on the next incarnation":               testInvalidatedThenNextIncarnation,
		"the job is cancelled":                               testInvalidatedAndCancelled,
		"a start that was not sent":                          testStartNotSent,
		"a start that was rejected by its worker":            testStartRejected,
		"another task of the step is not blocked":            testInvalidatedBesideOtherTasks,
		"another job of the customer is not blocked":         testInvalidatedBesideAnotherJob,
		"it was carried out under a previous owner":          testExecutedUnderPreviousOwner,
		"it ended under a previous owner":                    testEndedUnderPreviousOwner,
		"a previous owner sent it long ago":                  testExpiredFromPreviousOwner,
		"a previous owner's queue with advice":               testPreviousOwnersStartWithTicket,
		"answered by a worker that falls silent":             testAnsweredBeforeSilence,
		"a long-running task on a silent worker":             testLongRunningOnSilentWorker,
		"silent, without incarnation start":                  testSilentWithoutIncarnationStart,
	} {
		t.Run(name, test)
	}
}

// newUnansweredStartOf returns a simulation in which worker 0 leaves the first start of a job without an
// answer.
func newUnansweredStartOf(t *testing.T, workers int, r job.Record) (*poolSim, pendingStart) {
	sim := newPoolSim(t, workers)
	lost := false
	sim.losesAnswer = func(s StartOrder) bool {
		if lost || s.Task.Job != r.Job.ID || workerNumber(s.Worker) != 0 {
			return false
		}
		lost = true
		return true
	}
	sim.submit(r)
	sim.tick()
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	return sim, sim.pendingStarts[0]
}

// newUnansweredStart does the same for a job with one task, on the only worker.
func newUnansweredStart(t *testing.T) (*poolSim, pendingStart) {
	return newUnansweredStartOf(t, 1, testJob("a", testStep(1)))
}

// cordonOnly cordons the given workers and no others.
func (sim *poolSim) cordonOnly(numbers ...int) {
	names := map[string]bool{}
	for _, n := range numbers {
		names[workerID(n).Name()] = true
	}
	sim.pool.SetCordoned(names)
}

// addPreferredWorker adds worker 1, which runs other tasks already; placement prefers it, since it has
// less room left.
func (sim *poolSim) addPreferredWorker() {
	sim.addIncarnation(firstIncarnation(1))
	sim.runTimes["other"] = 40 * time.Second
	sim.submit(testJob("other", testStep(3)))
	sim.pool.suspendWorker(sim.pool.workers[firstIncarnation(0).id], 150*time.Millisecond, "for the test", sim.now)
	sim.pollWorker(firstIncarnation(1).id, false)
	sim.executeActions(sim.plan())
	for _, s := range sim.orderedStarts[1:] {
		sim.Expect(workerNumber(s.Worker)).To(Equal(1))
	}
	sim.pool.workers[firstIncarnation(0).id].suspendedUntil = 0
}

// isInvalidated reports whether the worker of the first start without an answer has answered a poll with
// a higher token.
func (sim *poolSim) isInvalidated() bool {
	w := sim.workers[workerNumber(sim.firstUnanswered.Worker)]
	return w != nil && w.token > sim.firstUnanswered.Token
}

// waitUntilInvalidated lets time pass until the first start without an answer is invalidated, which
// takes no more than five ticks.
func (sim *poolSim) waitUntilInvalidated() {
	for range 5 {
		if sim.isInvalidated() {
			return
		}
		sim.tick()
	}
	sim.Expect(sim.isInvalidated()).To(BeTrue())
}

func testInvalidatedWithAnotherWorker(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addPreferredWorker()
	sim.waitUntilInvalidated()
	sim.expectCompleted(20*time.Second, "a")
}

func testInvalidatedAndDone(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.waitUntilInvalidated()
	sim.executeOnNextIncarnation(pending)
	sim.addEntry(secondIncarnation(0))
	sim.expectCompleted(10*time.Second, "a")
}

// The late start expires maxOrderDelay after the later of the two starts.
func testInvalidatedTwice(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.losesAnswer = func(s StartOrder) bool { return s.Task.Job == "a" && len(sim.pendingStarts) < 2 }
	sim.runTimes["a"] = 5 * time.Second
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.advanceTicks(10 * time.Second)
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.cordonOnly()
	sim.expectStart(3*time.Second, "a")
	sim.Expect(sim.pendingStarts).To(HaveLen(2))
	sim.cordonOnly(0)
	sim.addIncarnation(firstIncarnation(1))
	sim.expectCompleted(30*time.Second, "a")
}

func testInvalidatedLongRunning(t *testing.T) {
	sim, _ := newUnansweredStartOf(t, 1, testJob("a", serviceStep(1)))
	sim.runTimes["a"] = time.Hour
	sim.addPreferredWorker()
	sim.waitUntilInvalidated()
	sim.advanceTicks(maxOrderDelay + time.Second)
	running := 0
	for _, w := range sim.workers {
		running += len(w.active)
	}
	sim.Expect(running).To(Equal(4), "the service runs beside the three other tasks")
}

func gangJob(n int) job.Record {
	s := testStep(n)
	s.Gang = true
	return testJob("a", s)
}

// The other member is on worker 1; the member whose start was invalidated goes to worker 0 again.
func testInvalidatedMember(t *testing.T) {
	r := gangJob(2)
	r.Job.Steps[0].MaxPerWorker = 1
	sim, _ := newUnansweredStartOf(t, 2, r)
	sim.waitUntilInvalidated()
	sim.expectCompleted(30*time.Second, "a")
}

func testInvalidatedMemberElsewhere(t *testing.T) {
	sim, _ := newUnansweredStartOf(t, 2, gangJob(8))
	sim.runTimes["a"] = 20 * time.Second
	sim.cordonOnly(0)
	sim.addIncarnation(firstIncarnation(2))
	sim.waitUntilInvalidated()
	sim.advanceTicks(maxOrderDelay)
}

// executeOnNextIncarnation crashes worker 0 just before the late start expires; the next incarnation
// carries out the start before it has written its entry.
func (sim *poolSim) executeOnNextIncarnation(pending pendingStart) {
	sim.advanceTicks(pending.sentAt.Add(maxOrderDelay - 300*time.Millisecond).Sub(sim.now))
	sim.crashWorker(0)
	sim.advanceTicks(tickInterval)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.Expect(sim.executeLate(pending)).To(BeTrue())
}

// While the store can't be reached, the ends of the other members can't be acknowledged before the start is
// carried out; they are acknowledged later.
func testInvalidatedMemberExecutedLate(t *testing.T) {
	r := gangJob(2)
	r.Job.Steps[0].MaxPerWorker = 1
	sim, pending := newUnansweredStartOf(t, 2, r)
	sim.storeUnreachable = true
	sim.waitUntilInvalidated()
	sim.executeOnNextIncarnation(pending)
	sim.advanceTicks(500 * time.Millisecond)
	sim.storeUnreachable = false
	sim.addEntry(secondIncarnation(0))
	sim.expectCompleted(30*time.Second, "a")
}

func testInvalidatedBeforeNextIncarnationAnswers(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.cordonOnly(1)
	sim.waitUntilInvalidated()
	sim.crashWorker(0)
	sim.addEntry(secondIncarnation(0))
	sim.cordonOnly()
	sim.advanceTicks(time.Second)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.Expect(sim.executeLate(pending)).To(BeTrue())
	sim.expectCompleted(30*time.Second, "a")
}

func testInvalidatedBeforeThirdIncarnation(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.waitUntilInvalidated()
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnation(secondIncarnation(0))
	sim.advanceTicks(8 * time.Second)
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(thirdIncarnation(0))
	sim.Expect(sim.executeLate(pending)).To(BeTrue())
	sim.addEntry(thirdIncarnation(0))
	sim.expectCompleted(20*time.Second, "a")
}

// The start reaches the next incarnation and is invalidated for it; the incarnation after that has seen
// no token either.
func testInvalidatedForNextIncarnation(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.crashWorker(0)
	sim.addIncarnation(firstIncarnation(1))
	sim.advanceTicks(600 * time.Millisecond)
	sim.Expect(sim.isInvalidated()).To(BeFalse())
	sim.addIncarnation(secondIncarnation(0))
	sim.waitUntilInvalidated()
	sim.cordonOnly(0)
	sim.expectCompleted(30*time.Second, "a")
}

// The owner does not learn of the incarnation that carries out the start, and has to wait until the
// leases there have expired.
func testInvalidatedAndExecutedUnreached(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.cordonOnly(0, 1)
	sim.waitUntilInvalidated()
	sim.executeOnNextIncarnation(pending)
	sim.workers[0].unreachable = true
	sim.advanceTicks(pending.sentAt.Add(maxOrderDelay + tickInterval).Sub(sim.now))
	sim.cordonOnly()
	sim.expectCompleted(30*time.Second, "a")
}

// The next owner reads the late start from the store, where the previous owner recorded it.
func testInvalidatedUnderPreviousOwner(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.cordonOnly(0, 1)
	sim.waitUntilInvalidated()
	sim.advanceTicks(time.Second)
	sim.changeOwner()
	sim.cordonOnly(0)
	sim.expectCompleted(30*time.Second, "a")
}

// The first poll of the next owner invalidates the start, of which that owner does not know.
func testPendingFromPreviousOwner(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.Expect(sim.isInvalidated()).To(BeFalse())
	sim.changeOwner()
	sim.cordonOnly(0)
	sim.expectCompleted(30*time.Second, "a")
}

// The start after the invalidated one reuses its number, so a report that lists the run does not show
// that the invalidated start was carried out.
func testNumberReusedUnderPreviousOwner(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.waitUntilInvalidated()
	sim.Expect(sim.expectStart(time.Second, "a").Run).To(Equal(pending.Run))
	sim.advanceTicks(300 * time.Millisecond)
	sim.changeOwner()
	sim.expectCompleted(5*time.Second, "a")
	sim.Expect(sim.ackedEnds).To(BeEmpty())
	sim.advanceTicks(maxOrderDelay + maxWallClockSkew)
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
}

// The job is done on the same incarnation, and its end is not acknowledged yet; the next owner has only
// the outcome of the job.
func testCompletedUnderPreviousOwner(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.waitUntilInvalidated()
	sim.expectCompleted(5*time.Second, "a")
	sim.Expect(sim.committed["a"].Outcome).To(Equal(job.Completed))
	sim.Expect(sim.ackedEnds).To(BeEmpty())
	sim.changeOwner()
	sim.advanceTicks(2 * time.Second)
	sim.Expect(sim.ackedEnds).To(BeEmpty())
	sim.executeOnNextIncarnation(pending)
	sim.addEntry(secondIncarnation(0))
	sim.advanceTicks(time.Second)
	sim.Expect(sim.workers[0].active).To(BeEmpty(), "the run is stopped")
}

// The second start of the member has the same number, and is carried out.
func testInvalidatedMemberUnderPreviousOwner(t *testing.T) {
	r := gangJob(2)
	r.Job.Steps[0].MaxPerWorker = 1
	sim, pending := newUnansweredStartOf(t, 2, r)
	sim.runTimes["a"] = 3 * time.Second
	sim.waitUntilInvalidated()
	again := sim.expectStart(500*time.Millisecond, "a")
	sim.Expect(again.Task).To(Equal(pending.Task))
	sim.Expect(again.Run).To(Equal(pending.Run))
	sim.advanceTicks(time.Second)
	sim.changeOwner()
	sim.expectCompleted(30*time.Second, "a")
	sim.advanceTicks(maxOrderDelay)
	sim.Expect(sim.ackedEnds).To(HaveLen(2))
}

func testInvalidatedUnderTwoPreviousOwners(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.cordonOnly(0, 1)
	sim.waitUntilInvalidated()
	sim.changeOwner()
	sim.cordonOnly(0, 1)
	// The second owner has to write the job's progress again.
	sim.pool.markProgressChanged(sim.pool.task(sim.firstUnanswered.Task))
	sim.advanceTicks(2 * time.Second)
	sim.changeOwner()
	sim.cordonOnly(0)
	sim.expectCompleted(40*time.Second, "a")
}

// Only the job's progress records the worker, whose next incarnation begins later.
func testPendingFromPreviousOwnerAtLostWorker(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.crashWorker(0)
	sim.changeOwner()
	sim.advanceTicks(4 * time.Second)
	sim.addIncarnation(secondIncarnation(0))
	sim.cordonOnly(0)
	sim.advanceTicks(pending.sentAt.Add(maxOrderDelay).Sub(sim.now))
	sim.expectCompleted(30*time.Second, "a")
}

// newLostAnswer returns a simulation in which the only start of a job was carried out, but its answer
// did not reach the owner.
func newLostAnswer(t *testing.T) (*poolSim, pendingStart) {
	sim, pending := newUnansweredStart(t)
	sim.Expect(sim.executeStart(sim.workers[0], pending.StartOrder)).To(BeTrue())
	sim.pendingStarts = nil
	return sim, pending
}

// The next owner finds the run in a report, so its end is acknowledged at once.
func testExecutedUnderPreviousOwner(t *testing.T) {
	sim, pending := newLostAnswer(t)
	sim.changeOwner()
	sim.expectCompleted(2*time.Second, "a")
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
	sim.Expect(sim.ackedEnds[0].Run).To(Equal(pending.Run))
}

// The previous owner received no report of the run; the next one finds its end.
func testEndedUnderPreviousOwner(t *testing.T) {
	sim, _ := newLostAnswer(t)
	sim.workers[0].unreachable = true
	sim.advanceTicks(1200 * time.Millisecond)
	sim.workers[0].unreachable = false
	sim.changeOwner()
	sim.expectCompleted(time.Second, "a")
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
}

func testExpiredFromPreviousOwner(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.advanceTicks(maxOrderDelay + maxWallClockSkew)
	sim.changeOwner()
	sim.addIncarnation(firstIncarnation(1))
	sim.cordonOnly(0)
	sim.Expect(workerNumber(sim.expectStart(500*time.Millisecond, "a").Worker)).To(Equal(1))
	sim.expectCompleted(2*time.Second, "a")
}

// Another incarnation rejects the ticket, so no late start is recorded in the store.
func testPreviousOwnersStartWithTicket(t *testing.T) {
	sim := newPoolSim(t, 2)
	sim.pool.AddAdviser("host")
	sim.losesAnswer = func(s StartOrder) bool { return len(sim.orderedStarts) == 1 }
	sim.submit(advisedJob("a", testStep(1)))
	sim.advanceTicks(2 * tickInterval)
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	n := workerNumber(sim.pendingStarts[0].Worker)
	sim.pendingStarts = nil
	sim.Expect(sim.committed["a"].Progress.Tasks).To(BeEmpty())
	sim.changeOwner()
	sim.pool.AddAdviser("host")
	sim.cordonOnly(n)
	sim.Expect(workerNumber(sim.expectStart(500*time.Millisecond, "a").Worker)).NotTo(Equal(n))
	sim.expectCompleted(2*time.Second, "a")
}

func testPendingAtSilentWorker(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.crashWorker(0)
	sim.expectCompleted(40*time.Second, "a")
}

// startsAfterExpiry crashes worker 0, and checks that the job starts on worker 1 as soon as all leases
// have expired. No pending start can be carried out.
func (sim *poolSim) startsAfterExpiry(next testIncarnation) {
	sim.pendingStarts = nil
	sim.addIncarnation(next)
	sim.crashWorker(0)
	sim.Expect(workerNumber(sim.expectStart(leaseExpiryTime(6*time.Second)+500*time.Millisecond, "a").Worker)).To(Equal(1))
}

func testAnsweredBeforeSilence(t *testing.T) {
	sim := newPoolSim(t, 1)
	sim.runTimes["a"] = 5 * time.Second
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.Expect(sim.workers[0].active).To(HaveLen(1))
	sim.startsAfterExpiry(firstIncarnation(1))
}

func testLongRunningOnSilentWorker(t *testing.T) {
	sim, _ := newUnansweredStartOf(t, 1, testJob("a", serviceStep(1)))
	sim.startsAfterExpiry(firstIncarnation(1))
}

func testSilentWithoutIncarnationStart(t *testing.T) {
	sim := newPoolSim(t, 0)
	sim.addIncarnation(newTestIncarnation(0, 0, 0))
	sim.advanceTicks(2 * tickInterval)
	sim.losesAnswer = func(StartOrder) bool { return len(sim.orderedStarts) == 1 }
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	sim.startsAfterExpiry(newTestIncarnation(1, 0, 0))
}

func testPendingAtWorkerThatLeft(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.crashWorker(0)
	sim.advanceTicks(time.Second)
	sim.removeEntry(firstIncarnation(0))
	sim.advanceTicks(8 * time.Second)
	sim.addIncarnation(secondIncarnation(0))
	sim.expectCompleted(40*time.Second, "a")
}

func testInvalidatedOnDrainingWorker(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	leaving := firstIncarnation(0).info()
	leaving.Draining, leaving.Remaining = true, 3*time.Second
	sim.pool.UpsertWorker(leaving, true, sim.now)
	sim.waitUntilInvalidated()
	sim.expectCompleted(30*time.Second, "a")
}

func testPendingAtDrainedWorker(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = 5 * time.Second
	sim.addIncarnation(firstIncarnation(1))
	sim.cordonOnly(0, 1)
	sim.waitUntilInvalidated()
	leaving := firstIncarnation(0).info()
	leaving.Draining, leaving.Remaining = true, 2*time.Second
	sim.pool.UpsertWorker(leaving, true, sim.now)
	sim.advanceTicks(2 * time.Second)
	sim.crashWorker(0)
	sim.removeEntry(firstIncarnation(0))
	sim.cordonOnly()
	sim.expectCompleted(40*time.Second, "a")
}

func testInvalidatedAndLastAttemptFails(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.endReasons["a"] = EndFailed
	sim.waitUntilInvalidated()
	sim.advanceTicks(maxOrderDelay + 5*time.Second)
	state, _, _ := sim.pool.JobState("a")
	sim.Expect(state).To(Equal(job.Failed))
}

func testInvalidatedAndDoneAfterExpiry(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = maxOrderDelay + 500*time.Millisecond
	sim.waitUntilInvalidated()
	sim.expectCompleted(30*time.Second, "a")
	sim.advanceTicks(time.Second)
	sim.Expect(sim.ackedEnds).To(HaveLen(1))
}

func testInvalidatedWithRoomAfterExpiry(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.advanceTicks(maxOrderDelay)
	sim.addIncarnation(firstIncarnation(1))
	sim.Expect(workerNumber(sim.expectStart(time.Second, "a").Worker)).To(Equal(1))
	sim.expectCompleted(2*time.Second, "a")
}

// startsElsewhereAtOnce checks that an invalidated start blocks nothing: its task starts on worker 1 and
// is done. No pending start can be carried out.
func (sim *poolSim) startsElsewhereAtOnce() {
	sim.pendingStarts = nil
	sim.waitUntilInvalidated()
	sim.Expect(workerNumber(sim.expectStart(3*tickInterval, "a").Worker)).To(Equal(1))
	sim.expectCompleted(2*time.Second, "a")
}

func testInvalidatedWithTicket(t *testing.T) {
	sim := newPoolSim(t, 2)
	sim.pool.AddAdviser("host")
	sim.losesAnswer = func(s StartOrder) bool { return len(sim.orderedStarts) == 1 }
	sim.submit(advisedJob("a", testStep(1)))
	sim.advanceTicks(2 * tickInterval)
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	pending := sim.pendingStarts[0]
	sim.Expect(pending.Ticket).To(Equal("of "+string(pending.Worker)), "no other incarnation accepts it")
	sim.pendingStarts = nil
	sim.cordonOnly(workerNumber(pending.Worker))
	sim.waitUntilInvalidated()
	sim.expectCompleted(2*time.Second, "a")
	sim.Expect(sim.orderedStarts[len(sim.orderedStarts)-1].Worker).NotTo(Equal(pending.Worker))
}

func testInvalidatedWithoutIncarnationStart(t *testing.T) {
	sim := newPoolSim(t, 0)
	for n := range 2 {
		sim.addIncarnation(newTestIncarnation(n, 0, 0))
	}
	sim.advanceTicks(2 * tickInterval)
	sim.losesAnswer = func(StartOrder) bool { return len(sim.orderedStarts) == 1 }
	sim.submit(testJob("a", testStep(1)))
	sim.tick()
	sim.Expect(sim.pendingStarts).To(HaveLen(1))
	pending := sim.pendingStarts[0]
	sim.pendingStarts = nil // the next incarnation has another name, and so answers VerdictWrongWorker
	sim.cordonOnly(workerNumber(pending.Worker))
	sim.waitUntilInvalidated()
	sim.expectCompleted(2*time.Second, "a")
	sim.Expect(sim.orderedStarts[len(sim.orderedStarts)-1].Worker).NotTo(Equal(pending.Worker))
}

func testInvalidatedSpeculative(t *testing.T) {
	s := testStep(1)
	s.Speculative = true
	sim, _ := newUnansweredStartOf(t, 1, testJob("a", s))
	sim.addPreferredWorker()
	sim.startsElsewhereAtOnce()
}

// A run that starts again on the same incarnation ends with it, so the next incarnation can't run the
// task beside it. If this start gets no answer either, the next incarnation may carry out both: they
// have one number, so only one run begins.
func testInvalidatedOnOnlyWorker(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	again := sim.expectStart(500*time.Millisecond, "a")
	sim.Expect(again.Worker).To(Equal(pending.Worker))
	sim.Expect(again.Run).To(Equal(pending.Run))
	sim.Expect(again.Token).To(BeNumerically(">", pending.Token))
}

// The next incarnation has seen a higher token by then, so nothing can carry out the first start any
// more.
func testInvalidatedThenNextIncarnation(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.crashWorker(0)
	sim.cordonOnly()
	sim.advanceTicks(600 * time.Millisecond)
	sim.Expect(sim.orderedStarts).To(HaveLen(1))
	sim.addIncarnation(secondIncarnation(0))
	again := sim.expectStart(time.Second, "a")
	sim.Expect(again.Worker).To(Equal(secondIncarnation(0).id))
	sim.Expect(again.Token).To(BeNumerically(">", pending.Token))
	sim.Expect(sim.executeLate(pending)).To(BeFalse(), "the next incarnation has seen a higher token")
}

// A cancelled job ends at once, and a run of it on the next incarnation is stopped.
func testInvalidatedAndCancelled(t *testing.T) {
	sim, pending := newUnansweredStart(t)
	sim.runTimes["a"] = time.Hour
	sim.cordonOnly(0)
	sim.waitUntilInvalidated()
	sim.pool.Cancel("a")
	sim.tick()
	state, _, _ := sim.pool.JobState("a")
	sim.Expect(state).To(Equal(job.Cancelled))
	sim.crashWorker(0)
	sim.advanceTicks(600 * time.Millisecond)
	sim.addIncarnationWithoutEntry(secondIncarnation(0))
	sim.Expect(sim.executeLate(pending)).To(BeTrue())
	sim.addEntry(secondIncarnation(0))
	sim.advanceTicks(time.Second)
	sim.Expect(sim.workers[0].active).To(BeEmpty(), "the run is stopped")
}

// startsElsewhereAfter has the first start answered in the given way, and checks that its task starts on
// another worker at once.
func startsElsewhereAfter(t *testing.T, a Answer, err error) {
	sim := newPoolSim(t, 1)
	sim.submit(testJob("a", testStep(1)))
	s := sim.planOneStart()
	sim.addIncarnation(firstIncarnation(1))
	sim.pool.HandleStartAnswer(s, a, err, sim.now)
	sim.cordonOnly(0)
	again := sim.expectStart(500*time.Millisecond, "a")
	sim.Expect(workerNumber(again.Worker)).To(Equal(1))
	sim.expectCompleted(2*time.Second, "a")
}

func testStartNotSent(t *testing.T) {
	startsElsewhereAfter(t, Answer{}, ErrNotSent)
}

func testStartRejected(t *testing.T) {
	startsElsewhereAfter(t, Answer{Verdict: VerdictNoRoom, Clock: 60_000}, nil)
}

func testInvalidatedBesideOtherTasks(t *testing.T) {
	sim, pending := newUnansweredStartOf(t, 1, testJob("a", testStep(6)))
	sim.runTimes["a"] = time.Minute
	sim.addIncarnation(firstIncarnation(1))
	sim.advanceTicks(time.Second)
	tasks := map[job.TaskID]bool{}
	for _, s := range sim.orderedStarts {
		tasks[s.Task] = true
	}
	sim.Expect(tasks).To(HaveLen(6))
	sim.Expect(tasks).To(HaveKey(pending.Task))
}

func testInvalidatedBesideAnotherJob(t *testing.T) {
	sim, _ := newUnansweredStart(t)
	sim.runTimes["a"] = time.Minute
	sim.addIncarnation(firstIncarnation(1))
	sim.waitUntilInvalidated()
	sim.submit(testJob("b", testStep(1)))
	sim.expectCompleted(2*time.Second, "b")
}
