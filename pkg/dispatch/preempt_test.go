package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// lowPriorityQueue is a queue of a lower priority than testQueue.
var lowPriorityQueue = queue.Queue{Name: "fits", Pool: "pool", MaxAttempts: 3, Extension: 2, TargetLatency: time.Second, Priority: 2}

// newFullWorker returns a pool with a worker of four cores that runs four tasks of a lower priority;
// change may alter their step.
func newFullWorker(t *testing.T, change func(*job.Step)) *fixture {
	f := newFixture(t, 1, func(c *Config) { c.StopGrace = 400 * time.Millisecond })
	f.pool.SetConfig(queue.NewConfig(2, []queue.Queue{testQueue, lowPriorityQueue}, nil))
	f.reportAll(1)
	s := job.Step{Count: 4, Resources: cell.Resources{CPUMillis: 1000, MemoryMB: 100}, Estimate: 10 * time.Second}
	if change != nil {
		change(&s)
	}
	f.add(job.Record{Job: job.Job{ID: "low", Steps: []job.Step{s}}, Queue: lowPriorityQueue})
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, o := range starts {
		f.accept(o)
	}
	return f
}

func TestUrgentTaskInTimePreemptsARunOfALowerPriority(t *testing.T) {
	f := newFullWorker(t, nil)
	f.advance(500 * time.Millisecond)
	f.add(testJob("a", testStep(1)))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the worker is full until the stopped run has ended")
	f.Expect(actions.Stops).To(HaveLen(1))
	stop := actions.Stops[0]
	f.Expect(f.plan().Stops).To(BeEmpty(), "one stop is in flight")
	f.report(0, Report{Finished: []FinishedRun{{Number: 1, Task: stop.Task, Run: stop.Run, Reason: EndStopped}}})
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(starts[0].Task.Job).To(Equal(job.ID("a")), "the room is reserved for it")
}

func TestPreemptedTaskResumesFromItsCheckpointWithoutAFailure(t *testing.T) {
	f := newFullWorker(t, func(s *job.Step) { s.Checkpointing = true })
	f.advance(5 * time.Second) // the progress is in a checkpoint, so a stop loses little work
	f.report(0, Report{})
	f.add(testJob("a", testStep(1)))
	stop := f.plan().Stops[0]
	f.report(0, Report{Finished: []FinishedRun{{Number: 1, Task: stop.Task, Run: stop.Run, Reason: EndStopped, Checkpoint: "half"}}})
	urgent := f.plan().Starts[0]
	f.accept(urgent)
	f.report(0, f.endReport(urgent, 2, EndDone))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(1))
	f.Expect(starts[0].Task).To(Equal(stop.Task))
	f.Expect(starts[0].Checkpoint).To(Equal("half"))
	f.Expect(f.pool.task(stop.Task).failures).To(BeEmpty())
}

func TestNothingIsPreemptedWithoutBenefit(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*job.Step)
		pass   time.Duration
		urgent func(*job.Record)
	}{
		"much work would be lost":     {nil, 3 * time.Second, nil},
		"the runs end soon":           {func(s *job.Step) { s.Estimate = time.Second }, 600 * time.Millisecond, nil},
		"gangs would stop as a whole": {func(s *job.Step) { s.Gang = true }, 500 * time.Millisecond, nil},
		"long-running tasks stay":     {func(s *job.Step) { s.LongRunning = true }, 500 * time.Millisecond, nil},
		"the job is not urgent":       {nil, 500 * time.Millisecond, func(r *job.Record) { r.Queue = lowPriorityQueue }},
		"the job would be late all the same": {nil, 500 * time.Millisecond, func(r *job.Record) {
			r.Job.Steps[0].Estimate, r.Queue.TargetLatency, r.Queue.Extension = time.Second, 0, 1
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFullWorker(t, c.change)
			f.advance(c.pass)
			f.report(0, Report{Active: activeRunsOfWorker0(f)})
			r := testJob("a", testStep(1))
			if c.urgent != nil {
				c.urgent(&r)
				f.pool.SetConfig(queue.NewConfig(3, []queue.Queue{r.Queue, lowPriorityQueue}, nil))
			}
			f.add(r)
			f.Expect(f.plan().Stops).To(BeEmpty())
		})
	}
}

// activeRunsOfWorker0 lists all runs of worker w0 as active.
func activeRunsOfWorker0(f *fixture) []ActiveRun {
	var rows []ActiveRun
	for _, r := range sortedRuns(f.pool.workers["w0"]) {
		rows = append(rows, ActiveRun{Task: r.task.id(), Run: r.number, Percent: 10})
	}
	return rows
}

// newGPUPool returns a pool with workers of 64 cores and 8 accelerators, and queues of two priorities.
func newGPUPool(t *testing.T, workers int) (f *fixture, first, second queue.Queue) {
	f = newFixture(t, 0, func(c *Config) { c.StopGrace, c.RestoreTime = 400*time.Millisecond, 600*time.Millisecond })
	first, second = testQueue, testQueue
	first.Name, first.Priority, first.TargetLatency = "checks", 1, 10*time.Second
	second.Name, second.Priority, second.TargetLatency = "reviews", 2, time.Minute
	f.pool.SetConfig(queue.NewConfig(2, []queue.Queue{first, second}, nil))
	for n := range workers {
		f.pool.UpsertWorker(WorkerInfo{ID: workerID(n), Pool: "pool", Capacity: cell.Resources{CPUMillis: 64000, MemoryMB: 128000, Accelerators: 8}}, true, f.now)
		f.pool.MarkInRoster([]WorkerID{workerID(n)})
	}
	f.reportAll(workers)
	return f, first, second
}

func gpuStep(count int, accelerators int64) job.Step {
	return job.Step{
		Count: count, Estimate: 4 * time.Second, Checkpointing: true,
		Resources: cell.Resources{CPUMillis: 5000, MemoryMB: 1000, Accelerators: accelerators},
	}
}

// acceptAll makes a plan and answers all its starts as carried out.
func (f *fixture) acceptAll() []StartOrder {
	starts := f.plan().Starts
	for _, o := range starts {
		f.accept(o)
	}
	return starts
}

// Guards against a gang that waits long for whole workers while small tasks of a lower priority take
// each accelerator that becomes free (22 s on the market stalls workload).
func TestGangPreemptsRunsForAllItsMembers(t *testing.T) {
	f, first, second := newGPUPool(t, 3)
	f.add(job.Record{Job: job.Job{ID: "small", Steps: []job.Step{gpuStep(20, 1)}}, Queue: second})
	f.Expect(f.acceptAll()).To(HaveLen(20))
	s := gpuStep(2, 8)
	s.Gang = true
	f.add(job.Record{Job: job.Job{ID: "wide", Steps: []job.Step{s}}, Queue: first})
	f.Expect(f.plan().Stops).To(HaveLen(12), "the worker with four runs and one with eight")
}

func TestGangPreemptsNothingWithoutRoomForAllMembers(t *testing.T) {
	f, first, second := newGPUPool(t, 1)
	f.add(job.Record{Job: job.Job{ID: "small", Steps: []job.Step{gpuStep(8, 1)}}, Queue: second})
	f.acceptAll()
	s := gpuStep(2, 8)
	s.Gang = true
	f.add(job.Record{Job: job.Job{ID: "wide", Steps: []job.Step{s}}, Queue: first})
	f.Expect(f.plan().Stops).To(BeEmpty())
}

func TestRunIsNotPreemptedWhoseJobWouldBeLate(t *testing.T) {
	f, first, second := newGPUPool(t, 1)
	second.TargetLatency, second.Extension = 3*time.Second, 1
	f.pool.SetConfig(queue.NewConfig(3, []queue.Queue{first, second}, nil))
	f.add(job.Record{Job: job.Job{ID: "small", Steps: []job.Step{gpuStep(8, 1)}}, Queue: second})
	f.acceptAll()
	f.add(job.Record{Job: job.Job{ID: "wide", Steps: []job.Step{gpuStep(1, 8)}}, Queue: first})
	f.Expect(f.plan().Stops).To(BeEmpty(), "four seconds of work, three seconds of slack")
}

func TestSmallTasksFillPartlyUsedWorkers(t *testing.T) {
	f, _, second := newGPUPool(t, 3)
	memory := gpuStep(1, 0)
	memory.Resources.MemoryMB = 100000
	f.add(job.Record{Job: job.Job{ID: "memory", Steps: []job.Step{memory}}, Queue: second})
	f.acceptAll()
	f.add(job.Record{Job: job.Job{ID: "one", Steps: []job.Step{gpuStep(1, 4)}}, Queue: second})
	one := f.acceptAll()[0]
	f.add(job.Record{Job: job.Job{ID: "small", Steps: []job.Step{gpuStep(4, 1)}}, Queue: second})
	for _, o := range f.acceptAll() {
		f.Expect(o.Worker).To(Equal(one.Worker), "placed by accelerators, of which the tasks take the largest share")
	}
}
