package dispatch

import (
	"maps"
	"slices"
	"strconv"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/taskset"
)

// storedProgress is how the store has the progress of a job, once the last prepared commit is written
// (job.SegmentIndex).
type storedProgress struct {
	// changed are the segments whose tasks have changed since the last commit was prepared. It is nil for a
	// job that fits into one segment, whose progress is never stored in segments.
	changed map[int64]struct{}
	// index is the progress without its tasks if they are stored in segments; its Index is nil otherwise.
	index job.Progress
	// segments are those that the store has. obsolete ones are not needed once the last prepared commit is
	// written.
	segments map[int64]struct{}
	obsolete []int64
	// expiring are stored segments whose tasks are all done, with starts that may still be carried out.
	expiring map[int64]struct{}
}

func newStoredProgress(tasks int64) storedProgress {
	if tasks <= taskset.SegmentSize {
		return storedProgress{}
	}
	return storedProgress{changed: map[int64]struct{}{}, segments: map[int64]struct{}{}, expiring: map[int64]struct{}{}}
}

// markChanged records that the progress of a task has changed.
func (s *storedProgress) markChanged(number int64) {
	if s.changed != nil {
		s.changed[taskset.SegmentOf(number)] = struct{}{}
	}
}

// takeAllSegments returns the segments that the store has.
func (s *storedProgress) takeAllSegments() []int64 {
	all := append(slices.Collect(maps.Keys(s.segments)), s.obsolete...)
	clear(s.segments)
	s.obsolete = nil
	slices.Sort(all)
	return slices.Compact(all)
}

// SegmentSupport is whether the hosts that may become the owner can read segments of progress.
type SegmentSupport int

// The states of the hosts' support for segments.
const (
	SegmentsUnknown     SegmentSupport = iota // not all hosts may be known
	SegmentsSupported                         // all hosts can read segments
	SegmentsUnsupported                       // a host can't
)

// SetSegmentSupport sets whether the hosts can read segments of progress. If one can't, progress is stored as
// rows as long as it fits into a value (Config.MaxValueBytes). While that is unknown, it is stored as before.
func (p *Pool) SetSegmentSupport(s SegmentSupport) {
	p.segmentSupport = s
}

// addProgress adds the progress of a job to a change.
func (p *Pool) addProgress(j *jobState, c *JobChange) {
	c.Progress = job.Progress{Workers: p.workersToRecord(j), RemainingUse: p.remainingUse(j)}
	s := &j.storedProgress
	c.RemovedSegments, s.obsolete = s.obsolete, nil
	if p.usesSegments(j, c.Progress) {
		p.addSegments(j, c)
		return
	}
	c.Progress.Tasks = p.progressRows(j)
	s.obsolete = s.takeAllSegments()
	s.index = job.Progress{}
	clear(s.changed)
	clear(s.expiring)
}

// usesSegments reports whether the progress of a job is to be stored in segments. progress is without tasks.
func (p *Pool) usesSegments(j *jobState, progress job.Progress) bool {
	switch isSegmented := j.storedProgress.index.Index != nil; {
	case j.storedProgress.changed == nil:
		return false
	case p.segmentSupport == SegmentsSupported, isSegmented && p.segmentSupport == SegmentsUnknown:
		return true
	}
	return !p.rowsFit(j, progress)
}

const (
	// maxRowBytes is the size of a row for a task that is done, without its numbers; maxDetailBytes is that
	// of each further detail of a task.
	maxRowBytes    = 40
	maxDetailBytes = 160
	// rowShare is the largest share of a value that rows may take, so that what runs can end.
	rowShare = 0.875
)

// rowsFit reports whether all rows of a job's progress fit into one value of the store.
func (p *Pool) rowsFit(j *jobState, progress job.Progress) bool {
	if p.cfg.MaxValueBytes == 0 {
		return true
	}
	numberBytes := len(strconv.Itoa(j.job.Schedule.Occurrences())) + len(strconv.Itoa(len(j.job.Steps))) + len(strconv.FormatInt(j.taskNumbers.PerOccurrence(), 10))
	size := j.done.Len() * int64(maxRowBytes+numberBytes)
	for _, w := range progress.Workers {
		size += int64(len(w)) + maxRowBytes
	}
	for s := range j.steps() {
		for _, t := range s.tasks {
			details := len(t.failures) + len(t.crash.Crashes()) + len(t.crash.Attempts()) + len(t.lateStarts.Unanswered())
			size += int64(len(t.checkpoint) + details*maxDetailBytes)
			if t.lastEndedRun > 0 || details > 0 {
				size += int64(maxRowBytes + numberBytes)
			}
		}
	}
	return float64(size) <= rowShare*float64(p.cfg.MaxValueBytes)
}

// addSegments adds the changed segments of a job's progress to a change, or all of them if the store has none
// yet.
func (p *Pool) addSegments(j *jobState, c *JobChange) {
	s := &j.storedProgress
	numbers := s.changed
	if s.index.Index == nil {
		c.ProgressAfterSegments = true
		numbers = p.usedSegments(j)
	} else {
		maps.Copy(numbers, s.expiring)
	}
	clear(s.expiring)
	for _, n := range slices.Sorted(maps.Keys(numbers)) {
		p.addSegment(j, n, c)
	}
	clear(s.changed)
	c.Progress.Index = &job.SegmentIndex{Size: taskset.SegmentSize, Done: slices.Clone(j.done.CompleteSegments()), Begun: j.began}
	c.ProgressUnchanged = s.index.Equal(c.Progress)
	s.index = c.Progress
	c.RemovedSegments = slices.DeleteFunc(c.RemovedSegments, func(n int64) bool { _, has := s.segments[n]; return has })
}

// addSegment adds one segment of a job's progress to a change, unless the index says all about it.
func (p *Pool) addSegment(j *jobState, n int64, c *JobChange) {
	s := &j.storedProgress
	x := job.Segment{Size: taskset.SegmentSize, Done: j.done.Segment(n), Tasks: p.segmentRows(j, n)}
	_, stored := s.segments[n]
	switch complete := j.done.HasSegment(n); {
	case complete && len(x.Tasks) == 0:
		if stored {
			delete(s.segments, n)
			s.obsolete = append(s.obsolete, n)
		}
		return
	case complete:
		s.expiring[n] = struct{}{}
	case x.IsEmpty() && !stored:
		return
	}
	s.segments[n] = struct{}{}
	c.Segments = append(c.Segments, SegmentChange{n, x})
}

// usedSegments returns the segments of a job's tasks for which the index is not enough.
func (p *Pool) usedSegments(j *jobState) map[int64]struct{} {
	out := map[int64]struct{}{}
	for _, n := range j.done.PartialSegments() {
		out[n] = struct{}{}
	}
	for s := range j.steps() {
		for _, t := range s.tasks {
			if _, has := p.segmentRow(t); has {
				out[taskset.SegmentOf(t.number())] = struct{}{}
			}
		}
	}
	return out
}

// taskRow returns the stored progress of a task; has is false if there is none.
func (p *Pool) taskRow(t *task) (row job.TaskProgress, has bool) {
	unanswered, attempts, crashes := p.unansweredStarts(t), t.crash.Attempts(), t.crash.Crashes()
	if !t.done && len(t.failures) == 0 && t.lastEndedRun == 0 && len(attempts) == 0 && len(crashes) == 0 && len(unanswered) == 0 {
		return row, false
	}
	row = job.TaskProgress{
		Time: t.step.occurrence.index, Step: t.step.index, Index: t.index, Done: t.done, Failures: t.failures, LastRun: t.lastEndedRun, UnansweredStarts: unanswered,
	}
	if !t.done {
		row.Checkpoint, row.Attempts, row.Crashes = t.checkpoint, attempts, crashes
	}
	return row, true
}

// segmentRow returns the row of a task in its segment; has is false if there is no more to know than whether it
// is done.
func (p *Pool) segmentRow(t *task) (row job.TaskProgress, has bool) {
	row, has = p.taskRow(t)
	return row, has && !(t.done && len(row.UnansweredStarts) == 0)
}

// progressRows returns the rows of all tasks of a job.
func (p *Pool) progressRows(j *jobState) []job.TaskProgress {
	var rows []job.TaskProgress
	for i := range j.done.Intervals() {
		for n := i.From; n < i.To; n++ {
			occurrence, step, index := j.taskNumbers.Locate(n)
			if !j.hasTask(occurrence, step, index) {
				rows = append(rows, job.TaskProgress{Time: occurrence, Step: step, Index: index, Done: true})
			}
		}
	}
	for s := range j.steps() {
		for _, t := range s.tasks {
			if row, has := p.taskRow(t); has {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

// hasTask reports whether a task of a job has been created and is still needed.
func (j *jobState) hasTask(occurrence, step, index int) bool {
	at, found := j.findOccurrence(occurrence)
	if found {
		_, found = j.occurrences[at].steps[step].find(index)
	}
	return found
}

// segmentRows returns the rows of the tasks in a segment of which there is more to know than that they are
// done.
func (p *Pool) segmentRows(j *jobState, n int64) []job.TaskProgress {
	var rows []job.TaskProgress
	from, to := n*taskset.SegmentSize, (n+1)*taskset.SegmentSize
	at, _ := j.findOccurrence(int(from / j.taskNumbers.PerOccurrence()))
	for _, occ := range j.occurrences[at:] {
		if int64(occ.index)*j.taskNumbers.PerOccurrence() >= to {
			break
		}
		for _, s := range occ.steps {
			rows = append(rows, p.stepRows(s, from, to)...)
		}
	}
	return rows
}

// stepRows returns the rows of segmentRows for those tasks of a step whose numbers are from from to to - 1.
func (p *Pool) stepRows(s *step, from, to int64) []job.TaskProgress {
	var rows []job.TaskProgress
	if s.firstNumber >= to || s.firstNumber+int64(s.spec.Count) <= from {
		return nil
	}
	at, _ := s.find(int(max(from-s.firstNumber, 0)))
	for _, t := range s.tasks[at:] {
		if t.number() >= to {
			break
		}
		if row, has := p.segmentRow(t); has {
			rows = append(rows, row)
		}
	}
	return rows
}

// loadProgress restores a job's progress that a previous owner stored.
func (p *Pool) loadProgress(j *jobState, progress job.Progress) {
	j.storedProgress = newStoredProgress(j.taskNumbers.PerOccurrence() * int64(j.job.Schedule.Occurrences()))
	j.remainingUse = p.unexpiredUse(progress.RemainingUse)
	j.loadStoredWorkers(progress)
	p.loadSegments(j, progress)
	for _, row := range progress.Tasks {
		if row.Done && j.isTask(row.Time, row.Step, row.Index) {
			j.done.Add(j.taskNumbers.First(row.Time, row.Step) + int64(row.Index))
		}
	}
	for _, row := range progress.Tasks {
		j.began = j.began || row.HasBegun()
		if j.isTask(row.Time, row.Step, row.Index) && (!row.Done || len(row.UnansweredStarts) > 0) {
			p.loadTask(j, row)
		}
	}
	j.began = j.began || j.done.Len() > 0
	j.finishedOccurrences = j.countFinishedOccurrences()
	for _, occ := range j.occurrences {
		if occ.counted = occ.finished(); occ.counted {
			p.retainedOccurrences[occ] = struct{}{}
		}
		p.updateWaitingSteps(occ)
	}
}

// loadSegments restores the progress that a previous owner stored in segments. Without an index, the rows of
// the progress say all about the tasks.
func (p *Pool) loadSegments(j *jobState, progress job.Progress) {
	s := &j.storedProgress
	numbers := slices.Sorted(maps.Keys(progress.Segments))
	if progress.Index == nil {
		s.obsolete = numbers
		if len(numbers) > 0 {
			p.dirty[j] = struct{}{}
		}
		return
	}
	j.done, j.began = progress.DoneTasks(), progress.Index.Begun
	s.index = job.Progress{Index: progress.Index}
	for _, n := range numbers {
		s.segments[n] = struct{}{}
		s.changed[n] = struct{}{}
	}
	for _, n := range numbers {
		for _, row := range progress.Segments[n].Tasks {
			j.began = j.began || row.HasBegun()
			if j.isTask(row.Time, row.Step, row.Index) {
				p.loadTask(j, row)
			}
		}
	}
}

// loadTask restores the progress of a task.
func (p *Pool) loadTask(j *jobState, row job.TaskProgress) {
	s := p.createOccurrence(j, row.Time).steps[row.Step]
	if s.spec.Gang {
		s.createAllTasks()
	}
	t := s.createTask(row.Index)
	t.failures, t.lastEndedRun, t.storedLastRun, t.checkpoint = row.Failures, row.LastRun, row.LastRun, row.Checkpoint
	t.crash.Load(row.Attempts, row.Crashes)
	j.suspected = j.suspected || len(row.Crashes) > 0
	t.lastRunNumber = max(t.lastRunNumber, row.HighestRun())
	s.gang.runNumber = max(s.gang.runNumber, row.HighestRun())
	p.loadUnanswered(t, row.UnansweredStarts)
}
