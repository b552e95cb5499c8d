package outcome

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Outcome is how a job ended, as the store has it.
type Outcome struct {
	State    job.State
	Customer string // whose job it was
	// LearnedAt is when this owner learned of it.
	LearnedAt clock.Time
	// LateStartsExpireAt is until when late starts of its tasks may be carried out; 0 without any.
	LateStartsExpireAt clock.Time
}

// Outcomes are those of jobs, in the order in which they were learned. New makes them.
type Outcomes struct {
	byJob map[job.ID]Outcome
	order []job.ID
}

// New returns no outcomes.
func New() *Outcomes {
	return &Outcomes{byJob: map[job.ID]Outcome{}}
}

// Put takes in the outcome of a job, unless one is known.
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

// Contains says that the outcome of a job is known.
func (o *Outcomes) Contains(id job.ID) bool {
	_, ok := o.byJob[id]
	return ok
}

// ExtendLateStarts takes in that late starts of a job's tasks may be carried out until a time.
func (o *Outcomes) ExtendLateStarts(id job.ID, until clock.Time) {
	if x, known := o.byJob[id]; known && until > x.LateStartsExpireAt {
		x.LateStartsExpireAt = until
		o.byJob[id] = x
	}
}

// Expired lists up to most jobs whose outcomes have been kept for a time. They are forgotten by Forget, once the store has none of them.
func (o *Outcomes) Expired(keep time.Duration, most int, now clock.Time) []job.ID {
	n := 0
	for n < len(o.order) && n < most && now.Sub(o.byJob[o.order[n]].LearnedAt) >= keep {
		n++
	}
	return slices.Clone(o.order[:n])
}

// Forget forgets outcomes that Expired listed.
func (o *Outcomes) Forget(ids []job.ID) {
	for _, id := range ids {
		delete(o.byJob, id)
	}
	o.order = o.order[len(ids):]
}
