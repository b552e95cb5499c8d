package dispatch

import (
	"maps"
	"slices"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
)

const (
	// historyValueBytes is the largest value of the store in histories with large jobs.
	historyValueBytes = 12_000
	// largeTaskTime is the longest run of a large job's task.
	largeTaskTime = 250 * time.Millisecond
	// largeJobExtraTime is how much longer a history with large jobs goes on: thousands of tasks wait for a
	// few workers.
	largeJobExtraTime = 120 * time.Second
)

// withLargeJobs gives a history jobs whose progress takes several segments: some with wide steps, some with a
// schedule. Owners can read segments or not, or it is not known; some end between two transactions.
func withLargeJobs(w *world) {
	w.largeJobs = true
}

// drawLargeJob returns a job with hundreds of tasks.
func (w *world) drawLargeJob() job.Job {
	step := job.Step{
		Count: 200 + w.rand.IntN(500), Resources: cell.Resources{CPUMillis: 250 + 50*w.rand.Int64N(8), MemoryMB: 50}, Estimate: largeTaskTime,
	}
	if w.chance(0.3) {
		step.MaxPerWorker = 3 + w.rand.IntN(6)
	}
	if w.chance(0.5) {
		second := step
		second.Count, second.After = 1+w.rand.IntN(30), []int{0}
		return job.Job{Steps: []job.Step{step, second}}
	}
	repeat := 20 + w.rand.IntN(80)
	step.Count = 1 + w.rand.IntN(12)
	start := w.wallTime.Add(w.drawDuration(-time.Minute, 2*time.Second))
	return job.Job{Steps: []job.Step{step}, Schedule: job.Schedule{Repeat: repeat, Start: start, Interval: w.drawDuration(0, 200*time.Millisecond)}}
}

// drawSegmentSupport draws what an owner knows of the hosts.
func (w *world) drawSegmentSupport() SegmentSupport {
	return []SegmentSupport{SegmentsUnknown, SegmentsSupported, SegmentsSupported, SegmentsUnsupported}[w.rand.IntN(4)]
}

// changeSegmentSupport has the present owner learn of other hosts now and then.
func (w *world) changeSegmentSupport() {
	if o := w.presentOwner(); w.largeJobs && w.chance(0.005) {
		o.pool.SetSegmentSupport(w.drawSegmentSupport())
	}
}

// storeSegments applies the segments of a change to the store's copy of a job.
func (s *storedJob) storeSegments(c JobChange) {
	if s.segments == nil {
		s.segments = map[int64]job.Segment{}
	}
	for _, x := range c.Segments {
		s.segments[x.Number] = x.Segment
	}
	for _, n := range c.RemovedSegments {
		delete(s.segments, n)
	}
}

// storedProgress returns the progress of a job as an owner reads it from the store.
func (s *storedJob) storedProgress() job.Progress {
	p := copyProgress(s.progress)
	for n, x := range s.segments {
		x.Done, x.Tasks = slices.Clone(x.Done), copyRows(x.Tasks)
		p.AddSegment(n, x)
	}
	return p
}

// cutCommit may have the owner end within a commit, so that the store has only some of those writes that may
// come in any order. It reports whether it did.
func (w *world) cutCommit(o *modelOwner, c Commit) bool {
	if !w.largeJobs || w.now >= w.faultsUntil || !w.chance(0.002) {
		return false
	}
	w.logf("owner %d ends within a commit", o.term)
	for _, change := range c.Changes {
		s := w.store[change.Job]
		if s.segments == nil {
			s.segments = map[int64]job.Segment{}
		}
		for _, x := range change.Segments {
			if w.chance(0.5) {
				s.segments[x.Number] = x.Segment
			}
		}
		if change.Outcome == "" && !change.ProgressUnchanged && !change.ProgressAfterSegments && w.chance(0.5) {
			s.progress, s.hasProgress = change.Progress, true
		}
	}
	o.ended = true
	w.elect()
	return true
}

// checkCompletion checks that all tasks of a job that an owner completes have ended as done.
func (w *world) checkCompletion(c JobChange) {
	if !w.largeJobs || c.Outcome != job.Completed {
		return
	}
	j := w.store[c.Job].record.Job
	for k := range j.Schedule.Occurrences() {
		for n, s := range j.Steps {
			for i := range s.Count {
				id := job.TaskID{StepID: job.StepID{Job: c.Job, Time: k, Step: n}, Index: i}
				if !w.ended[id] && !s.Gang {
					w.reportViolation("%s is completed though %s has not ended", c.Job, id)
				}
			}
		}
	}
}

// checkDue checks that a run does not begin before its time.
func (w *world) checkDue(r modelRun) {
	s := w.store[r.task.Job].record.Job.Schedule
	if s.Repeat > 0 && s.DueAt(r.task.Time).After(w.wallTime) {
		w.reportViolation("%s begins before it is due", r.task)
	}
}

// checkChangeSizes checks that no value of a change is larger than the store takes.
func (w *world) checkChangeSizes(c JobChange) {
	if !w.largeJobs || c.Outcome != "" {
		return
	}
	text, err := c.Progress.Encode()
	if err != nil || len(text) > historyValueBytes {
		w.reportViolation("the progress of %s has %d bytes: %v", c.Job, len(text), err)
	}
	for _, x := range c.Segments {
		if text, err := x.Segment.Encode(); err != nil || len(text) > historyValueBytes {
			w.reportViolation("segment %d of %s has %d bytes: %v", x.Number, c.Job, len(text), err)
		}
	}
}

// checkSegmentsRemoved checks that the store keeps no segment of a job that has ended.
func (w *world) checkSegmentsRemoved() {
	for _, id := range slices.Sorted(maps.Keys(w.store)) {
		if s := w.store[id]; s.outcome != "" && len(s.segments) > 0 {
			w.reportViolation("the store keeps %d segments of %s", len(s.segments), id)
		}
	}
}

// Guards against values that outgrow the store, and against tasks of large jobs that are lost, or run again
// after an owner has ended between two transactions.
func TestInvariantsHoldWithLargeJobs(t *testing.T) {
	t.Run("on their own", func(t *testing.T) { simulateShare(t, fifteenthOfSeeds, withLargeJobs) })
	t.Run("behind relays", func(t *testing.T) {
		simulateShare(t, fifteenthOfSeeds, func(w *world) { withLargeJobs(w); w.slowRelays = true })
	})
	t.Run("with recorded workers that restart", func(t *testing.T) {
		simulateShare(t, fifteenthOfSeeds, withRestarts(func(w *world) { withLargeJobs(w); withRecordedWorkers(w) }))
	})
	t.Run("under quotas", func(t *testing.T) {
		simulateShare(t, fifteenthOfSeeds, func(w *world) { withLargeJobs(w); withQuotas(w) })
	})
	t.Run("with early takeovers", func(t *testing.T) { simulateShare(t, fifteenthOfSeeds, earlyTakeover(withLargeJobs)) })
}
