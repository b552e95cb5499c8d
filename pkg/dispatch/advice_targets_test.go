package dispatch

import (
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// newFullPool returns a pool whose workers have no room for the given time, and a step that waits for advice.
// A call for advice takes a fixed time, base, and perWorker for each worker in it.
func newFullPool(t *testing.T, workers int, full time.Duration, base, perWorker time.Duration) *fixture {
	f := newFixture(t, workers, nil)
	f.reportAll(workers)
	s := testStep(4 * workers)
	s.Estimate = full
	f.add(testJob("full", s))
	for _, o := range f.plan().Starts {
		f.accept(o)
	}
	f.pool.AddAdviser("host")
	r := advisedJob("a", testStep(2))
	r.Queue.Advice = &queue.AdviceCost{Base: base, PerWorker: perWorker, Validity: 2 * time.Second}
	f.add(r)
	return f
}

// Guards against a step that asks only about workers with room at the moment, one in each call, although the
// fixed time of a call is long: such a step started after 18 calls and 49 s.
func TestFullWorkersAreTargetsWhenFixedCallTimeIsLong(t *testing.T) {
	f := newFullPool(t, 10, time.Minute, 500*time.Millisecond, 10*time.Millisecond)
	calls := f.plan().AdviceCalls
	f.Expect(calls).To(HaveLen(1))
	f.Expect(len(calls[0].Workers)).To(BeNumerically(">=", 4), "enough for a step that needs half a worker")
}

func TestFullWorkersAreNotTargetsWhenTimePerWorkerIsLong(t *testing.T) {
	f := newFullPool(t, 10, time.Minute, 10*time.Millisecond, 20*time.Millisecond)
	f.Expect(f.plan().AdviceCalls).To(BeEmpty())
}

func TestFullWorkersAreNotTargetsWhenEnoughWorkersAreAllowed(t *testing.T) {
	f := newFullPool(t, 10, time.Minute, 500*time.Millisecond, 10*time.Millisecond)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	s.advice.allowed = map[WorkerID]bool{"w0": true, "w1": true, "w2": true, "w3": true}
	f.Expect(f.plan().AdviceCalls).To(BeEmpty())
}

func TestTicketIsRequestedWhenRoomIsExpectedByTheAnswer(t *testing.T) {
	f := newFullPool(t, 1, 2*time.Second, 500*time.Millisecond, 10*time.Millisecond)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	s.advice.allowed = map[WorkerID]bool{"w0": true}
	f.Expect(f.plan().AdviceCalls).To(BeEmpty(), "the room is expected in 2 s")
	f.advance(1600 * time.Millisecond)
	f.report(0, Report{Active: activeRunsOfWorker0(f)})
	f.Expect(f.plan().AdviceCalls).To(HaveLen(1))
}

func TestTimeLeftOfARunIsEstimatedFromItsProgress(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	o := f.plan().Starts[0]
	f.accept(o)
	r := f.pool.task(o.Task).current
	f.Expect(r.timeLeft(f.now)).To(Equal(time.Second), "the estimate")
	for percent := 0; percent <= 25; percent += 25 {
		f.report(0, Report{Active: []ActiveRun{{Task: o.Task, Run: o.Run, Percent: percent}}})
		f.advance(time.Second)
	}
	f.Expect(r.timeLeft(f.now)).To(BeNumerically("~", 2*time.Second, 20*time.Millisecond), "a quarter took 1 s, and 1 s has passed since")
	f.Expect(f.pool.workers["w0"].timeUntilRoom(&step{spec: &job.Step{Count: 1, Resources: testStep(1).Resources}}, f.now)).To(BeZero())
}

// Guards against a wide gang that never starts: gangs of 29 to 35 members counted room that was only
// expected, requested tickets on a few more workers with each call, and never had tickets and room on all of
// them at once.
func TestWideGangRequestsNoAdviceForExpectedRoom(t *testing.T) {
	f := newFullPool(t, 4, 2*time.Second, 500*time.Millisecond, 10*time.Millisecond)
	s := f.pool.jobs["a"].occurrences[0].steps[0]
	f.pool.finishJob(s.occurrence.job, job.Cancelled)
	r := advisedJob("wide", testStep(12))
	r.Job.Steps[0].Gang = true
	r.Queue.Advice = &queue.AdviceCost{Base: 500 * time.Millisecond, PerWorker: 10 * time.Millisecond, Validity: 2 * time.Second}
	f.add(r)
	wide := f.pool.jobs["wide"].occurrences[0].steps[0]
	wide.advice.allowed = map[WorkerID]bool{"w0": true, "w1": true, "w2": true, "w3": true}
	f.advance(1600 * time.Millisecond)
	for n := range 4 {
		f.pool.workers[workerID(n)].lastAnsweredAt = f.now
	}
	f.Expect(f.plan().AdviceCalls).To(BeEmpty(), "the room is expected in 0.4 s and not there yet")
}

func TestSortByRoomPutsMostRoomFirst(t *testing.T) {
	workers := make([]*worker, 7)
	for i := range workers {
		workers[i] = &worker{info: WorkerInfo{ID: workerID(i)}}
	}
	var in []workerRoom
	for i, room := range []int{1, 3, 0, 3, 2, 1, 3} {
		in = append(in, workerRoom{workers[i], room})
	}
	want := slices.Clone(in)
	slices.SortStableFunc(want, func(a, b workerRoom) int { return b.room - a.room })
	g := NewWithT(t)
	g.Expect(sortByRoom(in)).To(Equal(want))
	g.Expect(sortByRoom(nil)).To(BeEmpty())
}

// Guards against a step that waits for the room of a run which should have ended long ago, while other
// workers have room.
func TestStepDoesNotWaitForRoomOfAnOverdueRun(t *testing.T) {
	f := newFullPool(t, 1, time.Second, 10*time.Millisecond, 100*time.Microsecond)
	f.pool.jobs["a"].occurrences[0].steps[0].tasks[0].setDone()
	var runs []ActiveRun
	for _, r := range f.pool.workers["w0"].runs {
		runs = append(runs, ActiveRun{Task: r.task.id(), Run: r.number, Percent: almostDonePercent})
	}
	f.advance(1500 * time.Millisecond)
	f.report(0, Report{Active: runs})
	f.planAndAnswerAdvice("w0")
	f.addWorker(1)
	for range 30 {
		f.advance(100 * time.Millisecond)
		f.report(0, Report{Active: runs})
		f.report(1, Report{})
		f.planAndAnswerAdvice("w0", "w1")
	}
	f.Expect(f.pool.workers["w1"].runs).To(HaveLen(1))
}

// planAndAnswerAdvice plans once, accepts the starts and answers the calls for advice with tickets for the
// allowed workers.
func (f *fixture) planAndAnswerAdvice(allowed ...WorkerID) {
	actions := f.plan()
	for _, s := range actions.Starts {
		f.accept(s)
	}
	for _, a := range actions.AdviceCalls {
		var tickets []Ticket
		for _, w := range a.Workers {
			if slices.Contains(allowed, w) {
				tickets = append(tickets, Ticket{w, "t"})
			}
		}
		f.advance(10 * time.Millisecond)
		f.pool.HandleAdviceAnswer(a.Number, tickets, true, f.now)
	}
}
