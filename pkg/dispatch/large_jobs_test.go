package dispatch

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/taskset"
	. "github.com/onsi/gomega"
)

// runAll starts and ends waiting tasks until limit of them have ended or none is started any more. It returns
// the ended tasks.
func (f *fixture) runAll(workers, limit int) []job.TaskID {
	var ended []job.TaskID
	for len(ended) < limit {
		starts := f.plan().Starts
		if len(starts) == 0 {
			break
		}
		finished := make([][]FinishedRun, workers)
		for _, s := range starts {
			f.accept(s)
			n := workerNumber(s.Worker)
			finished[n] = append(finished[n], FinishedRun{Number: f.pool.workers[s.Worker].lastReadEnd + int64(len(finished[n])) + 1, Task: s.Task, Run: s.Run, Reason: EndDone})
			ended = append(ended, s.Task)
		}
		for n := range workers {
			f.report(n, Report{Finished: finished[n]})
		}
		f.pool.ApplyCommit(f.pool.PrepareCommit())
		f.pool.InspectRuns(f.now)
	}
	return ended
}

// keptTasks counts the tasks of a job that are in memory.
func (f *fixture) keptTasks(id job.ID) int {
	n := 0
	for s := range f.pool.jobs[id].steps() {
		n += len(s.tasks)
	}
	return n
}

func scheduledJob(id string, count, repeat int, start time.Time, interval time.Duration) job.Record {
	r := testJob(id, testStep(count))
	r.Job.Steps[0].Resources = cell.Resources{CPUMillis: 100, MemoryMB: 10}
	r.Job.Schedule = job.Schedule{Repeat: repeat, Start: start, Interval: interval}
	return r
}

// Guards against an owner whose memory grows with the tasks of a job that have ended.
func TestDoneTasksAreForgotten(t *testing.T) {
	for name, r := range map[string]job.Record{
		"occurrences": scheduledJob("a", 30, 1000, time.Unix(1_600_000_000, 0), time.Second),
		"wide step":   scheduledJob("a", 30_000, 0, time.Time{}, 0),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			f.reportAll(2)
			f.supportSegments()
			f.add(r)
			ended := f.runAll(2, 20_000)
			f.Expect(len(ended)).To(BeNumerically(">=", 20_000))
			f.Expect(f.keptTasks("a")).To(BeNumerically("<", maxReadyTasks+maxTasksCreatedAtOnce))
			f.Expect(f.pool.jobs["a"].storedProgress.segments).To(HaveLen(1), "the one that is not complete")
			f.Expect(len(f.runAll(2, 30_000))+len(ended)).To(Equal(30_000), "each task runs once")
			state, _, _ := f.pool.JobState("a")
			f.Expect(state).To(Equal(job.Completed))
		})
	}
}

// Guards against a new owner that does not go on from the segments of an earlier one.
func TestNewOwnerGoesOnFromSegments(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.supportSegments()
	r := scheduledJob("a", 7, 400, time.Unix(1_600_000_000, 0), time.Second)
	r.Job.Steps = append(r.Job.Steps, r.Job.Steps[0])
	r.Job.Steps[1].Count, r.Job.Steps[1].After = 2, []int{0}
	f.add(r)
	ended := f.runAll(2, 2000)
	f.Expect(ended).NotTo(HaveLen(3600))

	c := Commit{Changes: []JobChange{{}}}
	f.pool.addProgress(f.pool.jobs["a"], &c.Changes[0])
	stored := c.Changes[0].Progress
	j := f.pool.jobs["a"]
	for n := range j.storedProgress.segments {
		stored.AddSegment(n, job.Segment{Size: taskset.SegmentSize, Done: j.done.Segment(n), Tasks: f.pool.segmentRows(j, n)})
	}
	next := newFixture(t, 2, nil)
	next.reportAll(2)
	next.pool.AddJob(r, stored, true, 0, next.now)
	next.Expect(next.pool.jobs["a"].finishedOccurrences).To(Equal(j.finishedOccurrences))
	seen := map[job.TaskID]bool{}
	for _, id := range append(ended, next.runAll(2, 3600)...) {
		next.Expect(seen[id]).To(BeFalse(), "%s ran before", id)
		seen[id] = true
	}
	next.Expect(seen).To(HaveLen(3600))
}

// Guards against progress that an earlier build, which may become the owner, can't read although it fits into a
// value.
func TestProgressIsInRowsWhileHostsNeedThem(t *testing.T) {
	f := newFixture(t, 2, func(cfg *Config) { cfg.MaxValueBytes = 20_000 })
	f.reportAll(2)
	f.pool.SetSegmentSupport(SegmentsUnsupported)
	f.add(scheduledJob("a", 30, 1000, time.Unix(1_600_000_000, 0), time.Second))
	f.runAll(2, 200)
	j := f.pool.jobs["a"]
	change := func() (c JobChange) {
		f.pool.addProgress(j, &c)
		return c
	}
	f.Expect(change().Progress.Index).To(BeNil())
	f.Expect(len(change().Progress.Tasks)).To(BeNumerically(">=", 200))

	f.pool.SetSegmentSupport(SegmentsSupported)
	c := change()
	f.Expect(c.ProgressAfterSegments).To(BeTrue())
	f.Expect(c.Segments).NotTo(BeEmpty())
	f.Expect(c.RemovedSegments).To(BeEmpty())
	f.pool.SetSegmentSupport(SegmentsUnknown)
	f.Expect(change().Progress.Index).NotTo(BeNil(), "it stays as it is")

	f.pool.SetSegmentSupport(SegmentsUnsupported)
	c = change()
	f.Expect(c.Progress.Index).To(BeNil())
	f.Expect(c.RemovedSegments).To(BeEmpty(), "not before the rows are stored")
	f.Expect(change().RemovedSegments).NotTo(BeEmpty())

	f.runAll(2, 2000)
	c = change()
	f.Expect(c.Progress.Index).NotTo(BeNil(), "rows no longer fit")
}

// Guards against a job whose rows are larger than assumed.
func TestEstimateOfRowsIsNotTooSmall(t *testing.T) {
	for _, steps := range []int{1, 12} {
		f := newFixture(t, 2, func(cfg *Config) { cfg.MaxValueBytes = 1 << 30 })
		f.reportAll(2)
		r := scheduledJob("00000000000000a1", 30, 100, time.Unix(1_600_000_000, 0), time.Second)
		for range steps - 1 {
			r.Job.Steps = append(r.Job.Steps, r.Job.Steps[0])
		}
		f.add(r)
		f.runAll(2, 20*100*steps)
		j := f.pool.jobs[r.Job.ID]
		var c JobChange
		f.pool.addProgress(j, &c)
		text, err := c.Progress.Encode()
		f.Expect(err).NotTo(HaveOccurred())
		f.pool.cfg.MaxValueBytes = int(float64(len(text))/rowShare) - 1
		f.Expect(f.pool.rowsFit(j, c.Progress)).To(BeFalse(), fmt.Sprintf("%d bytes in %d rows", len(text), len(c.Progress.Tasks)))
	}
}

// Guards against an explanation that numbers the runs of a step by the tasks that are left of it.
func TestExplanationNumbersRunsByTask(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.add(scheduledJob("a", 3000, 0, time.Time{}, 0))
	f.runAll(2, 1000)
	starts := f.plan().Starts
	f.Expect(starts).NotTo(BeEmpty())
	running := map[int]bool{}
	for _, s := range starts {
		f.accept(s)
		running[s.Task.Index] = true
	}
	e, _ := f.pool.Explain("a", f.now)
	f.Expect(e.Steps[0].Runs).To(HaveLen(len(starts)))
	for _, r := range e.Steps[0].Runs {
		f.Expect(running[r.Task]).To(BeTrue(), "task %d", r.Task)
	}
}
