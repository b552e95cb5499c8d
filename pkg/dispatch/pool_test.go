package dispatch

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/worth"
	. "github.com/onsi/gomega"
)

// fixture is a pool with a few workers that answer as the test says.
type fixture struct {
	*WithT
	pool *Pool
	now  clock.Time
	wall time.Time
	// workerClock is the clock of all workers, in milliseconds; it advances with now.
	workerClock int64
	events      []Event
	// storeUnreachable says that the store can't be reached, so ownership is not confirmed.
	storeUnreachable bool
}

const (
	ownerToken     = 1000 << 20
	nextOwnerToken = 2000 << 20
)

var testQueue = queue.Queue{Name: "ticks", Pool: "pool", MaxAttempts: 3, Extension: 2, TargetLatency: time.Second}

func newFixture(t *testing.T, workers int, change func(*Config)) *fixture {
	f := &fixture{WithT: NewWithT(t), now: 100_000, wall: time.Unix(1_700_000_000, 0), workerClock: 50_000}
	cfg := Config{
		LeaseDuration: 5 * time.Second, MaxLeaseDuration: 6 * time.Second, WorkerMaxLease: 6 * time.Second, Token: ownerToken, AuthorityTerm: 2 * time.Second,
		WallClock: func() time.Time { return f.wall }, Log: func(e Event) { f.events = append(f.events, e) },
	}
	if change != nil {
		change(&cfg)
	}
	f.pool = New(cfg, f.now)
	f.pool.MarkJobsLoaded()
	f.pool.SetConfig(queue.NewConfig(1, []queue.Queue{testQueue}, nil))
	for n := range workers {
		f.addWorker(n)
	}
	return f
}

func workerID(n int) WorkerID {
	return WorkerID(fmt.Sprintf("w%d", n))
}

func (f *fixture) addWorker(n int) {
	f.pool.UpsertWorker(WorkerInfo{
		ID: workerID(n), Pool: "pool", Address: netip.MustParseAddrPort("10.0.0.1:80"), Rack: fmt.Sprintf("r1-%d", n/2),
		Capacity: cell.Resources{CPUMillis: 4000, MemoryMB: 8000},
	}, true, f.now)
	f.pool.MarkInRoster([]WorkerID{workerID(n)})
}

// advance lets time pass for all clocks.
func (f *fixture) advance(d time.Duration) {
	f.now = f.now.Add(d)
	f.wall = f.wall.Add(d)
	f.workerClock += d.Milliseconds()
}

// report has a worker answer a poll with a report.
func (f *fixture) report(n int, r Report) Answer {
	poll, ok := f.pool.NewPoll(workerID(n), false, true, f.now)
	f.Expect(ok).To(BeTrue())
	f.advance(time.Millisecond)
	a := Answer{Verdict: VerdictDone, Clock: f.workerClock}
	f.pool.HandlePollAnswer(poll, a, r, f.now)
	return a
}

// reportAll has all workers report that nothing runs there.
func (f *fixture) reportAll(workers int) {
	for n := range workers {
		f.report(n, Report{})
	}
}

func (f *fixture) plan() Actions {
	f.advance(time.Millisecond)
	if !f.storeUnreachable {
		f.pool.RecordOwnershipConfirmed(f.now)
	}
	return f.pool.Plan(f.now, true)
}

// accept answers a start as carried out.
func (f *fixture) accept(s StartOrder) {
	f.pool.HandleStartAnswer(s, Answer{Verdict: VerdictDone, Clock: f.workerClock}, nil, f.now)
}

func (f *fixture) endReport(s StartOrder, number int64, reason EndReason) Report {
	return Report{Finished: []FinishedRun{{Number: number, Task: s.Task, Run: s.Run, Reason: reason}}}
}

func testJob(id string, steps ...job.Step) job.Record {
	return job.Record{Job: job.Job{ID: job.ID(id), Spec: "spec", Steps: steps}, Queue: testQueue}
}

func testStep(count int) job.Step {
	return job.Step{Count: count, Resources: cell.Resources{CPUMillis: 1000, MemoryMB: 1000}, Estimate: time.Second}
}

func (f *fixture) add(r job.Record) {
	f.pool.AddJob(r, job.Progress{}, false, 0, f.now)
}

func workerNumber(id WorkerID) int {
	var n int
	_, _ = fmt.Sscanf(string(id), "w%d", &n)
	return n
}

func TestJobOfTwoStepsCompletes(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	second := testStep(1)
	second.After = []int{0}
	f.add(testJob("a", testStep(2), second))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	f.Expect(f.pool.PendingJobs("ticks")).To(Equal(1))
	for _, s := range starts {
		f.Expect(s.Task.Step).To(Equal(0))
		f.accept(s)
	}
	f.Expect(f.pool.PendingJobs("ticks")).To(Equal(0))
	f.report(workerNumber(starts[0].Worker), f.endReport(starts[0], 1, EndDone))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the first step is not done")
	f.report(workerNumber(starts[1].Worker), f.endReport(starts[1], 2, EndDone))
	last := f.plan().Starts
	f.Expect(last).To(HaveLen(1))
	f.accept(last[0])
	f.report(workerNumber(last[0].Worker), f.endReport(last[0], 3, EndDone))
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Running), "the end is not committed")
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	state, _, _ = f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Completed))
}

func TestEndsAreAcknowledgedOnlyWhenCommitted(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.accept(s)
	f.report(0, f.endReport(s, 7, EndDone))
	poll, _ := f.pool.NewPoll("w0", false, true, f.now)
	f.Expect(poll.AckedEnd).To(BeZero())
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	poll, _ = f.pool.NewPoll("w0", false, true, f.now)
	f.Expect(poll.AckedEnd).To(Equal(int64(7)))
}

func TestCapacityIsNeverExceeded(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(9)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4), "a worker has 4 cores")
	for _, s := range starts {
		f.accept(s)
	}
	f.pool.Cancel("a")
	f.add(testJob("b", testStep(1)))
	f.Expect(f.plan().Stops).To(HaveLen(4))
	f.Expect(f.plan().Starts).To(BeEmpty(), "runs that are being stopped count")
	f.report(0, f.endReport(starts[0], 1, EndStopped))
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.reportAll(3)
	f.add(testJob("a", testStep(1)))
	for n := range int64(3) {
		starts := f.plan().Starts
		f.Expect(starts).To(HaveLen(1))
		f.accept(starts[0])
		f.report(workerNumber(starts[0].Worker), f.endReport(starts[0], n+1, EndFailed))
	}
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Failed))
}

// A failure counts once, though it is reported again after a takeover.
func TestCommittedFailureIsNotCountedAgain(t *testing.T) {
	f := newFixture(t, 1, afterPreviousOwner)
	id := job.TaskID{StepID: job.StepID{Job: "a"}}
	f.pool.AddJob(testJob("a", testStep(1)), job.Progress{Tasks: []job.TaskProgress{{Failures: []int{1, 2}, LastRun: 2}}}, true, 0, f.now)
	f.report(0, Report{Finished: []FinishedRun{{Number: 1, Task: id, Run: 1, Reason: EndFailed}, {Number: 2, Task: id, Run: 2, Reason: EndFailed}}})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

func TestCancelStopsAStartInFlight(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.pool.Cancel("a")
	f.Expect(f.plan().Stops).To(BeEmpty())
	f.accept(s)
	f.Expect(f.plan().Stops).To(HaveLen(1))
}

func TestOccurrencesBeginWhenDue(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	r := testJob("a", testStep(1))
	r.Job.Schedule = job.Schedule{Repeat: 2, Start: f.wall.Add(time.Second), Interval: time.Second}
	f.add(r)
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.advance(time.Second)
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.accept(starts[0])
	f.advance(time.Second)
	f.report(0, Report{Active: []ActiveRun{{Task: starts[0].Task, Run: 1, Percent: 50}}})
	starts = f.plan().Starts
	f.Expect(starts).To(HaveLen(1), "occurrences may overlap")
	f.Expect(starts[0].Task.Time).To(Equal(1))
}

func TestMaxPerWorkerAndLabelsLimitPlacement(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.reportAll(3)
	s := testStep(3)
	s.MaxPerWorker = 1
	f.add(testJob("a", s))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(3))
	f.Expect(map[WorkerID]bool{starts[0].Worker: true, starts[1].Worker: true, starts[2].Worker: true}).To(HaveLen(3))
	labelled := testStep(1)
	labelled.Requirement = "fast"
	f.add(testJob("b", labelled))
	f.Expect(f.plan().Starts).To(BeEmpty())
}

// Guards against occurrences of a scheduled job that all share the objective of the first, so that later
// ones are ranked behind everything. Seen on a copy of the hanbit-ops workload with scheduled jobs.
func TestEachOccurrenceHasItsOwnObjective(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	r := testJob("a", testStep(1))
	r.Job.Schedule = job.Schedule{Repeat: 2, Start: f.wall, Interval: time.Minute}
	f.add(r)
	j := f.pool.jobs["a"]
	first := j.occurrences[0].objective
	f.advance(time.Minute)
	f.plan()
	f.Expect(j.occurrences[1].objective.Sub(first)).To(BeNumerically("~", time.Minute, 10*time.Millisecond))
	f.Expect(j.occurrences[1].steps[0].valueClass(f.now)).To(Equal(worth.InTime))
}

func TestOutcomesAreKeptForTheRetentionTime(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.pool.AddOutcome("a", job.Record{Outcome: job.Completed}, f.now)
	f.advance(time.Minute)
	f.pool.AddOutcome("b", job.Record{Outcome: job.Failed}, f.now)
	f.Expect(f.pool.ExpiredOutcomes(2*time.Minute, 10, f.now)).To(BeEmpty())
	f.advance(time.Minute)
	expired := f.pool.ExpiredOutcomes(2*time.Minute, 10, f.now)
	f.Expect(expired).To(Equal([]job.ID{"a"}))
	f.pool.ForgetOutcomes(expired)
	_, _, known := f.pool.JobState("a")
	f.Expect(known).To(BeFalse())
	state, _, _ := f.pool.JobState("b")
	f.Expect(state).To(Equal(job.Failed))
}
