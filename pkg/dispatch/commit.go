package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/outcome"
)

// Change is what the store has to be told of one job.
type Change struct {
	Job job.ID
	// Outcome is set when the job has ended; otherwise Progress is to be kept.
	Outcome  job.State
	Progress job.Progress
	// Customer names whose job it is; empty for nobody's.
	Customer string
	// Unended is what may still run of a job that has ended.
	Unended job.Unended
	// LateStart is when the last start of a job that has ended was sent that may come late (job.Record).
	LateStart time.Time
	// Stored says that the store has progress of the job, to be removed with its end.
	Stored bool
}

// Commit is what has to be written before ends may be forgotten by the workers.
type Commit struct {
	Changes []Change
	taken   map[*worker]int64 // up to which number all ends are in the changes, or in earlier ones
	starts  []*run            // that are ordered when the changes are written
	parting []WorkerID        // workers whose crashes are among the changes
	names   bool              // the changes have names of workers for which starts wait
}

// TakeCommit returns what changed since the last one; it is empty when nothing did.
func (p *Pool) TakeCommit() Commit {
	c := Commit{taken: map[*worker]int64{}, starts: p.toStore, names: p.takeNames(), parting: slices.Collect(maps.Keys(p.parting))}
	p.toStore = nil
	for j := range p.dirty {
		c.Changes = append(c.Changes, p.changeOf(j))
	}
	clear(p.dirty)
	slices.SortFunc(c.Changes, func(a, b Change) int { return cmp.Compare(a.Job, b.Job) })
	for _, w := range p.workers {
		if n := w.notes.UpTo(w.takenUpTo(), p.now); n > w.noted {
			c.taken[w] = n
		}
	}
	return c
}

// Empty says that there is nothing to write and nothing to note.
func (c Commit) Empty() bool {
	return len(c.Changes) == 0 && len(c.taken) == 0 && len(c.parting) == 0
}

// Committed takes in that the store has all changes of a commit.
func (p *Pool) Committed(c Commit) {
	p.stored = append(p.stored, c.starts...)
	p.storeNames(c.Changes)
	for _, id := range c.parting {
		delete(p.parting, id)
		p.rosterChanged(id)
	}
	for w, number := range c.taken {
		w.noted = max(w.noted, number)
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
		p.outcomes.Put(change.Job, outcome.Outcome{State: change.Outcome, Customer: change.Customer, Since: p.now})
		p.forgetIfIdle(j)
	}
}

// Starts says whether starts are to be ordered when the commit is written, or may be by the names that it has.
func (c Commit) Starts() bool {
	return len(c.starts) > 0 || c.names
}

// Noted says whether all ends that a worker has reported are committed. Those of jobs that may become known are not.
func (p *Pool) Noted(id WorkerID) bool {
	w, ok := p.workers[id]
	return !ok || w.noted == w.read
}

func (p *Pool) changeOf(j *jobState) Change {
	c := Change{Job: j.job.ID, Outcome: j.outcome, Customer: j.customer.Name, Stored: j.stored}
	if j.outcome == "" {
		c.Progress = p.progressOf(j)
		c.Progress.Unended = p.unended(j)
		j.stored = true
		return c
	}
	c.Unended, c.LateStart = p.unended(j), p.lastUnanswered(j)
	return c
}

func (p *Pool) progressOf(j *jobState) job.Progress {
	out := job.Progress{Workers: p.namesOf(j)}
	for s := range j.steps() {
		for i := range s.tasks {
			x := &s.tasks[i]
			unanswered, attempts, crashes := p.storedUnanswered(x), x.crash.Attempts(), x.crash.Crashes()
			if !x.done && len(x.failures) == 0 && x.lastEnded == 0 && len(attempts) == 0 && len(crashes) == 0 && len(unanswered) == 0 {
				continue
			}
			row := job.TaskProgress{
				Time: s.time.index, Step: s.index, Index: i, Done: x.done, Failures: x.failures, LastRun: x.lastEnded, Unanswered: unanswered,
			}
			if !x.done {
				row.Checkpoint, row.Attempts, row.Crashes = x.checkpoint, attempts, crashes
			}
			out.Tasks = append(out.Tasks, row)
		}
	}
	return out
}

// takeProgress takes in what a former owner kept of a job.
func (p *Pool) takeProgress(j *jobState, progress job.Progress) {
	j.unended = p.mayGoOn(progress.Unended)
	j.takeStoredNames(progress)
	for _, row := range progress.Tasks {
		id := job.TaskID{StepID: job.StepID{Job: j.job.ID, Time: row.Time, Step: row.Step}, Index: row.Index}
		t := p.task(id)
		if t == nil {
			continue
		}
		j.began = j.began || row.Begun()
		t.failures, t.lastEnded, t.checkpoint = row.Failures, row.LastRun, row.Checkpoint
		t.crash.Load(row.Attempts, row.Crashes)
		j.suspected = j.suspected || len(row.Crashes) > 0
		t.lastRun = max(t.lastRun, row.HighestRun())
		t.step.gang.number = max(t.step.gang.number, row.HighestRun())
		if row.Done {
			t.setDone()
		}
		p.takeUnanswered(t, row.Unanswered)
	}
	for _, t := range j.times {
		if t != nil {
			p.updateReady(t)
		}
	}
}
