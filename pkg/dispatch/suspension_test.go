package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endRuns starts one task of each of n new jobs and reports their ends; the reason depends on the worker.
func (f *fixture) endRuns(name string, n int, lastEnds map[WorkerID]int64, reason func(WorkerID) EndReason) {
	for i := range n {
		f.add(testJob(fmt.Sprintf("%s-%d", name, i), testStep(1)))
	}
	f.advance(60 * time.Millisecond) // a failed task waits for a moment
	for _, s := range f.plan().Starts {
		f.accept(s)
		lastEnds[s.Worker]++
		f.report(workerNumber(s.Worker), f.endReport(s, lastEnds[s.Worker], reason(s.Worker)))
	}
}

// Guards against accepted jobs that stand still since other jobs, which fail wherever they run, have all workers
// taken out.
func TestJobStartsBesideJobsThatFailEverywhere(t *testing.T) {
	const workers = 8
	f := newFixture(t, workers, nil)
	f.reportAll(workers)
	lastEnds := map[WorkerID]int64{}
	for round := range 12 {
		f.endRuns(fmt.Sprintf("fails-%d", round), workers, lastEnds, func(WorkerID) EndReason { return EndFailed })
		f.Expect(f.pool.Status(f.now).Workers).To(BeNumerically(">=", workers*3/4), "round %d", round)
	}
	f.add(testJob("good", testStep(1)))
	var started []string
	for _, s := range f.plan().Starts {
		started = append(started, string(s.Task.Job))
	}
	f.Expect(started).To(ContainElement("good"))
}

// Guards against a job that stands still since the only worker that may run it is distrusted.
func TestJobWaitsOnlyBrieflyForOtherWorkersThanDistrustedOnes(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	lastEnds := map[WorkerID]int64{}
	for round := range 2 {
		f.endRuns(fmt.Sprint(round), 2, lastEnds, func(WorkerID) EndReason { return EndFailed })
	}
	f.pool.Cancel("0-0")
	f.pool.Cancel("0-1")
	f.pool.Cancel("1-0")
	f.pool.Cancel("1-1")
	f.add(testJob("good", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.advance(maxDistrustWait)
	f.report(0, Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// Guards against a worker that fails whatever it is given and goes on to get tasks that others have room for.
func TestWorkerThatFailsAloneGetsNoTasks(t *testing.T) {
	const workers = 8
	f := newFixture(t, workers, nil)
	f.reportAll(workers)
	lastEnds := map[WorkerID]int64{}
	starts := 0
	for round := range 30 {
		f.endRuns(fmt.Sprint(round), 2*workers, lastEnds, func(w WorkerID) EndReason {
			if w == workerID(0) {
				starts++
				return EndFailed
			}
			return EndDone
		})
	}
	f.Expect(starts).To(BeNumerically("<=", 8), "the starts of the first plan, and few after them")
}
