package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// A start gets no answer, and is void on its worker once a hold with a higher token was answered there without it. The worker's next life has seen no
// token, and may carry the start out until maxOrderDelay after it was sent. So until then the task must not run on another worker, and none of its
// ends as done may be noted, nor one of another member of its gang, nor the last of its failed attempts.

// Guards against starts that are carried out beside or after a later run of their task, by the next life of the worker on which they were void.
func TestVoidedStartDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"void on the next life":                          voidedOnNextLife,
		"another worker has room":                        voidedWithAnotherWorker,
		"its end is committed":                           voidedAndDone,
		"a second start is void, too":                    voidedAgain,
		"a lasting task":                                 voidedLasting,
		"a gang whose other members are done":            voidedMember,
		"a gang whose member is sent to another worker":  voidedMemberElsewhere,
		"the next life has an entry only":                voidedBeforeNextLifeAnswers,
		"the next life has answered, and one more comes": voidedBeforeThirdLife,
		"the next life takes it unseen":                  voidedAndTakenUnseen,
		"its worker drains":                              voidedOnADrainingWorker,
		"its worker drains and leaves":                   keptByAWorkerThatDrained,
		"its last attempt fails":                         voidedAndOutOfAttempts,
	} {
		t.Run(name, test)
	}
}

// Guards against a start that a silent worker kept, whose task is started elsewhere when all leases have lapsed, and that is carried out by the next life.
func TestStartKeptByASilentWorkerDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"its worker is silent until all leases lapse": keptByASilentWorker,
		"its worker leaves and comes back":            keptByAWorkerThatLeft,
	} {
		t.Run(name, test)
	}
}

// Guards against a start of a former owner that is carried out by the next life beside what the present owner started.
func TestVoidedStartOfAFormerOwnerDoesNotRunTwice(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"the former owner knew that it was void": voidedUnderFormerOwner,
		"the former owner was gone before":       keptFromFormerOwner,
		"its job was shown as completed":         voidedAndCompletedUnderFormerOwner,
		"a member of a gang that was sent twice": voidedMemberUnderFormerOwner,
		"a third owner":                          voidedUnderTwoFormerOwners,
		"its worker is gone from the store":      keptFromFormerOwnerByOneThatLeft,
		"its number was started again there":     startedAgainUnderFormerOwner,
	} {
		t.Run(name, test)
	}
}

// Guards against a start of a former owner that was gone before it could hear that there was no answer.
func TestStartInFlightOfAFormerOwnerDoesNotRunTwice(t *testing.T) {
	h := newHall(t, 1)
	h.unheard = true
	h.loses = func(s StartOrder) bool { return len(h.kept) == 0 && s.Task.Job == "a" }
	h.takes["a"] = 5 * time.Second
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.Expect(h.kept).To(HaveLen(1))
	h.comes(firstLife(1))
	h.nextOwner()
	h.closed(0)
	h.isDoneWithin(30*time.Second, "a")
}

// Guards against tasks that wait for a start that nobody can carry out any more, or that does no harm.
func TestVoidedStartHoldsUpNothingElse(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"a gang is done while the store is away":    voidedMemberTakenLate,
		"its end comes after the time":              voidedAndDoneLater,
		"another worker has room after the time":    voidedWithRoomLater,
		"a queue with advice":                       voidedWithTicket,
		"workers that don't tell when they began":   voidedWithoutBeginnings,
		"a speculative step":                        voidedSpeculative,
		"it may start again on the same life":       voidedOnTheOnlyWorker,
		"it may start on the next life":             voidedThenNextLife,
		"the job is cancelled":                      voidedAndCancelled,
		"a start that was not sent":                 notSent,
		"a start that was rejected by its worker":   rejectedByItsWorker,
		"another task of the step is not held up":   voidedBesideOthers,
		"another job of the customer is not either": voidedBesideAnotherJob,
		"it was carried out under a former owner":   carriedOutUnderFormerOwner,
		"it ended under a former owner":             endedUnderFormerOwner,
		"a former owner sent it long ago":           keptFromFormerOwnerLongAgo,
		"a former owner's queue with advice":        formerStartWithTicket,
		"answered by a worker that falls silent":    answeredBeforeSilence,
		"a lasting task on a silent worker":         lastingOnASilentWorker,
		"silent, without beginnings of lives":       silentWithoutBeginnings,
	} {
		t.Run(name, test)
	}
}

// lostOf is a hall in which worker 0 leaves the first start of a job without an answer.
func lostOf(t *testing.T, workers int, r job.Record) (*hall, keptStart) {
	h := newHall(t, workers)
	lost := false
	h.loses = func(s StartOrder) bool {
		if lost || s.Task.Job != r.Job.ID || numberOf(s.Worker) != 0 {
			return false
		}
		lost = true
		return true
	}
	h.gets(r)
	h.beats()
	h.Expect(h.kept).To(HaveLen(1))
	return h, h.kept[0]
}

// lost is the same of a job with one task, on the only worker.
func lost(t *testing.T) (*hall, keptStart) {
	return lostOf(t, 1, testJob("a", testStep(1)))
}

// closed has the machines of some workers be emptied, and no others.
func (h *hall) closed(numbers ...int) {
	names := map[string]bool{}
	for _, n := range numbers {
		names[workerID(n).Name()] = true
	}
	h.pool.SetCordoned(names)
}

// tightWorker has worker 1 come, which tasks are placed on first: something runs there.
func (h *hall) tightWorker() {
	h.comes(firstLife(1))
	h.takes["other"] = 40 * time.Second
	h.gets(testJob("other", testStep(3)))
	h.pool.suspendWorker(h.pool.workers[firstLife(0).id], 150*time.Millisecond, "for the test", h.now)
	h.asks(firstLife(1).id, false)
	h.carryOut(h.plan())
	for _, s := range h.started[1:] {
		h.Expect(numberOf(s.Worker)).To(Equal(1))
	}
	h.pool.workers[firstLife(0).id].suspendedUntil = 0
}

// isVoid says that the worker of the start that was lost first has answered a hold with a higher token.
func (h *hall) isVoid() bool {
	r := h.there[numberOf(h.lost.Worker)]
	return r != nil && r.token > h.lost.Token
}

// becomesVoid has time pass until the start that was lost first is void, which takes no longer than a few calls.
func (h *hall) becomesVoid() {
	for range 5 {
		if h.isVoid() {
			return
		}
		h.beats()
	}
	h.Expect(h.isVoid()).To(BeTrue())
}

func voidedWithAnotherWorker(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.tightWorker()
	h.becomesVoid()
	h.isDoneWithin(20*time.Second, "a")
}

func voidedAndDone(t *testing.T) {
	h, k := lost(t)
	h.becomesVoid()
	h.takenByNextLife(k)
	h.lists(secondLife(0))
	h.isDoneWithin(10*time.Second, "a")
}

// The time counts from the later of two starts.
func voidedAgain(t *testing.T) {
	h := newHall(t, 1)
	h.loses = func(s StartOrder) bool { return s.Task.Job == "a" && len(h.kept) < 2 }
	h.takes["a"] = 5 * time.Second
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.closed(0)
	h.becomesVoid()
	h.passes(10 * time.Second)
	h.Expect(h.kept).To(HaveLen(1))
	h.closed()
	h.startsWithin(3*time.Second, "a")
	h.Expect(h.kept).To(HaveLen(2))
	h.closed(0)
	h.comes(firstLife(1))
	h.isDoneWithin(30*time.Second, "a")
}

func voidedLasting(t *testing.T) {
	h, _ := lostOf(t, 1, testJob("a", servingStep(1)))
	h.takes["a"] = time.Hour
	h.tightWorker()
	h.becomesVoid()
	h.passes(maxOrderDelay + time.Second)
	running := 0
	for _, r := range h.there {
		running += len(r.active)
	}
	h.Expect(running).To(Equal(4), "it goes on, beside the three others")
}

func voidGang(n int) job.Record {
	s := testStep(n)
	s.Gang = true
	return testJob("a", s)
}

// The other member is on worker 1, and the one whose start is void goes to worker 0 again.
func voidedMember(t *testing.T) {
	r := voidGang(2)
	r.Job.Steps[0].MaxPerWorker = 1
	h, _ := lostOf(t, 2, r)
	h.becomesVoid()
	h.isDoneWithin(30*time.Second, "a")
}

func voidedMemberElsewhere(t *testing.T) {
	h, _ := lostOf(t, 2, voidGang(8))
	h.takes["a"] = 20 * time.Second
	h.closed(0)
	h.comes(firstLife(2))
	h.becomesVoid()
	h.passes(maxOrderDelay)
}

// takenByNextLife has worker 0 crash just before the time is over, and its next life carry out the start before the owner hears of that life.
func (h *hall) takenByNextLife(k keptStart) {
	h.passes(k.sentAt.Add(maxOrderDelay - 300*time.Millisecond).Sub(h.now))
	h.crashes(0)
	h.passes(beat)
	h.comesUnlisted(secondLife(0))
	h.Expect(h.carriesOutLate(k)).To(BeTrue())
}

// What the others ended can't be noted before the start is carried out, and is noted later.
func voidedMemberTakenLate(t *testing.T) {
	r := voidGang(2)
	r.Job.Steps[0].MaxPerWorker = 1
	h, k := lostOf(t, 2, r)
	h.storeAway = true
	h.becomesVoid()
	h.takenByNextLife(k)
	h.passes(500 * time.Millisecond)
	h.storeAway = false
	h.lists(secondLife(0))
	h.isDoneWithin(30*time.Second, "a")
}

func voidedBeforeNextLifeAnswers(t *testing.T) {
	h, k := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.closed(1)
	h.becomesVoid()
	h.crashes(0)
	h.lists(secondLife(0))
	h.closed()
	h.passes(time.Second)
	h.comesUnlisted(secondLife(0))
	h.Expect(h.carriesOutLate(k)).To(BeTrue())
	h.isDoneWithin(30*time.Second, "a")
}

func voidedBeforeThirdLife(t *testing.T) {
	h, k := lost(t)
	h.becomesVoid()
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comes(secondLife(0))
	h.passes(8 * time.Second)
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(thirdLife(0))
	h.Expect(h.carriesOutLate(k)).To(BeTrue())
	h.lists(thirdLife(0))
	h.isDoneWithin(20*time.Second, "a")
}

// The start went over to the next life and is void there; the life after that has seen no token either.
func voidedOnNextLife(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.crashes(0)
	h.comes(firstLife(1))
	h.passes(600 * time.Millisecond)
	h.Expect(h.isVoid()).To(BeFalse())
	h.comes(secondLife(0))
	h.becomesVoid()
	h.closed(0)
	h.isDoneWithin(30*time.Second, "a")
}

// The owner does not hear of the life that takes the start, and has to wait until what that runs has lapsed.
func voidedAndTakenUnseen(t *testing.T) {
	h, k := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.closed(0, 1)
	h.becomesVoid()
	h.takenByNextLife(k)
	h.there[0].cut = true
	h.passes(k.sentAt.Add(maxOrderDelay + beat).Sub(h.now))
	h.closed()
	h.isDoneWithin(30*time.Second, "a")
}

// The next owner reads from the store what the former one kept of the start.
func voidedUnderFormerOwner(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.closed(0, 1)
	h.becomesVoid()
	h.passes(time.Second)
	h.nextOwner()
	h.closed(0)
	h.isDoneWithin(30*time.Second, "a")
}

// The first hold of the next owner makes the start void, of which that owner does not know.
func keptFromFormerOwner(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.Expect(h.isVoid()).To(BeFalse())
	h.nextOwner()
	h.closed(0)
	h.isDoneWithin(30*time.Second, "a")
}

// The start after the void one has its number, so that a list of the run does not show that the void one was carried out.
func startedAgainUnderFormerOwner(t *testing.T) {
	h, k := lost(t)
	h.becomesVoid()
	h.Expect(h.startsWithin(time.Second, "a").Run).To(Equal(k.Run))
	h.passes(300 * time.Millisecond)
	h.nextOwner()
	h.isDoneWithin(5*time.Second, "a")
	h.Expect(h.noted).To(BeEmpty())
	h.passes(maxOrderDelay + maxWallClockSkew)
	h.Expect(h.noted).To(HaveLen(1))
}

// The job is done on the same life, and its end is held; the next owner has its outcome only.
func voidedAndCompletedUnderFormerOwner(t *testing.T) {
	h, k := lost(t)
	h.becomesVoid()
	h.isDoneWithin(5*time.Second, "a")
	h.Expect(h.stored["a"].Outcome).To(Equal(job.Completed))
	h.Expect(h.noted).To(BeEmpty())
	h.nextOwner()
	h.passes(2 * time.Second)
	h.Expect(h.noted).To(BeEmpty())
	h.takenByNextLife(k)
	h.lists(secondLife(0))
	h.passes(time.Second)
	h.Expect(h.there[0].active).To(BeEmpty(), "it is stopped")
}

// The second time it is sent with the same number, and carried out.
func voidedMemberUnderFormerOwner(t *testing.T) {
	r := voidGang(2)
	r.Job.Steps[0].MaxPerWorker = 1
	h, k := lostOf(t, 2, r)
	h.takes["a"] = 3 * time.Second
	h.becomesVoid()
	again := h.startsWithin(500*time.Millisecond, "a")
	h.Expect(again.Task).To(Equal(k.Task))
	h.Expect(again.Run).To(Equal(k.Run))
	h.passes(time.Second)
	h.nextOwner()
	h.isDoneWithin(30*time.Second, "a")
	h.passes(maxOrderDelay)
	h.Expect(h.noted).To(HaveLen(2))
}

func voidedUnderTwoFormerOwners(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.closed(0, 1)
	h.becomesVoid()
	h.nextOwner()
	h.closed(0, 1)
	h.pool.markProgressChanged(h.pool.task(h.lost.Task)) // it writes the job's progress anew
	h.passes(2 * time.Second)
	h.nextOwner()
	h.closed(0)
	h.isDoneWithin(40*time.Second, "a")
}

// Nothing but the job's progress names its worker, whose next life comes later.
func keptFromFormerOwnerByOneThatLeft(t *testing.T) {
	h, k := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.crashes(0)
	h.nextOwner()
	h.passes(4 * time.Second)
	h.comes(secondLife(0))
	h.closed(0)
	h.passes(k.sentAt.Add(maxOrderDelay).Sub(h.now))
	h.isDoneWithin(30*time.Second, "a")
}

// lostAnswerOf has the only start of a job be carried out, without the answer reaching the owner.
func lostAnswerOf(t *testing.T) (*hall, keptStart) {
	h, k := lost(t)
	h.Expect(h.takeStart(h.there[0], k.StartOrder)).To(BeTrue())
	h.kept = nil
	return h, k
}

// What runs is listed, so that its end is noted at once.
func carriedOutUnderFormerOwner(t *testing.T) {
	h, k := lostAnswerOf(t)
	h.nextOwner()
	h.isDoneWithin(2*time.Second, "a")
	h.Expect(h.noted).To(HaveLen(1))
	h.Expect(h.noted[0].Run).To(Equal(k.Run))
}

// The former owner was told nothing of the run, and the next one finds its end.
func endedUnderFormerOwner(t *testing.T) {
	h, _ := lostAnswerOf(t)
	h.there[0].cut = true
	h.passes(1200 * time.Millisecond)
	h.there[0].cut = false
	h.nextOwner()
	h.isDoneWithin(time.Second, "a")
	h.Expect(h.noted).To(HaveLen(1))
}

func keptFromFormerOwnerLongAgo(t *testing.T) {
	h, _ := lost(t)
	h.closed(0)
	h.becomesVoid()
	h.passes(maxOrderDelay + maxWallClockSkew)
	h.nextOwner()
	h.comes(firstLife(1))
	h.closed(0)
	h.Expect(numberOf(h.startsWithin(500*time.Millisecond, "a").Worker)).To(Equal(1))
	h.isDoneWithin(2*time.Second, "a")
}

// A next life rejects the ticket, so the store is told nothing.
func formerStartWithTicket(t *testing.T) {
	h := newHall(t, 2)
	h.pool.AddAdviser("host")
	h.loses = func(s StartOrder) bool { return len(h.started) == 1 }
	h.gets(advisedJob("a", testStep(1)))
	h.passes(2 * beat)
	h.Expect(h.kept).To(HaveLen(1))
	n := numberOf(h.kept[0].Worker)
	h.kept = nil
	h.Expect(h.stored["a"].Progress.Tasks).To(BeEmpty())
	h.nextOwner()
	h.pool.AddAdviser("host")
	h.closed(n)
	h.Expect(numberOf(h.startsWithin(500*time.Millisecond, "a").Worker)).NotTo(Equal(n))
	h.isDoneWithin(2*time.Second, "a")
}

func keptByASilentWorker(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.crashes(0)
	h.isDoneWithin(40*time.Second, "a")
}

// startsAfterLapse has worker 0 crash, and checks that the job starts on worker 1 as soon as all leases have lapsed. No kept start can be carried out.
func (h *hall) startsAfterLapse(next life) {
	h.kept = nil
	h.comes(next)
	h.crashes(0)
	h.Expect(numberOf(h.startsWithin(leaseExpiryTime(6*time.Second)+500*time.Millisecond, "a").Worker)).To(Equal(1))
}

func answeredBeforeSilence(t *testing.T) {
	h := newHall(t, 1)
	h.takes["a"] = 5 * time.Second
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.Expect(h.there[0].active).To(HaveLen(1))
	h.startsAfterLapse(firstLife(1))
}

func lastingOnASilentWorker(t *testing.T) {
	h, _ := lostOf(t, 1, testJob("a", servingStep(1)))
	h.startsAfterLapse(firstLife(1))
}

func silentWithoutBeginnings(t *testing.T) {
	h := newHall(t, 0)
	h.comes(newLife(0, 0, 0))
	h.passes(2 * beat)
	h.loses = func(StartOrder) bool { return len(h.started) == 1 }
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.Expect(h.kept).To(HaveLen(1))
	h.startsAfterLapse(newLife(1, 0, 0))
}

func keptByAWorkerThatLeft(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.crashes(0)
	h.passes(time.Second)
	h.entryGoes(firstLife(0))
	h.passes(8 * time.Second)
	h.comes(secondLife(0))
	h.isDoneWithin(40*time.Second, "a")
}

func voidedOnADrainingWorker(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	leaving := firstLife(0).info()
	leaving.Draining, leaving.Remaining = true, 3*time.Second
	h.pool.UpsertWorker(leaving, true, h.now)
	h.becomesVoid()
	h.isDoneWithin(30*time.Second, "a")
}

func keptByAWorkerThatDrained(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = 5 * time.Second
	h.comes(firstLife(1))
	h.closed(0, 1)
	h.becomesVoid()
	leaving := firstLife(0).info()
	leaving.Draining, leaving.Remaining = true, 2*time.Second
	h.pool.UpsertWorker(leaving, true, h.now)
	h.passes(2 * time.Second)
	h.crashes(0)
	h.entryGoes(firstLife(0))
	h.closed()
	h.isDoneWithin(40*time.Second, "a")
}

func voidedAndOutOfAttempts(t *testing.T) {
	h, _ := lost(t)
	h.how["a"] = EndFailed
	h.becomesVoid()
	h.passes(maxOrderDelay + 5*time.Second)
	state, _, _ := h.pool.JobState("a")
	h.Expect(state).To(Equal(job.Failed))
}

func voidedAndDoneLater(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = maxOrderDelay + 500*time.Millisecond
	h.becomesVoid()
	h.isDoneWithin(30*time.Second, "a")
	h.passes(time.Second)
	h.Expect(h.noted).To(HaveLen(1))
}

func voidedWithRoomLater(t *testing.T) {
	h, _ := lost(t)
	h.closed(0)
	h.becomesVoid()
	h.passes(maxOrderDelay)
	h.comes(firstLife(1))
	h.Expect(numberOf(h.startsWithin(time.Second, "a").Worker)).To(Equal(1))
	h.isDoneWithin(2*time.Second, "a")
}

// startsElsewhereAtOnce checks that a void start holds up nothing: its task starts on worker 1 and is done. No kept start can be carried out.
func (h *hall) startsElsewhereAtOnce() {
	h.kept = nil
	h.becomesVoid()
	h.Expect(numberOf(h.startsWithin(3*beat, "a").Worker)).To(Equal(1))
	h.isDoneWithin(2*time.Second, "a")
}

func voidedWithTicket(t *testing.T) {
	h := newHall(t, 2)
	h.pool.AddAdviser("host")
	h.loses = func(s StartOrder) bool { return len(h.started) == 1 }
	h.gets(advisedJob("a", testStep(1)))
	h.passes(2 * beat)
	h.Expect(h.kept).To(HaveLen(1))
	k := h.kept[0]
	h.Expect(k.Ticket).To(Equal("of "+string(k.Worker)), "no other life takes it")
	h.kept = nil
	h.closed(numberOf(k.Worker))
	h.becomesVoid()
	h.isDoneWithin(2*time.Second, "a")
	h.Expect(h.started[len(h.started)-1].Worker).NotTo(Equal(k.Worker))
}

func voidedWithoutBeginnings(t *testing.T) {
	h := newHall(t, 0)
	for n := range 2 {
		h.comes(newLife(n, 0, 0))
	}
	h.passes(2 * beat)
	h.loses = func(StartOrder) bool { return len(h.started) == 1 }
	h.gets(testJob("a", testStep(1)))
	h.beats()
	h.Expect(h.kept).To(HaveLen(1))
	k := h.kept[0]
	h.kept = nil // the next life has another name, and so answers that another one is meant
	h.closed(numberOf(k.Worker))
	h.becomesVoid()
	h.isDoneWithin(2*time.Second, "a")
	h.Expect(h.started[len(h.started)-1].Worker).NotTo(Equal(k.Worker))
}

func voidedSpeculative(t *testing.T) {
	s := testStep(1)
	s.Speculative = true
	h, _ := lostOf(t, 1, testJob("a", s))
	h.tightWorker()
	h.startsElsewhereAtOnce()
}

// What starts again on the same life ends with it, so that the next one can't run the task beside it. If this start gets no answer either, the next one may
// carry out both: under one number it begins one run.
func voidedOnTheOnlyWorker(t *testing.T) {
	h, k := lost(t)
	again := h.startsWithin(500*time.Millisecond, "a")
	h.Expect(again.Worker).To(Equal(k.Worker))
	h.Expect(again.Run).To(Equal(k.Run))
	h.Expect(again.Token).To(BeNumerically(">", k.Token))
}

// The next life has seen a higher token by then, so that nothing else can carry the start out.
func voidedThenNextLife(t *testing.T) {
	h, k := lost(t)
	h.closed(0)
	h.becomesVoid()
	h.crashes(0)
	h.closed()
	h.passes(600 * time.Millisecond)
	h.Expect(h.started).To(HaveLen(1))
	h.comes(secondLife(0))
	again := h.startsWithin(time.Second, "a")
	h.Expect(again.Worker).To(Equal(secondLife(0).id))
	h.Expect(again.Token).To(BeNumerically(">", k.Token))
	h.Expect(h.carriesOutLate(k)).To(BeFalse(), "it has seen a higher token")
}

// A job that is cancelled has ended at once, and what the next life takes of it is stopped.
func voidedAndCancelled(t *testing.T) {
	h, k := lost(t)
	h.takes["a"] = time.Hour
	h.closed(0)
	h.becomesVoid()
	h.pool.Cancel("a")
	h.beats()
	state, _, _ := h.pool.JobState("a")
	h.Expect(state).To(Equal(job.Cancelled))
	h.crashes(0)
	h.passes(600 * time.Millisecond)
	h.comesUnlisted(secondLife(0))
	h.Expect(h.carriesOutLate(k)).To(BeTrue())
	h.lists(secondLife(0))
	h.passes(time.Second)
	h.Expect(h.there[0].active).To(BeEmpty(), "it is stopped")
}

// settledOtherwise has the first start be answered in another way, and checks that its task starts on another worker at once.
func settledOtherwise(t *testing.T, a Answer, err error) {
	h := newHall(t, 1)
	h.gets(testJob("a", testStep(1)))
	s := h.onlyStart()
	h.comes(firstLife(1))
	h.pool.HandleStartAnswer(s, a, err, h.now)
	h.closed(0)
	again := h.startsWithin(500*time.Millisecond, "a")
	h.Expect(numberOf(again.Worker)).To(Equal(1))
	h.isDoneWithin(2*time.Second, "a")
}

func notSent(t *testing.T) {
	settledOtherwise(t, Answer{}, ErrNotSent)
}

func rejectedByItsWorker(t *testing.T) {
	settledOtherwise(t, Answer{Verdict: VerdictNoRoom, Clock: 60_000}, nil)
}

func voidedBesideOthers(t *testing.T) {
	h, k := lostOf(t, 1, testJob("a", testStep(6)))
	h.takes["a"] = time.Minute
	h.comes(firstLife(1))
	h.passes(time.Second)
	tasks := map[job.TaskID]bool{}
	for _, s := range h.started {
		tasks[s.Task] = true
	}
	h.Expect(tasks).To(HaveLen(6))
	h.Expect(tasks).To(HaveKey(k.Task))
}

func voidedBesideAnotherJob(t *testing.T) {
	h, _ := lost(t)
	h.takes["a"] = time.Minute
	h.comes(firstLife(1))
	h.becomesVoid()
	h.gets(testJob("b", testStep(1)))
	h.isDoneWithin(2*time.Second, "b")
}
