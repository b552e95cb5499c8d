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
func TestVoidedStartDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"invalidated for the next incarnation":          voidedOnNextLife,
		"another worker has room":                       voidedWithAnotherWorker,
		"its end is committed":                          voidedAndDone,
		"a second start is invalidated":                 voidedAgain,
		"a long-running task":                           voidedLasting,
		"a gang whose other members are done":           voidedMember,
		"a gang whose member is sent to another worker": voidedMemberElsewhere,
		"the next incarnation has an entry only":        voidedBeforeNextLifeAnswers,
		"a third incarnation follows":                   voidedBeforeThirdLife,
		"the next incarnation carries it out unreached": voidedAndTakenUnseen,
		"its worker drains":                             voidedOnADrainingWorker,
		"its worker drains and leaves":                  keptByAWorkerThatDrained,
		"its last attempt fails":                        voidedAndOutOfAttempts,
	} {
		t.Run(name, test)
	}
}

// Guards against two runs of a task whose start is pending at a silent worker: the task is started
// elsewhere once all leases have expired, and the worker's next incarnation carries out the pending
// start.
func TestStartKeptByASilentWorkerDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"its worker is silent until all leases expire": keptByASilentWorker,
		"its worker leaves and comes back":             keptByAWorkerThatLeft,
	} {
		t.Run(name, test)
	}
}

// Guards against a late start of a previous owner that the next incarnation carries out beside a run
// that the present owner started.
func TestVoidedStartOfAFormerOwnerDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"the previous owner knew that it was invalidated": voidedUnderFormerOwner,
		"the previous owner was gone before":              keptFromFormerOwner,
		"its job was shown as completed":                  voidedAndCompletedUnderFormerOwner,
		"a member of a gang that was sent twice":          voidedMemberUnderFormerOwner,
		"a third owner":                                   voidedUnderTwoFormerOwners,
		"its worker is gone from the store":               keptFromFormerOwnerByOneThatLeft,
		"its number was reused there":                     startedAgainUnderFormerOwner,
	} {
		t.Run(name, test)
	}
}

// Guards against two runs of a task whose start was still in flight when its owner was replaced: that
// owner never learned that the start got no answer.
func TestStartInFlightOfAFormerOwnerDoesNotRunTwice(t *testing.T) {
	sim := newHall(t, 1)
	sim.unheard = true
	sim.loses = func(s StartOrder) bool { return len(sim.kept) == 0 && s.Task.Job == "a" }
	sim.takes["a"] = 5 * time.Second
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.comes(firstLife(1))
	sim.nextOwner()
	sim.closed(0)
	sim.isDoneWithin(30*time.Second, "a")
}

// Guards against tasks that wait for a start that nobody can carry out any more, or that does no harm.
func TestVoidedStartHoldsUpNothingElse(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"a gang is done while the store is unreachable":      voidedMemberTakenLate,
		"its end comes after the expiry":                     voidedAndDoneLater,
		"another worker has room after the expiry":           voidedWithRoomLater,
		"a queue with advice":                                voidedWithTicket,
		"workers that do not report their incarnation start": voidedWithoutBeginnings,
		"a speculative step":                                 voidedSpeculative,
		"it may start again on the same incarnation":         voidedOnTheOnlyWorker,
		"it may start on the next incarnation":               voidedThenNextLife,
		"the job is cancelled":                               voidedAndCancelled,
		"a start that was not sent":                          notSent,
		"a start that was rejected by its worker":            rejectedByItsWorker,
		"another task of the step is not blocked":            voidedBesideOthers,
		"another job of the customer is not blocked":         voidedBesideAnotherJob,
		"it was carried out under a previous owner":          carriedOutUnderFormerOwner,
		"it ended under a previous owner":                    endedUnderFormerOwner,
		"a previous owner sent it long ago":                  keptFromFormerOwnerLongAgo,
		"a previous owner's queue with advice":               formerStartWithTicket,
		"answered by a worker that falls silent":             answeredBeforeSilence,
		"a long-running task on a silent worker":             lastingOnASilentWorker,
		"silent, without incarnation start":                  silentWithoutBeginnings,
	} {
		t.Run(name, test)
	}
}

// newUnansweredStartOf returns a simulation in which worker 0 leaves the first start of a job without an
// answer.
func lostOf(t *testing.T, workers int, r job.Record) (*hall, keptStart) {
	sim := newHall(t, workers)
	lost := false
	sim.loses = func(s StartOrder) bool {
		if lost || s.Task.Job != r.Job.ID || numberOf(s.Worker) != 0 {
			return false
		}
		lost = true
		return true
	}
	sim.gets(r)
	sim.beats()
	sim.Expect(sim.kept).To(HaveLen(1))
	return sim, sim.kept[0]
}

// newUnansweredStart does the same for a job with one task, on the only worker.
func lost(t *testing.T) (*hall, keptStart) {
	return lostOf(t, 1, testJob("a", testStep(1)))
}

// cordonOnly cordons the given workers and no others.
func (sim *hall) closed(numbers ...int) {
	names := map[string]bool{}
	for _, n := range numbers {
		names[workerID(n).Name()] = true
	}
	sim.pool.SetCordoned(names)
}

// addPreferredWorker adds worker 1, which runs other tasks already; placement prefers it, since it has
// less room left.
func (sim *hall) tightWorker() {
	sim.comes(firstLife(1))
	sim.takes["other"] = 40 * time.Second
	sim.gets(testJob("other", testStep(3)))
	sim.pool.suspendWorker(sim.pool.workers[firstLife(0).id], 150*time.Millisecond, "for the test", sim.now)
	sim.asks(firstLife(1).id, false)
	sim.carryOut(sim.plan())
	for _, s := range sim.started[1:] {
		sim.Expect(numberOf(s.Worker)).To(Equal(1))
	}
	sim.pool.workers[firstLife(0).id].suspendedUntil = 0
}

// isInvalidated reports whether the worker of the first start without an answer has answered a poll with
// a higher token.
func (sim *hall) isVoid() bool {
	w := sim.there[numberOf(sim.lost.Worker)]
	return w != nil && w.token > sim.lost.Token
}

// waitUntilInvalidated lets time pass until the first start without an answer is invalidated, which
// takes no more than five ticks.
func (sim *hall) becomesVoid() {
	for range 5 {
		if sim.isVoid() {
			return
		}
		sim.beats()
	}
	sim.Expect(sim.isVoid()).To(BeTrue())
}

func voidedWithAnotherWorker(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.tightWorker()
	sim.becomesVoid()
	sim.isDoneWithin(20*time.Second, "a")
}

func voidedAndDone(t *testing.T) {
	sim, pending := lost(t)
	sim.becomesVoid()
	sim.takenByNextLife(pending)
	sim.lists(secondLife(0))
	sim.isDoneWithin(10*time.Second, "a")
}

// The late start expires maxOrderDelay after the later of the two starts.
func voidedAgain(t *testing.T) {
	sim := newHall(t, 1)
	sim.loses = func(s StartOrder) bool { return s.Task.Job == "a" && len(sim.kept) < 2 }
	sim.takes["a"] = 5 * time.Second
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.closed(0)
	sim.becomesVoid()
	sim.passes(10 * time.Second)
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.closed()
	sim.startsWithin(3*time.Second, "a")
	sim.Expect(sim.kept).To(HaveLen(2))
	sim.closed(0)
	sim.comes(firstLife(1))
	sim.isDoneWithin(30*time.Second, "a")
}

func voidedLasting(t *testing.T) {
	sim, _ := lostOf(t, 1, testJob("a", servingStep(1)))
	sim.takes["a"] = time.Hour
	sim.tightWorker()
	sim.becomesVoid()
	sim.passes(maxOrderDelay + time.Second)
	running := 0
	for _, w := range sim.there {
		running += len(w.active)
	}
	sim.Expect(running).To(Equal(4), "the service runs beside the three other tasks")
}

func voidGang(n int) job.Record {
	s := testStep(n)
	s.Gang = true
	return testJob("a", s)
}

// The other member is on worker 1; the member whose start was invalidated goes to worker 0 again.
func voidedMember(t *testing.T) {
	r := voidGang(2)
	r.Job.Steps[0].MaxPerWorker = 1
	sim, _ := lostOf(t, 2, r)
	sim.becomesVoid()
	sim.isDoneWithin(30*time.Second, "a")
}

func voidedMemberElsewhere(t *testing.T) {
	sim, _ := lostOf(t, 2, voidGang(8))
	sim.takes["a"] = 20 * time.Second
	sim.closed(0)
	sim.comes(firstLife(2))
	sim.becomesVoid()
	sim.passes(maxOrderDelay)
}

// executeOnNextIncarnation crashes worker 0 just before the late start expires; the next incarnation
// carries out the start before the owner learns of that incarnation.
func (sim *hall) takenByNextLife(pending keptStart) {
	sim.passes(pending.sentAt.Add(maxOrderDelay - 300*time.Millisecond).Sub(sim.now))
	sim.crashes(0)
	sim.passes(beat)
	sim.comesUnlisted(secondLife(0))
	sim.Expect(sim.carriesOutLate(pending)).To(BeTrue())
}

// While the store can't be reached, the ends of the other members can't be acknowledged before the start is
// carried out; they are acknowledged later.
func voidedMemberTakenLate(t *testing.T) {
	r := voidGang(2)
	r.Job.Steps[0].MaxPerWorker = 1
	sim, pending := lostOf(t, 2, r)
	sim.storeAway = true
	sim.becomesVoid()
	sim.takenByNextLife(pending)
	sim.passes(500 * time.Millisecond)
	sim.storeAway = false
	sim.lists(secondLife(0))
	sim.isDoneWithin(30*time.Second, "a")
}

func voidedBeforeNextLifeAnswers(t *testing.T) {
	sim, pending := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.closed(1)
	sim.becomesVoid()
	sim.crashes(0)
	sim.lists(secondLife(0))
	sim.closed()
	sim.passes(time.Second)
	sim.comesUnlisted(secondLife(0))
	sim.Expect(sim.carriesOutLate(pending)).To(BeTrue())
	sim.isDoneWithin(30*time.Second, "a")
}

func voidedBeforeThirdLife(t *testing.T) {
	sim, pending := lost(t)
	sim.becomesVoid()
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comes(secondLife(0))
	sim.passes(8 * time.Second)
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(thirdLife(0))
	sim.Expect(sim.carriesOutLate(pending)).To(BeTrue())
	sim.lists(thirdLife(0))
	sim.isDoneWithin(20*time.Second, "a")
}

// The start reaches the next incarnation and is invalidated for it; the incarnation after that has seen
// no token either.
func voidedOnNextLife(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.crashes(0)
	sim.comes(firstLife(1))
	sim.passes(600 * time.Millisecond)
	sim.Expect(sim.isVoid()).To(BeFalse())
	sim.comes(secondLife(0))
	sim.becomesVoid()
	sim.closed(0)
	sim.isDoneWithin(30*time.Second, "a")
}

// The owner does not learn of the incarnation that carries out the start, and has to wait until the
// leases there have expired.
func voidedAndTakenUnseen(t *testing.T) {
	sim, pending := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.closed(0, 1)
	sim.becomesVoid()
	sim.takenByNextLife(pending)
	sim.there[0].cut = true
	sim.passes(pending.sentAt.Add(maxOrderDelay + beat).Sub(sim.now))
	sim.closed()
	sim.isDoneWithin(30*time.Second, "a")
}

// The next owner reads the late start from the store, where the previous owner recorded it.
func voidedUnderFormerOwner(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.closed(0, 1)
	sim.becomesVoid()
	sim.passes(time.Second)
	sim.nextOwner()
	sim.closed(0)
	sim.isDoneWithin(30*time.Second, "a")
}

// The first poll of the next owner invalidates the start, of which that owner does not know.
func keptFromFormerOwner(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.Expect(sim.isVoid()).To(BeFalse())
	sim.nextOwner()
	sim.closed(0)
	sim.isDoneWithin(30*time.Second, "a")
}

// The start after the invalidated one reuses its number, so a report that lists the run does not show
// that the invalidated start was carried out.
func startedAgainUnderFormerOwner(t *testing.T) {
	sim, pending := lost(t)
	sim.becomesVoid()
	sim.Expect(sim.startsWithin(time.Second, "a").Run).To(Equal(pending.Run))
	sim.passes(300 * time.Millisecond)
	sim.nextOwner()
	sim.isDoneWithin(5*time.Second, "a")
	sim.Expect(sim.noted).To(BeEmpty())
	sim.passes(maxOrderDelay + maxWallClockSkew)
	sim.Expect(sim.noted).To(HaveLen(1))
}

// The job is done on the same incarnation, and its end is not acknowledged yet; the next owner has only
// the outcome of the job.
func voidedAndCompletedUnderFormerOwner(t *testing.T) {
	sim, pending := lost(t)
	sim.becomesVoid()
	sim.isDoneWithin(5*time.Second, "a")
	sim.Expect(sim.stored["a"].Outcome).To(Equal(job.Completed))
	sim.Expect(sim.noted).To(BeEmpty())
	sim.nextOwner()
	sim.passes(2 * time.Second)
	sim.Expect(sim.noted).To(BeEmpty())
	sim.takenByNextLife(pending)
	sim.lists(secondLife(0))
	sim.passes(time.Second)
	sim.Expect(sim.there[0].active).To(BeEmpty(), "the run is stopped")
}

// The second start of the member has the same number, and is carried out.
func voidedMemberUnderFormerOwner(t *testing.T) {
	r := voidGang(2)
	r.Job.Steps[0].MaxPerWorker = 1
	sim, pending := lostOf(t, 2, r)
	sim.takes["a"] = 3 * time.Second
	sim.becomesVoid()
	again := sim.startsWithin(500*time.Millisecond, "a")
	sim.Expect(again.Task).To(Equal(pending.Task))
	sim.Expect(again.Run).To(Equal(pending.Run))
	sim.passes(time.Second)
	sim.nextOwner()
	sim.isDoneWithin(30*time.Second, "a")
	sim.passes(maxOrderDelay)
	sim.Expect(sim.noted).To(HaveLen(2))
}

func voidedUnderTwoFormerOwners(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.closed(0, 1)
	sim.becomesVoid()
	sim.nextOwner()
	sim.closed(0, 1)
	// The second owner has to write the job's progress again.
	sim.pool.markProgressChanged(sim.pool.task(sim.lost.Task))
	sim.passes(2 * time.Second)
	sim.nextOwner()
	sim.closed(0)
	sim.isDoneWithin(40*time.Second, "a")
}

// Only the job's progress records the worker, whose next incarnation begins later.
func keptFromFormerOwnerByOneThatLeft(t *testing.T) {
	sim, pending := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.crashes(0)
	sim.nextOwner()
	sim.passes(4 * time.Second)
	sim.comes(secondLife(0))
	sim.closed(0)
	sim.passes(pending.sentAt.Add(maxOrderDelay).Sub(sim.now))
	sim.isDoneWithin(30*time.Second, "a")
}

// newLostAnswer returns a simulation in which the only start of a job was carried out, but its answer
// did not reach the owner.
func lostAnswerOf(t *testing.T) (*hall, keptStart) {
	sim, pending := lost(t)
	sim.Expect(sim.takeStart(sim.there[0], pending.StartOrder)).To(BeTrue())
	sim.kept = nil
	return sim, pending
}

// The next owner finds the run in a report, so its end is acknowledged at once.
func carriedOutUnderFormerOwner(t *testing.T) {
	sim, pending := lostAnswerOf(t)
	sim.nextOwner()
	sim.isDoneWithin(2*time.Second, "a")
	sim.Expect(sim.noted).To(HaveLen(1))
	sim.Expect(sim.noted[0].Run).To(Equal(pending.Run))
}

// The previous owner never learned of the run; the next one finds its end.
func endedUnderFormerOwner(t *testing.T) {
	sim, _ := lostAnswerOf(t)
	sim.there[0].cut = true
	sim.passes(1200 * time.Millisecond)
	sim.there[0].cut = false
	sim.nextOwner()
	sim.isDoneWithin(time.Second, "a")
	sim.Expect(sim.noted).To(HaveLen(1))
}

func keptFromFormerOwnerLongAgo(t *testing.T) {
	sim, _ := lost(t)
	sim.closed(0)
	sim.becomesVoid()
	sim.passes(maxOrderDelay + maxWallClockSkew)
	sim.nextOwner()
	sim.comes(firstLife(1))
	sim.closed(0)
	sim.Expect(numberOf(sim.startsWithin(500*time.Millisecond, "a").Worker)).To(Equal(1))
	sim.isDoneWithin(2*time.Second, "a")
}

// Another incarnation rejects the ticket, so no late start is recorded in the store.
func formerStartWithTicket(t *testing.T) {
	sim := newHall(t, 2)
	sim.pool.AddAdviser("host")
	sim.loses = func(s StartOrder) bool { return len(sim.started) == 1 }
	sim.gets(advisedJob("a", testStep(1)))
	sim.passes(2 * beat)
	sim.Expect(sim.kept).To(HaveLen(1))
	n := numberOf(sim.kept[0].Worker)
	sim.kept = nil
	sim.Expect(sim.stored["a"].Progress.Tasks).To(BeEmpty())
	sim.nextOwner()
	sim.pool.AddAdviser("host")
	sim.closed(n)
	sim.Expect(numberOf(sim.startsWithin(500*time.Millisecond, "a").Worker)).NotTo(Equal(n))
	sim.isDoneWithin(2*time.Second, "a")
}

func keptByASilentWorker(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.crashes(0)
	sim.isDoneWithin(40*time.Second, "a")
}

// startsAfterExpiry crashes worker 0, and checks that the job starts on worker 1 as soon as all leases
// have expired. No pending start can be carried out.
func (sim *hall) startsAfterLapse(next life) {
	sim.kept = nil
	sim.comes(next)
	sim.crashes(0)
	sim.Expect(numberOf(sim.startsWithin(leaseExpiryTime(6*time.Second)+500*time.Millisecond, "a").Worker)).To(Equal(1))
}

func answeredBeforeSilence(t *testing.T) {
	sim := newHall(t, 1)
	sim.takes["a"] = 5 * time.Second
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.Expect(sim.there[0].active).To(HaveLen(1))
	sim.startsAfterLapse(firstLife(1))
}

func lastingOnASilentWorker(t *testing.T) {
	sim, _ := lostOf(t, 1, testJob("a", servingStep(1)))
	sim.startsAfterLapse(firstLife(1))
}

func silentWithoutBeginnings(t *testing.T) {
	sim := newHall(t, 0)
	sim.comes(newLife(0, 0, 0))
	sim.passes(2 * beat)
	sim.loses = func(StartOrder) bool { return len(sim.started) == 1 }
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.Expect(sim.kept).To(HaveLen(1))
	sim.startsAfterLapse(newLife(1, 0, 0))
}

func keptByAWorkerThatLeft(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.crashes(0)
	sim.passes(time.Second)
	sim.entryGoes(firstLife(0))
	sim.passes(8 * time.Second)
	sim.comes(secondLife(0))
	sim.isDoneWithin(40*time.Second, "a")
}

func voidedOnADrainingWorker(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	leaving := firstLife(0).info()
	leaving.Draining, leaving.Remaining = true, 3*time.Second
	sim.pool.UpsertWorker(leaving, true, sim.now)
	sim.becomesVoid()
	sim.isDoneWithin(30*time.Second, "a")
}

func keptByAWorkerThatDrained(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = 5 * time.Second
	sim.comes(firstLife(1))
	sim.closed(0, 1)
	sim.becomesVoid()
	leaving := firstLife(0).info()
	leaving.Draining, leaving.Remaining = true, 2*time.Second
	sim.pool.UpsertWorker(leaving, true, sim.now)
	sim.passes(2 * time.Second)
	sim.crashes(0)
	sim.entryGoes(firstLife(0))
	sim.closed()
	sim.isDoneWithin(40*time.Second, "a")
}

func voidedAndOutOfAttempts(t *testing.T) {
	sim, _ := lost(t)
	sim.how["a"] = EndFailed
	sim.becomesVoid()
	sim.passes(maxOrderDelay + 5*time.Second)
	state, _, _ := sim.pool.JobState("a")
	sim.Expect(state).To(Equal(job.Failed))
}

func voidedAndDoneLater(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = maxOrderDelay + 500*time.Millisecond
	sim.becomesVoid()
	sim.isDoneWithin(30*time.Second, "a")
	sim.passes(time.Second)
	sim.Expect(sim.noted).To(HaveLen(1))
}

func voidedWithRoomLater(t *testing.T) {
	sim, _ := lost(t)
	sim.closed(0)
	sim.becomesVoid()
	sim.passes(maxOrderDelay)
	sim.comes(firstLife(1))
	sim.Expect(numberOf(sim.startsWithin(time.Second, "a").Worker)).To(Equal(1))
	sim.isDoneWithin(2*time.Second, "a")
}

// startsElsewhereAtOnce checks that an invalidated start blocks nothing: its task starts on worker 1 and
// is done. No pending start can be carried out.
func (sim *hall) startsElsewhereAtOnce() {
	sim.kept = nil
	sim.becomesVoid()
	sim.Expect(numberOf(sim.startsWithin(3*beat, "a").Worker)).To(Equal(1))
	sim.isDoneWithin(2*time.Second, "a")
}

func voidedWithTicket(t *testing.T) {
	sim := newHall(t, 2)
	sim.pool.AddAdviser("host")
	sim.loses = func(s StartOrder) bool { return len(sim.started) == 1 }
	sim.gets(advisedJob("a", testStep(1)))
	sim.passes(2 * beat)
	sim.Expect(sim.kept).To(HaveLen(1))
	pending := sim.kept[0]
	sim.Expect(pending.Ticket).To(Equal("of "+string(pending.Worker)), "no other incarnation accepts it")
	sim.kept = nil
	sim.closed(numberOf(pending.Worker))
	sim.becomesVoid()
	sim.isDoneWithin(2*time.Second, "a")
	sim.Expect(sim.started[len(sim.started)-1].Worker).NotTo(Equal(pending.Worker))
}

func voidedWithoutBeginnings(t *testing.T) {
	sim := newHall(t, 0)
	for n := range 2 {
		sim.comes(newLife(n, 0, 0))
	}
	sim.passes(2 * beat)
	sim.loses = func(StartOrder) bool { return len(sim.started) == 1 }
	sim.gets(testJob("a", testStep(1)))
	sim.beats()
	sim.Expect(sim.kept).To(HaveLen(1))
	pending := sim.kept[0]
	sim.kept = nil // the next incarnation has another name, and so answers VerdictWrongWorker
	sim.closed(numberOf(pending.Worker))
	sim.becomesVoid()
	sim.isDoneWithin(2*time.Second, "a")
	sim.Expect(sim.started[len(sim.started)-1].Worker).NotTo(Equal(pending.Worker))
}

func voidedSpeculative(t *testing.T) {
	s := testStep(1)
	s.Speculative = true
	sim, _ := lostOf(t, 1, testJob("a", s))
	sim.tightWorker()
	sim.startsElsewhereAtOnce()
}

// A run that starts again on the same incarnation ends with it, so the next incarnation can't run the
// task beside it. If this start gets no answer either, the next incarnation may carry out both: they
// have one number, so only one run begins.
func voidedOnTheOnlyWorker(t *testing.T) {
	sim, pending := lost(t)
	again := sim.startsWithin(500*time.Millisecond, "a")
	sim.Expect(again.Worker).To(Equal(pending.Worker))
	sim.Expect(again.Run).To(Equal(pending.Run))
	sim.Expect(again.Token).To(BeNumerically(">", pending.Token))
}

// The next incarnation has seen a higher token by then, so nothing can carry out the first start any
// more.
func voidedThenNextLife(t *testing.T) {
	sim, pending := lost(t)
	sim.closed(0)
	sim.becomesVoid()
	sim.crashes(0)
	sim.closed()
	sim.passes(600 * time.Millisecond)
	sim.Expect(sim.started).To(HaveLen(1))
	sim.comes(secondLife(0))
	again := sim.startsWithin(time.Second, "a")
	sim.Expect(again.Worker).To(Equal(secondLife(0).id))
	sim.Expect(again.Token).To(BeNumerically(">", pending.Token))
	sim.Expect(sim.carriesOutLate(pending)).To(BeFalse(), "the next incarnation has seen a higher token")
}

// A cancelled job ends at once, and a run of it on the next incarnation is stopped.
func voidedAndCancelled(t *testing.T) {
	sim, pending := lost(t)
	sim.takes["a"] = time.Hour
	sim.closed(0)
	sim.becomesVoid()
	sim.pool.Cancel("a")
	sim.beats()
	state, _, _ := sim.pool.JobState("a")
	sim.Expect(state).To(Equal(job.Cancelled))
	sim.crashes(0)
	sim.passes(600 * time.Millisecond)
	sim.comesUnlisted(secondLife(0))
	sim.Expect(sim.carriesOutLate(pending)).To(BeTrue())
	sim.lists(secondLife(0))
	sim.passes(time.Second)
	sim.Expect(sim.there[0].active).To(BeEmpty(), "the run is stopped")
}

// startsElsewhereAfter has the first start answered in the given way, and checks that its task starts on
// another worker at once.
func settledOtherwise(t *testing.T, a Answer, err error) {
	sim := newHall(t, 1)
	sim.gets(testJob("a", testStep(1)))
	s := sim.onlyStart()
	sim.comes(firstLife(1))
	sim.pool.HandleStartAnswer(s, a, err, sim.now)
	sim.closed(0)
	again := sim.startsWithin(500*time.Millisecond, "a")
	sim.Expect(numberOf(again.Worker)).To(Equal(1))
	sim.isDoneWithin(2*time.Second, "a")
}

func notSent(t *testing.T) {
	settledOtherwise(t, Answer{}, ErrNotSent)
}

func rejectedByItsWorker(t *testing.T) {
	settledOtherwise(t, Answer{Verdict: VerdictNoRoom, Clock: 60_000}, nil)
}

func voidedBesideOthers(t *testing.T) {
	sim, pending := lostOf(t, 1, testJob("a", testStep(6)))
	sim.takes["a"] = time.Minute
	sim.comes(firstLife(1))
	sim.passes(time.Second)
	tasks := map[job.TaskID]bool{}
	for _, s := range sim.started {
		tasks[s.Task] = true
	}
	sim.Expect(tasks).To(HaveLen(6))
	sim.Expect(tasks).To(HaveKey(pending.Task))
}

func voidedBesideAnotherJob(t *testing.T) {
	sim, _ := lost(t)
	sim.takes["a"] = time.Minute
	sim.comes(firstLife(1))
	sim.becomesVoid()
	sim.gets(testJob("b", testStep(1)))
	sim.isDoneWithin(2*time.Second, "b")
}
