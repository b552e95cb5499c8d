package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/worth"
	. "github.com/onsi/gomega"
)

// serviceStep is a long-running step of a service, with a target for its tail latency.
func serviceStep(count int) job.Step {
	return job.Step{
		Count: count, LongRunning: true, TargetTail: 100 * time.Millisecond, MissAllowed: 1,
		Resources: cell.Resources{CPUMillis: 1000, MemoryMB: 1000},
	}
}

// fillerStep is a step of long-running fillers: tasks that take what processors are left over.
func fillerStep(count int) job.Step {
	return job.Step{
		Count: count, LongRunning: true, Filler: true,
		Resources: cell.Resources{CPUMillis: 4000, MemoryMB: 1000},
	}
}

func TestLongRunningTaskRestartsHoweverItEnds(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", serviceStep(1)))
	for n, reason := range []EndReason{EndFailed, EndFailed, EndFailed, EndFailed, EndDone} {
		starts := f.plan().Starts
		f.Expect(starts).To(HaveLen(1), "after %d ends", n)
		f.accept(starts[0])
		f.advance(5 * time.Second)
		f.report(0, f.endReport(starts[0], int64(n+1), reason))
	}
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Running))
	f.pool.Cancel("a")
	f.Expect(f.plan().Starts).To(BeEmpty())
}

// startServiceAndFiller starts a task of a service and a filler on one worker and returns their orders.
func startServiceAndFiller(f *fixture) (server, filler StartOrder) {
	f.reportAll(1)
	f.add(testJob("a", serviceStep(1)))
	f.add(testJob("b", fillerStep(1)))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2), "the cores of a filler are not counted")
	for _, s := range starts {
		f.accept(s)
		if s.Task.Job == "a" {
			server = s
		} else {
			filler = s
		}
	}
	return server, filler
}

// reportTailLatency reports the tail latency of the service and returns the pace that is ordered for the
// filler, or -1 for none.
func (f *fixture) reportTailLatency(server, filler StartOrder, tail int) int {
	f.advance(250 * time.Millisecond)
	f.report(0, Report{Active: []ActiveRun{
		{Task: server.Task, Run: server.Run, Percent: 100, Load: tail}, {Task: filler.Task, Run: filler.Run, Percent: 10, Load: 500},
	}})
	f.pool.InspectRuns(f.now)
	paces := f.plan().Paces
	if len(paces) == 0 {
		return -1
	}
	f.Expect(paces).To(HaveLen(1))
	f.Expect(paces[0].Task).To(Equal(filler.Task))
	return paces[0].Percent
}

func TestFillerIsSlowedWhileTailLatencyIsHigh(t *testing.T) {
	f := newFixture(t, 1, nil)
	server, filler := startServiceAndFiller(f)
	f.Expect(f.reportTailLatency(server, filler, 95)).To(Equal(30))
	f.Expect(f.reportTailLatency(server, filler, 95)).To(Equal(12))
	f.Expect(f.reportTailLatency(server, filler, 95)).To(Equal(4))
	f.Expect(f.reportTailLatency(server, filler, 95)).To(Equal(1))
	f.Expect(f.reportTailLatency(server, filler, 95)).To(Equal(0))
	f.Expect(f.reportTailLatency(server, filler, 95)).To(Equal(-1), "the filler is paused already")
	var up []int
	for range 20 {
		if pace := f.reportTailLatency(server, filler, 20); pace >= 0 {
			up = append(up, pace)
		}
	}
	f.Expect(up[:2]).To(Equal([]int{15, 30}))
}

// newServiceOnWorkers returns a pool with a service that has one task at work on each worker, and the reports of
// the workers.
func newServiceOnWorkers(t *testing.T, workers int) (*fixture, map[int]Report) {
	f := newFixture(t, workers, nil)
	f.reportAll(workers)
	s := serviceStep(workers)
	s.MaxPerWorker = 1
	f.add(testJob("a", s))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(workers))
	reports := map[int]Report{}
	for _, o := range starts {
		f.accept(o)
		reports[workerNumber(o.Worker)] = Report{Active: []ActiveRun{{Task: o.Task, Run: o.Run, Percent: 100}}}
	}
	f.Expect(reports).To(HaveLen(workers))
	for n := range workers {
		f.report(n, reports[n])
	}
	return f, reports
}

func TestVacatingStopsOneTaskOfAServiceAtATime(t *testing.T) {
	f, _ := newServiceOnWorkers(t, 2)
	f.pool.SetCordoned(map[string]bool{"w0": true, "w1": true})
	f.Expect(f.pool.VacateWorker("w0", false)).To(BeFalse())
	f.Expect(f.pool.VacateWorker("w1", false)).To(BeFalse())
	f.Expect(f.plan().Stops).To(HaveLen(1), "one of its tasks may be missing at a time")
}

// Guards against a second task that is stopped while the one that may be missing is on a worker that has
// crashed: it counted as at work until its lease expired.
func TestVacatingCountsTasksOnSilentWorkersAsMissing(t *testing.T) {
	f, reports := newServiceOnWorkers(t, 3)
	for range 2 { // w2 has crashed
		f.advance(answerTimeout)
		f.report(0, reports[0])
		f.report(1, reports[1])
	}
	f.pool.SetCordoned(map[string]bool{"w0": true})
	f.Expect(f.pool.VacateWorker("w0", true)).To(BeFalse())
	f.Expect(f.plan().Stops).To(BeEmpty(), "the task on w2 is missing")
	f.report(2, reports[2])
	f.Expect(f.pool.VacateWorker("w0", true)).To(BeFalse())
	f.Expect(f.plan().Stops).To(HaveLen(1), "it is at work again")
}

// Guards against a failed task of a service that comes after all other jobs: a long-running job passed
// its objective once, and from then on its failed tasks were ranked behind everything. Seen on a copy of
// the market stalls workload with more schedules.
func TestOldServiceIsRankedBeforeOtherJobs(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", serviceStep(1)))
	f.accept(f.plan().Starts[0])
	f.advance(time.Hour)
	f.add(testJob("b", testStep(8)))
	f.report(0, Report{Finished: []FinishedRun{{Number: 1, Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Run: 1, Reason: EndFailed}}})
	starts := f.plan().Starts
	f.Expect(starts).NotTo(BeEmpty())
	f.Expect(starts[0].Task.Job).To(Equal(job.ID("a")))
}

func TestOverdueServicePreemptsAnyRun(t *testing.T) {
	for name, s := range map[string]job.Step{
		"of its own priority": testStep(4),
		"a gang":              {Count: 4, Gang: true, Estimate: time.Minute, Resources: cell.Resources{CPUMillis: 1000, MemoryMB: 100}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, func(c *Config) { c.StopGrace = 400 * time.Millisecond })
			f.reportAll(1)
			s.Estimate = time.Minute
			f.add(testJob("full", s))
			for _, o := range f.plan().Starts {
				f.accept(o)
			}
			f.add(testJob("a", serviceStep(1)))
			f.Expect(f.plan().Stops).To(BeEmpty())
			f.advance(worth.MaxServiceWait)
			f.report(0, Report{Active: activeRunsOfWorker0(f)})
			f.Expect(f.plan().Stops).NotTo(BeEmpty())
		})
	}
}

func TestBacklogOfAnotherPoolDoesNotAffectGangReservations(t *testing.T) {
	f := newWaitingGang(t)
	other := testQueue
	other.Name, other.Pool = "elsewhere", "other"
	f.add(job.Record{Job: job.Job{ID: "b", Steps: []job.Step{testStep(500)}}, Queue: other})
	f.Expect(f.reservationsFor("a").isReserved("w0", testQueue.Priority)).To(BeTrue())
}

func TestAcceleratorBacklogCounts(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.pool.UpsertWorker(WorkerInfo{ID: "gpu", Pool: "pool", Capacity: cell.Resources{CPUMillis: 64000, MemoryMB: 100000, Accelerators: 8}}, true, f.now)
	f.reportAll(1)
	s := testStep(4)
	s.Resources.Accelerators = 1
	f.add(testJob("a", s))
	f.pool.updateLoads(f.now)
	f.pool.updateBacklogs()
	f.Expect(f.pool.poolLoad("pool").isOverloaded()).To(BeTrue(), "half of the accelerators")
}
