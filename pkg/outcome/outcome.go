package outcome

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Outcome is how a job ended, as stored.
type Outcome struct {
	State    job.State
	Customer string // customer of the job
	// RecordedAt is when this owner added the outcome.
	RecordedAt clock.Time
	// LateStartsExpireAt is until when late starts of the job's tasks may be carried out; 0 without any.
	LateStartsExpireAt clock.Time
}

// Outcomes has the outcomes of jobs in the order in which they were added. New makes one.
type Outcomes struct {
	byJob map[job.ID]Outcome
	order []job.ID
}

// New returns an empty Outcomes.
func New() *Outcomes {
	return &Outcomes{byJob: map[job.ID]Outcome{}}
}

// Put adds the outcome of a job, unless one is known.
func (o *Outcomes) Put(id job.ID, x Outcome) {
	if o.Contains(id) {
		return
	}
	o.byJob[id] = x
	o.order = append(o.order, id)
}

// Find returns the outcome of a job; ok is false when none is known.
func (o *Outcomes) Find(id job.ID) (x Outcome, ok bool) {
	x, ok = o.byJob[id]
	return x, ok
}

// Contains reports whether the outcome of a job is known.
func (o *Outcomes) Contains(id job.ID) bool {
	_, ok := o.byJob[id]
	return ok
}

// ExtendLateStarts records that late starts of the job's tasks may be carried out until a time, if that
// is later than known.
func (o *Outcomes) ExtendLateStarts(id job.ID, until clock.Time) {
	if x, known := o.byJob[id]; known && until > x.LateStartsExpireAt {
		x.LateStartsExpireAt = until
		o.byJob[id] = x
	}
}

// Expired returns up to maxJobs jobs whose outcomes have been kept for a time, the oldest first. Once the
// store has none of them, Forget removes them.
func (o *Outcomes) Expired(keep time.Duration, maxJobs int, now clock.Time) []job.ID {
	n := 0
	for n < len(o.order) && n < maxJobs && now.Sub(o.byJob[o.order[n]].RecordedAt) >= keep {
		n++
	}
	return slices.Clone(o.order[:n])
}

// Forget removes the outcomes of the jobs that Expired returned last.
func (o *Outcomes) Forget(ids []job.ID) {
	for _, id := range ids {
		delete(o.byJob, id)
	}
	o.order = o.order[len(ids):]
}
