package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/outcome"
)

// JobChange is what the store has to be told of one job.
type JobChange struct {
	Job job.ID
	// Outcome is set when the job has ended; otherwise Progress is to be kept.
	Outcome  job.State
	Progress job.Progress
	// Customer names whose job it is; empty for nobody's.
	Customer string
	// RemainingUse is what may still run of a job that has ended.
	RemainingUse job.Unended
	// LastLateStart is when the last start of a job that has ended was sent that may come late (job.Record).
	LastLateStart time.Time
	// HasProgress says that the store has progress of the job, to be removed with its end.
	HasProgress bool
}

// Commit is what has to be written before ends may be forgotten by the workers.
type Commit struct {
	Changes            []JobChange
	lastEnds           map[*worker]int64 // up to which number all ends are in the changes, or in earlier ones
	startsToOrder      []*run            // that are ordered when the changes are written
	crashedWorkers     []WorkerID        // workers whose crashes are among the changes
	hasRecordedWorkers bool              // the changes have names of workers for which starts wait
}

// PrepareCommit returns what changed since the last one; it is empty when nothing did.
func (p *Pool) PrepareCommit() Commit {
	c := Commit{lastEnds: map[*worker]int64{}, startsToOrder: p.startsToStore, hasRecordedWorkers: p.takeUnstoredWorkers(), crashedWorkers: slices.Collect(maps.Keys(p.uncommittedCrashes))}
	p.startsToStore = nil
	for j := range p.dirty {
		c.Changes = append(c.Changes, p.jobChange(j))
	}
	clear(p.dirty)
	slices.SortFunc(c.Changes, func(a, b JobChange) int { return cmp.Compare(a.Job, b.Job) })
	for _, w := range p.workers {
		if n := w.ackDelays.LastAckable(w.lastAppliedEnd(), p.now); n > w.lastCommittedEnd {
			c.lastEnds[w] = n
		}
	}
	return c
}

// Empty says that there is nothing to write and nothing to note.
func (c Commit) IsEmpty() bool {
	return len(c.Changes) == 0 && len(c.lastEnds) == 0 && len(c.crashedWorkers) == 0
}

// ApplyCommit takes in that the store has all changes of a commit.
func (p *Pool) ApplyCommit(c Commit) {
	p.startsToOrder = append(p.startsToOrder, c.startsToOrder...)
	p.markWorkersStored(c.Changes)
	for _, id := range c.crashedWorkers {
		delete(p.uncommittedCrashes, id)
		p.markRosterChanged(id)
	}
	for w, number := range c.lastEnds {
		w.lastCommittedEnd = max(w.lastCommittedEnd, number)
	}
	for _, change := range c.Changes {
		j, ok := p.jobs[change.Job]
		if !ok {
			continue
		}
		if change.Outcome == "" {
			continue
		}
		j.committed = true
		p.outcomes.Put(change.Job, outcome.Outcome{State: change.Outcome, Customer: change.Customer, LearnedAt: p.now})
		p.forgetJobIfIdle(j)
	}
}

// HasStarts says whether starts are to be ordered when the commit is written, or may be by the names that it has.
func (c Commit) HasStarts() bool {
	return len(c.startsToOrder) > 0 || c.hasRecordedWorkers
}

// AreEndsCommitted says whether all ends that a worker has reported are committed. Those of jobs that may become known are not.
func (p *Pool) AreEndsCommitted(id WorkerID) bool {
	w, ok := p.workers[id]
	return !ok || w.lastCommittedEnd == w.lastReadEnd
}

func (p *Pool) jobChange(j *jobState) JobChange {
	c := JobChange{Job: j.job.ID, Outcome: j.outcome, Customer: j.customer.Name, HasProgress: j.hasStoredProgress}
	if j.outcome == "" {
		c.Progress = p.jobProgress(j)
		c.Progress.Unended = p.remainingUse(j)
		j.hasStoredProgress = true
		return c
	}
	c.RemainingUse, c.LastLateStart = p.remainingUse(j), p.lastUnansweredAt(j)
	return c
}

func (p *Pool) jobProgress(j *jobState) job.Progress {
	out := job.Progress{Workers: p.workersToRecord(j)}
	for s := range j.steps() {
		for i := range s.tasks {
			x := &s.tasks[i]
			unanswered, attempts, crashes := p.unansweredStarts(x), x.crash.Attempts(), x.crash.Crashes()
			if !x.done && len(x.failures) == 0 && x.lastEndedRun == 0 && len(attempts) == 0 && len(crashes) == 0 && len(unanswered) == 0 {
				continue
			}
			row := job.TaskProgress{
				Time: s.occurrence.index, Step: s.index, Index: i, Done: x.done, Failures: x.failures, LastRun: x.lastEndedRun, Unanswered: unanswered,
			}
			if !x.done {
				row.Checkpoint, row.Attempts, row.Crashes = x.checkpoint, attempts, crashes
			}
			out.Tasks = append(out.Tasks, row)
		}
	}
	return out
}

// loadProgress takes in what a former owner kept of a job.
func (p *Pool) loadProgress(j *jobState, progress job.Progress) {
	j.remainingUse = p.unexpiredUse(progress.Unended)
	j.loadStoredWorkers(progress)
	for _, row := range progress.Tasks {
		id := job.TaskID{StepID: job.StepID{Job: j.job.ID, Time: row.Time, Step: row.Step}, Index: row.Index}
		t := p.task(id)
		if t == nil {
			continue
		}
		j.began = j.began || row.Begun()
		t.failures, t.lastEndedRun, t.checkpoint = row.Failures, row.LastRun, row.Checkpoint
		t.crash.Load(row.Attempts, row.Crashes)
		j.suspected = j.suspected || len(row.Crashes) > 0
		t.lastRunNumber = max(t.lastRunNumber, row.HighestRun())
		t.step.gang.runNumber = max(t.step.gang.runNumber, row.HighestRun())
		if row.Done {
			t.setDone()
		}
		p.loadUnanswered(t, row.Unanswered)
	}
	for _, t := range j.occurrences {
		if t != nil {
			p.updateWaitingSteps(t)
		}
	}
}
