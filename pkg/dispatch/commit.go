package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/outcome"
)

// JobChange is a change of one job that has to be written to the store.
type JobChange struct {
	Job job.ID
	// Outcome is set when the job has ended; otherwise Progress is to be stored.
	Outcome  job.State
	Progress job.Progress
	// Customer is the name of the job's customer; empty for a job without a customer.
	Customer string
	// RemainingUse are the resources that a job that has ended may still be using.
	RemainingUse job.RemainingUse
	// LastLateStart is when the last start of a job that has ended was sent that may still be carried out
	// late (job.Record).
	LastLateStart time.Time
	// HasProgress says that the store has progress of the job, which is to be removed when the job ends.
	HasProgress bool
	// ProgressUnchanged says that the store has Progress already, and ProgressAfterSegments that it must
	// not have it before it has all Segments.
	ProgressUnchanged, ProgressAfterSegments bool
	// Segments are the segments of the progress that have changed. RemovedSegments are segments that the
	// store may drop once the job's outcome, if it is set, is stored.
	Segments        []SegmentChange
	RemovedSegments []int64
}

// SegmentChange is a changed segment of a job's progress.
type SegmentChange struct {
	Number  int64
	Segment job.Segment
}

// Commit is what has to be written to the store before run ends are acknowledged to the workers.
type Commit struct {
	Changes            []JobChange
	lastEnds           map[*worker]int64 // number of the last end that may be acknowledged once the changes are written
	startsToOrder      []*run            // to be ordered once the changes are written
	crashedWorkers     []WorkerID        // workers whose crashes are among the changes
	hasRecordedWorkers bool              // the changes record workers for which starts wait
}

// PrepareCommit returns the changes since the last call; the commit is empty when there are none.
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

// IsEmpty reports whether there is nothing to write and no end to acknowledge.
func (c Commit) IsEmpty() bool {
	return len(c.Changes) == 0 && len(c.lastEnds) == 0 && len(c.crashedWorkers) == 0
}

// Withdraw removes the changes of a job from a commit. No end is acknowledged for this commit then, since
// some may be ends of that job.
func (c *Commit) Withdraw(id job.ID) {
	c.Changes = slices.DeleteFunc(c.Changes, func(x JobChange) bool { return x.Job == id })
	clear(c.lastEnds)
}

// ApplyCommit records that the store has all changes of a commit.
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
			if len(j.storedProgress.obsolete) > 0 && j.outcome == "" {
				p.dirty[j] = struct{}{}
			}
			continue
		}
		j.committed = true
		p.outcomes.Put(change.Job, outcome.Outcome{State: change.Outcome, Customer: change.Customer, RecordedAt: p.now})
		p.forgetJobIfIdle(j)
	}
}

// HasStarts reports whether starts are to be ordered, or become possible, once the commit is written.
func (c Commit) HasStarts() bool {
	return len(c.startsToOrder) > 0 || c.hasRecordedWorkers
}

// AreEndsCommitted reports whether all ends that a worker has reported are committed. Ends of jobs whose
// records are still being read are not.
func (p *Pool) AreEndsCommitted(id WorkerID) bool {
	w, ok := p.workers[id]
	return !ok || w.lastCommittedEnd == w.lastReadEnd
}

func (p *Pool) jobChange(j *jobState) JobChange {
	c := JobChange{Job: j.job.ID, Outcome: j.outcome, Customer: j.customer.Name, HasProgress: j.hasStoredProgress}
	if j.outcome == "" {
		p.addProgress(j, &c)
		j.hasStoredProgress = true
		return c
	}
	c.RemainingUse, c.LastLateStart = p.remainingUse(j), p.lastUnansweredAt(j)
	c.RemovedSegments = j.storedProgress.takeAllSegments()
	return c
}
