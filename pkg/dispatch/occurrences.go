package dispatch

import (
	"cmp"
	"slices"

	"foldarch.dev/foldarch/pkg/job"
)

// A job may be due more often, and a step may have more tasks, than there is memory for. So occurrences and
// tasks are created as they can be started, and forgotten once they are done; of a done task only its number
// is kept (jobState.done).

const (
	// maxReadyTasks is how many tasks of a job may be ready to start while further occurrences of it are
	// created. An owner does not order more starts than that between two plans.
	maxReadyTasks = 1024
	// maxOpenSteps is the same for the steps that are not finished, whether they are ready or not.
	maxOpenSteps = 16384
)

// findOccurrence returns the position of an occurrence of a job among those that are needed, or where it
// would be inserted.
func (j *jobState) findOccurrence(k int) (at int, found bool) {
	return slices.BinarySearchFunc(j.occurrences, k, func(o *occurrence, k int) int { return cmp.Compare(o.index, k) })
}

// isOccurrenceFinished reports whether all tasks of an occurrence are done.
func (j *jobState) isOccurrenceFinished(k int) bool {
	return j.firstOpenOccurrence(k) != k
}

// firstOpenOccurrence returns the first occurrence from k on that is not finished.
func (j *jobState) firstOpenOccurrence(k int) int {
	size := j.taskNumbers.PerOccurrence()
	return int(j.done.NextAbsent(int64(k)*size) / size)
}

// countFinishedOccurrences counts the finished occurrences of a job whose done tasks have been loaded.
func (j *jobState) countFinishedOccurrences() int {
	size := j.taskNumbers.PerOccurrence()
	n := 0
	for i := range j.done.Intervals() {
		first, end := (i.From+size-1)/size, i.To/size
		n += int(max(end-first, 0))
	}
	return n
}

// createOccurrence creates the steps of an occurrence that is not finished and queues those that depend on
// no other step.
func (p *Pool) createOccurrence(j *jobState, k int) *occurrence {
	at, found := j.findOccurrence(k)
	if found {
		return j.occurrences[at]
	}
	occ := &occurrence{job: j, index: k}
	occ.setObjective(p.occurrenceDueAt(j, k, p.now))
	for i := range j.job.Steps {
		occ.steps = append(occ.steps, p.newStep(occ, i))
	}
	j.occurrences = slices.Insert(j.occurrences, at, occ)
	p.updateWaitingSteps(occ)
	return occ
}

func (p *Pool) newStep(occ *occurrence, i int) *step {
	j := occ.job
	spec := &j.job.Steps[i]
	p.stepCount++
	s := &step{seq: p.stepCount, occurrence: occ, index: i, spec: spec, firstNumber: j.taskNumbers.First(occ.index, i), chainEstimate: j.chainEstimates[i]}
	s.doneTasks = int(j.done.Count(s.firstNumber, s.firstNumber+int64(spec.Count)))
	s.idleTasks = spec.Count - s.doneTasks
	if spec.MaxPerWorker > 0 {
		s.runsPerWorker = map[WorkerID]int{}
	}
	return s
}

// createDueOccurrences creates the occurrences of a job whose times have come, as long as the job does not
// have many tasks that are ready to start.
func (p *Pool) createDueOccurrences(j *jobState) {
	wall := p.cfg.WallClock()
	j.hasBacklog = false
	for {
		j.nextOccurrence = j.firstOpenOccurrence(j.nextOccurrence)
		if j.nextOccurrence >= j.job.Schedule.Occurrences() {
			delete(p.growingJobs, j)
			return
		}
		isDue := !j.job.Schedule.DueAt(j.nextOccurrence).After(wall)
		j.hasBacklog = isDue && !j.mayGrow()
		if !isDue || j.hasBacklog {
			return
		}
		p.createOccurrence(j, j.nextOccurrence)
		j.nextOccurrence++
	}
}

// mayGrow reports whether further occurrences of a job may be created.
func (j *jobState) mayGrow() bool {
	ready, open := 0, 0
	for s := range j.steps() {
		if s.finished() {
			continue
		}
		open++
		if s.isQueued() {
			ready += s.waitingTasks()
		}
		if ready >= maxReadyTasks || open >= maxOpenSteps {
			return false
		}
	}
	return true
}

// finishOccurrenceIfDone counts an occurrence as finished when all its tasks are done.
func (p *Pool) finishOccurrenceIfDone(occ *occurrence) {
	if occ.counted || !occ.finished() {
		return
	}
	occ.counted = true
	occ.job.finishedOccurrences++
	p.retainedOccurrences[occ] = struct{}{}
	p.forgetOccurrence(occ)
}

// forgetFinishedOccurrences forgets the finished occurrences that are no longer needed.
func (p *Pool) forgetFinishedOccurrences() {
	for occ := range p.retainedOccurrences {
		p.forgetOccurrence(occ)
	}
}

// forgetOccurrence forgets a finished occurrence unless it is still needed. The occurrences of a job that
// has ended are forgotten with the job.
func (p *Pool) forgetOccurrence(occ *occurrence) {
	j := occ.job
	if j.outcome != "" || p.jobs[j.job.ID] != j {
		delete(p.retainedOccurrences, occ)
		return
	}
	if p.isOccurrenceNeeded(occ) {
		return
	}
	delete(p.retainedOccurrences, occ)
	if at, found := j.findOccurrence(occ.index); found && j.finishedOccurrences < j.job.Schedule.Occurrences() {
		j.occurrences = slices.Delete(j.occurrences, at, at+1)
	}
}

// isOccurrenceNeeded reports whether runs of a finished occurrence's tasks are counted, or starts of them may
// still be carried out.
func (p *Pool) isOccurrenceNeeded(occ *occurrence) bool {
	for _, s := range occ.steps {
		if s.countedRuns > 0 || slices.ContainsFunc(s.tasks, p.isTaskNeeded) {
			return true
		}
	}
	return false
}

// isTask reports whether the job has a task with these numbers.
func (j *jobState) isTask(occurrence, step, index int) bool {
	return occurrence >= 0 && occurrence < j.job.Schedule.Occurrences() && step >= 0 && step < len(j.job.Steps) &&
		index >= 0 && index < j.job.Steps[step].Count
}

// task returns the task with the given ID, or nil if it does not exist, or is done and has been forgotten. It
// creates the task and its occurrence if needed.
func (p *Pool) task(id job.TaskID) *task {
	j, ok := p.jobs[id.Job]
	if !ok || !j.isTask(id.Time, id.Step, id.Index) {
		return nil
	}
	at, found := j.findOccurrence(id.Time)
	if found {
		return j.occurrences[at].steps[id.Step].task(id.Index)
	}
	if j.isOccurrenceFinished(id.Time) {
		return nil
	}
	return p.createOccurrence(j, id.Time).steps[id.Step].task(id.Index)
}
