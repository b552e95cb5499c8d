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

// A worker that has crashed may start again under the id that it had, and then knows nothing of before: its clock, its numbers of
// ends and the fencing token that it has seen begin anew. An owner took the next life for the former one. It passed over the ends that it
// read, since their numbers were below the highest seen, and told the worker to forget them; a report whose clock was below the highest
// seen said nothing of what was missing. So tasks that were done ran again, and what was counted on the former life was counted for ever:
//
//	10.0 s  pool.run_ended.lost 119, pool.worker_gone 0, 17 of 48 workers back under their ids since 6.0 s
//	108.7 s pool_status runs=2047 used="cpu=4971950m" waiting=2595, with most of the workers' room free
func TestNextLifeUnderAnIDIsAnotherWorker(t *testing.T) {
	for name, test := range map[string]func(*testing.T){
		"its ends count from the first":                      endsOfNextLifeCount,
		"its clock may be below":                             clockOfNextLifeIsBelow,
		"a gang with a member on the former life goes again": gangGoesAgain,
		"a lasting task goes again":                          lastingTaskGoesAgain,
		"no end is noted unseen":                             noEndIsNotedUnseen,
		"a hold for a life that may have ended":              holdForDoubtedLife,
		"a start without an answer may run there":            unansweredStartRunsOnNextLife,
		"a start without an answer is void once fenced":      unansweredStartIsVoidOnNextLife,
		"a start that it answered may run there":             answeredStartRunsOnNextLife,
		"a cancelled start that it took is stopped":          cancelledStartOnNextLifeIsStopped,
		"a stop that the former life did not get":            stopOnNextLife,
		"the members of a gang that it took go on":           gangOnNextLifeGoesOn,
		"it is told by its own list before its entry":        listBeforeEntry,
		"its entry comes before its list":                    entryBeforeList,
		"late answers of the former life":                    lateAnswersOfFormerLife,
		"late entries of the former life":                    lateEntriesOfFormerLife,
		"several lives within a heartbeat":                   severalLives,
		"the list of a life that has ended comes late":       lateListOfEndedLife,
		"a list that was held up":                            listHeldUp,
		"a start on a life that falls silent at once":        silentNextLife,
		"the same with an entry":                             silentNextLifeWithEntry,
		"none of two lives answers":                          noLifeAnswers,
		"it may hold less":                                   nextLifeHoldsLess,
		"it may hold less and take an order at once":         nextLifeTakesNoOrder,
		"it is not drained or suspended":                     nextLifeIsNotSuspended,
		"tokens rise from life to life":                      tokensRise,
		"tickets are of one life":                            ticketsAreOfOneLife,
		"a crash under a task is counted":                    crashIsCounted,
		"leases of the former owner there":                   leasesOnNextLife,
		"tasks that one worker holds at most":                spreadOverLives,
		"its entry goes":                                     entryOfNextLifeGoes,
		"an owner that takes over while it starts":           takeoverMeetsNextLife,
		"an owner that takes over without its entry":         takeoverWithoutEntry,
		"an owner that reads of starts on the former life":   takeoverReadsAttempts,
		"an owner that has told a machine to leave":          closedByName,
	} {
		t.Run(name, test)
	}
}

// life is one life of a worker, as it answers.
type life struct {
	id     WorkerID
	number int
	born   int64
	// behind is how far its clock is behind that of the fixture, in ms.
	behind int64
}

func newLife(n int, born, behind int64) life {
	return life{id: lifeID(n, born), number: n, born: born, behind: behind}
}

// lifeID names a life of worker n.
func lifeID(n int, born int64) WorkerID {
	return NewWorkerID(string(workerID(n)), born)
}

func (l life) info() WorkerInfo {
	return WorkerInfo{
		ID: l.id, Pool: "pool", Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", l.number+1)), Rack: "r1-1",
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}
}

// The first life of worker n was born before everything, and the second some 100 s after it.
const (
	firstBorn  = 1_700_000_000_000
	secondBorn = firstBorn + 100_000
	thirdBorn  = secondBorn + 700
)

func firstLife(n int) life  { return newLife(n, firstBorn, 0) }
func secondLife(n int) life { return newLife(n, secondBorn, 49_000) }
func thirdLife(n int) life  { return newLife(n, thirdBorn, 49_700) }

// lists has the entry of a life stand in the store, and the roster written.
func (f *fixture) lists(l life) {
	f.pool.PutWorker(l.info(), true, f.now)
	f.pool.Rostered([]WorkerID{l.id})
}

// entryGoes has the entry of a worker go.
func (f *fixture) entryGoes(l life) {
	f.pool.EntryGone(l.id.Name(), false, f.now)
}

// hold is the next hold that is sent to a life.
func (f *fixture) hold(to life, raise bool) Hold {
	h, ok := f.pool.HoldFor(to.id, raise, true, f.now)
	f.Expect(ok).To(BeTrue(), "there is a hold for %s", to.id)
	f.pass(time.Millisecond)
	return h
}

// answers has a life answer a hold, whichever life that was sent to.
func (f *fixture) answers(h Hold, by life, r Report) {
	r.Born = by.born
	f.pool.HoldAnswered(h, Answer{Verdict: VerdictDone, Clock: f.workerClock - by.behind}, r, f.now)
}

// reports has a life answer a hold that was sent to it.
func (f *fixture) reports(l life, r Report) {
	f.answers(f.hold(l, false), l, r)
}

// begins has the entry of a life be read, and its first lists.
func (f *fixture) begins(l life, r Report) {
	f.lists(l)
	f.reports(l, r)
	f.pass(time.Millisecond)
}

func (f *fixture) acceptBy(s Start, by life) {
	f.pool.StartAnswered(s, Answer{Verdict: VerdictDone, Clock: f.workerClock - by.behind}, nil, f.now)
}

func (f *fixture) noAnswer(s Start) {
	f.pool.StartAnswered(s, Answer{}, fmt.Errorf("no answer"), f.now)
}

func activeRow(s Start) Active {
	return Active{Task: s.Task, Run: s.Run, Percent: 10}
}

func listed(starts ...Start) Report {
	var r Report
	for _, s := range starts {
		r.Active = append(r.Active, activeRow(s))
	}
	return r
}

// newLives is a fixture with workers in their first lives, which answer.
func newLives(t *testing.T, workers int, change func(*Config)) *fixture {
	f := newFixture(t, 0, change)
	for n := range workers {
		f.begins(firstLife(n), Report{})
	}
	return f
}

// onlyStart is the one start of the next plan.
func (f *fixture) onlyStart() Start {
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// survives has a life list runs until their starts are known not to be what ends it.
func (f *fixture) survives(l life, starts ...Start) {
	f.reports(l, listed(starts...))
	f.pass(provenAfter + 50*time.Millisecond)
	f.reports(l, listed(starts...))
}

// startsAgain is what is started within a second in which a life goes on to list the same. What may have crashed a worker is stored
// before it is started.
func (f *fixture) startsAgain(by life, r Report) []Start {
	var starts []Start
	for range 10 {
		f.pass(100 * time.Millisecond)
		f.reports(by, r)
		starts = append(starts, f.plan().Starts...)
		f.pool.Committed(f.pool.TakeCommit())
	}
	return starts
}

// onlyStartAgain is the one start of startsAgain.
func (f *fixture) onlyStartAgain(by life, r Report) Start {
	starts := f.startsAgain(by, r)
	f.Expect(starts).To(HaveLen(1))
	return starts[0]
}

// doneOnFirst has a task done on the first life of worker 0, as end 7, which is noted.
func (f *fixture) doneOnFirst(id string) {
	f.add(testJob(id, testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.reports(firstLife(0), f.end(s, 7, EndDone))
	f.pool.Committed(f.pool.TakeCommit())
}

func endsOfNextLifeCount(t *testing.T) {
	f := newLives(t, 1, nil)
	f.doneOnFirst("a")
	f.pass(time.Second)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("b", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.Expect(f.hold(secondLife(0), false).LastSeen).To(BeZero())
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["b"].outcome).To(Equal(job.Completed))
	f.pool.Committed(f.pool.TakeCommit())
	f.Expect(f.hold(secondLife(0), false).LastSeen).To(Equal(int64(1)))
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
	f.Expect(f.plan().Starts).To(HaveLen(4), "nothing of the former life runs")
	h := f.hold(secondLife(0), false)
	f.Expect(h.Deadline).To(BeNumerically("~", f.workerClock-secondLife(0).behind+5000, 50), "by its own clock")
}

func gangGoesAgain(t *testing.T) {
	f := newLives(t, 2, nil)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	var first, other []Start
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
		broken.Finished = append(broken.Finished, Finished{Number: int64(n + 1), Task: s.Task, Run: s.Run, How: EndBroken})
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

// A hold may reach the next life, to which the numbers of the former one mean nothing. So what was noted is told
// only to a worker that was heard of just before: one that starts again can't have run and ended a task since.
func noEndIsNotedUnseen(t *testing.T) {
	f := newLives(t, 1, nil)
	f.doneOnFirst("a")
	f.Expect(f.hold(firstLife(0), false).LastSeen).To(Equal(int64(7)), "heard of just now")
	f.add(testJob("b", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0)) // it started again, and took the order
	f.pass(700 * time.Millisecond)
	h := f.hold(firstLife(0), false)
	f.Expect(h.LastSeen).To(BeZero(), "the next life would forget an end that nobody has read")
	f.answers(h, secondLife(0), f.end(s, 1, EndDone))
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["b"].outcome).To(Equal(job.Completed))
}

// Seed 386 of the histories behind relays: a hold for the former life, sent when the entry of the next one was known, was carried out on
// that one seconds later, with its numbers of ends.
func holdForDoubtedLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.doneOnFirst("a")
	f.lists(secondLife(0))
	f.pass(time.Millisecond)
	h := f.hold(firstLife(0), false)
	f.Expect(h.LastSeen).To(BeZero())
	f.Expect(h.Deadline).To(BeZero())
	f.answers(h, firstLife(0), Report{}) // it is there after all
	f.pass(time.Millisecond)
	f.Expect(f.hold(firstLife(0), false).LastSeen).To(Equal(int64(7)))
}

// unanswered is a start that got no answer from the first life of worker 0, which has ended since, with another worker to go to.
func unanswered(t *testing.T) (*fixture, Start) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.begins(firstLife(1), Report{})
	f.noAnswer(s)
	f.pass(500 * time.Millisecond)
	return f, s
}

func unansweredStartRunsOnNextLife(t *testing.T) {
	f, s := unanswered(t)
	f.lists(secondLife(0))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.reports(secondLife(0), listed(s))
	f.reports(firstLife(1), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the next life has taken the order")
	f.Expect(actions.Stops).To(BeEmpty())
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

func unansweredStartIsVoidOnNextLife(t *testing.T) {
	f, s := unanswered(t)
	h := f.hold(firstLife(0), false) // with the token of the start: that may still be on its way
	f.answers(h, secondLife(0), Report{})
	f.reports(firstLife(1), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "the next life has not seen a higher token")
	f.lists(secondLife(0))
	h = f.hold(secondLife(0), false)
	f.Expect(h.Token).To(BeNumerically(">", s.Token))
	f.answers(h, secondLife(0), Report{})
	again := f.onlyStartAgain(secondLife(0), Report{})
	f.Expect(again.Run).To(BeNumerically(">", s.Run))
}

// An answer to a start does not say whose it is.
func answeredStartRunsOnNextLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.begins(firstLife(1), Report{})
	f.acceptBy(s, secondLife(0))
	f.answers(f.hold(firstLife(0), false), secondLife(0), listed(s))
	f.lists(secondLife(0))
	f.reports(firstLife(1), Report{})
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.reports(secondLife(0), listed(s))
	f.reports(firstLife(1), Report{})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(BeEmpty())
	f.reports(secondLife(0), f.end(s, 1, EndDone))
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

func cancelledStartOnNextLifeIsStopped(t *testing.T) {
	f, s := unanswered(t)
	f.lists(secondLife(0))
	f.pool.Cancel("a")
	f.reports(secondLife(0), listed(s))
	f.reports(secondLife(0), listed(s))
	stops := f.plan().Stops
	f.Expect(stops).NotTo(BeEmpty())
	f.Expect(stops[0].Worker).To(Equal(secondLife(0).id))
}

func stopOnNextLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.pool.Cancel("a")
	f.Expect(f.plan().Stops).To(HaveLen(1))
	f.answers(f.hold(firstLife(0), false), secondLife(0), listed(s))
	f.lists(secondLife(0))
	f.reports(secondLife(0), listed(s))
	stops := f.plan().Stops
	f.Expect(stops).To(HaveLen(1))
	f.Expect(stops[0].Worker).To(Equal(secondLife(0).id))
}

func gangOnNextLifeGoesOn(t *testing.T) {
	f := newLives(t, 2, nil)
	gang := testStep(8)
	gang.Gang = true
	f.add(testJob("a", gang))
	of := map[int][]Start{}
	for _, s := range f.plan().Starts {
		of[numberOf(s.Worker)] = append(of[numberOf(s.Worker)], s)
	}
	for _, s := range of[0] {
		f.acceptBy(s, secondLife(0))
	}
	for _, s := range of[1] {
		f.acceptBy(s, firstLife(1))
	}
	f.reports(firstLife(1), listed(of[1]...))
	f.lists(secondLife(0))
	f.reports(secondLife(0), listed(of[0]...))
	f.reports(secondLife(0), listed(of[0]...))
	actions := f.plan()
	f.Expect(actions.Stops).To(BeEmpty())
	f.Expect(actions.Starts).To(BeEmpty())
	for n, l := range []life{secondLife(0), firstLife(1)} {
		var done Report
		for i, s := range of[n] {
			done.Finished = append(done.Finished, Finished{Number: int64(i + 1), Task: s.Task, Run: s.Run, How: EndDone})
		}
		f.reports(l, done)
	}
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
}

// While the store is away, the next life is known by its lists only. It may hold less than the former one.
func listBeforeEntry(t *testing.T) {
	f := newLives(t, 1, nil)
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, firstLife(0))
	f.survives(firstLife(0), s)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	meets := f.plan().Meets
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
	f.answers(late, firstLife(0), f.end(s, 9, EndLapsed))
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

func nextLifeHoldsLess(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(4)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "what the former life held is no sign of what this one does")
	small := secondLife(0).info()
	small.Capacity = cell.Resources{CPUMillis: 2000, MemoryMB: 8000}
	f.pool.PutWorker(small, true, f.now)
	f.pool.Rostered([]WorkerID{small.ID})
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(2))
}

// Seed 997 of the histories: a worker that had not answered for a second was given two tasks. The next life, which was there by then, held one.
func nextLifeTakesNoOrder(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pass(200 * time.Millisecond)
	f.pool.HoldFailed(firstLife(0).id, f.now)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "it may have ended")
	f.reports(firstLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func nextLifeIsNotSuspended(t *testing.T) {
	f := newLives(t, 1, nil)
	leaving := firstLife(0).info()
	leaving.Draining, leaving.Remaining = true, time.Second
	f.pool.PutWorker(leaving, true, f.now)
	f.pool.suspend(f.pool.workers[firstLife(0).id], time.Minute, "failures", f.now)
	f.pass(700 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.acceptBy(s, secondLife(0))
	f.reports(secondLife(0), listed(s))
	f.pool.Inspect(f.now)
	f.Expect(f.plan().Stops).To(BeEmpty(), "it does not leave")
}

// The next life has seen no token, so an order of a former owner counts there until it has seen a higher one.
func tokensRise(t *testing.T) {
	f := newLives(t, 1, nil)
	raised := f.hold(firstLife(0), true)
	f.answers(raised, firstLife(0), Report{})
	f.pass(500 * time.Millisecond)
	f.lists(secondLife(0))
	next := f.hold(secondLife(0), false)
	f.Expect(next.Token).To(BeNumerically(">", raised.Token))
	// A hold for the former life reaches the next one, with a higher token; that is no other owner's.
	_, _ = f.pool.HoldFor(firstLife(0).id, true, true, f.now)
	f.pool.HoldAnswered(next, Answer{Verdict: VerdictFenced, Clock: f.workerClock - secondLife(0).behind}, Report{}, f.now)
	f.Expect(f.pool.Fenced()).To(BeFalse())
	f.reports(secondLife(0), Report{})
	f.Expect(f.pool.Fenced()).To(BeFalse())
}

func ticketsAreOfOneLife(t *testing.T) {
	f := newLives(t, 1, nil)
	f.pool.PutAdviser("host")
	f.add(advisedJob("a", testStep(5)))
	asks := f.plan().Asks
	f.Expect(asks).To(HaveLen(1))
	f.pool.AdviceAnswered(asks[0].Number, []Ticket{{asks[0].Workers[0], "t1"}}, true, f.now)
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
	f.Expect(actions.Starts).To(BeEmpty(), "the ticket was for the former life")
	f.Expect(actions.Asks).To(HaveLen(1))
	f.Expect(actions.Asks[0].Workers).To(Equal([]WorkerID{secondLife(0).id}))
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
	f.Expect(j.times[0].steps[0].tasks[0].crashes).To(HaveLen(1))
	f.Expect(f.plan().Starts).To(BeEmpty(), "it is stored first")
	stored := f.pool.TakeCommit()
	f.pool.Committed(stored)
	f.reports(secondLife(0), Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// A deadline by the clock of the former life may be far ahead on the next one's, which cuts it to the longest lease that it gives.
func leasesOnNextLife(t *testing.T) {
	f := newLives(t, 1, func(c *Config) { c.Hold, c.MaxHold = 3*time.Second, 3*time.Second })
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.begins(firstLife(1), Report{})
	f.noAnswer(s)
	f.pass(500 * time.Millisecond)
	f.lists(secondLife(0))
	f.reports(secondLife(0), listed(s)) // and is silent from now on
	for range 10 {
		f.pass(500 * time.Millisecond)
		f.reports(firstLife(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the run may have a lease of 6 s")
	}
	f.pass(1500 * time.Millisecond)
	f.onlyStartAgain(firstLife(1), Report{})
}

// The next life has answered once, in place of the former one, and may have taken a start by then.
func silentNextLife(t *testing.T) {
	silentAtOnce(t, func(*fixture) {})
}

func silentNextLifeWithEntry(t *testing.T) {
	silentAtOnce(t, func(f *fixture) { f.lists(secondLife(0)) })
}

func silentAtOnce(t *testing.T, then func(*fixture)) {
	f := newLives(t, 1, func(c *Config) { c.Hold, c.MaxHold = 3*time.Second, 3*time.Second })
	f.add(testJob("a", testStep(1)))
	s := f.onlyStart()
	f.begins(firstLife(1), Report{})
	f.noAnswer(s)
	f.pass(500 * time.Millisecond)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	then(f)
	for range 11 {
		f.pass(500 * time.Millisecond)
		f.reports(firstLife(1), Report{})
		f.Expect(f.plan().Starts).To(BeEmpty(), "the run may have a lease of 6 s")
		f.pool.Committed(f.pool.TakeCommit())
	}
	f.pass(time.Second)
	f.onlyStartAgain(firstLife(1), Report{})
}

// Both have gone for good.
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
	f.Expect(f.pool.Workers()).To(HaveLen(1), "they are not asked for ever")
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
	f.Expect(f.plan().Starts).To(BeEmpty(), "one task there at most")
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

// The roster names the former life and the store the next one.
func takeoverMeetsNextLife(t *testing.T) {
	f := newFixture(t, 0, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.pool.PutWorker(firstLife(0).info(), false, f.now)
	f.lists(secondLife(0))
	id := job.TaskID{StepID: job.StepID{Job: "a"}}
	f.reports(secondLife(0), Report{Active: []Active{{Task: id, Run: 4, Percent: 50}}}) // of an order of the former owner
	f.reports(secondLife(0), Report{Active: []Active{{Task: id, Run: 4, Percent: 50}}})
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(BeEmpty())
	f.reports(secondLife(0), Report{Finished: []Finished{{Number: 1, Task: id, Run: 4, How: EndDone}}})
	f.Expect(f.pool.jobs["a"].outcome).To(Equal(job.Completed))
	f.Expect(f.pool.takeover.pending).To(BeFalse(), "the former life has ended")
}

func takeoverWithoutEntry(t *testing.T) {
	f := newFixture(t, 0, afterFormerOwner)
	f.add(testJob("a", testStep(1)))
	f.pool.PutWorker(firstLife(0).info(), false, f.now)
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.plan()
	f.Expect(f.pool.takeover.pending).To(BeFalse(), "the former life has ended, and the next one has told what it runs")
	var names []WorkerID
	for _, w := range f.pool.Workers() {
		names = append(names, w.ID)
	}
	f.Expect(names).To(Equal([]WorkerID{secondLife(0).id}))
}

// A former owner has stored a start, and the worker has crashed under it and is back under its id.
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
	f.Expect(f.pool.jobs["a"].times[0].steps[0].tasks[0].crashes).To(HaveLen(2))
}

func closedByName(t *testing.T) {
	f := newLives(t, 1, nil)
	f.closeMachineOf(0)
	f.pass(500 * time.Millisecond)
	f.begins(secondLife(0), Report{})
	f.reports(secondLife(0), Report{})
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "its machine is to go into upkeep")
}

// closeMachineOf has the machine of a worker be emptied.
func (f *fixture) closeMachineOf(n int) {
	f.pool.Close(map[string]bool{workerID(n).Name(): true})
}
