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
	// Since is when this owner learned of it.
	Since clock.Time
	// LateUntil is until when late starts of its tasks may be carried out; 0 without any.
	LateUntil clock.Time
}

// Outcomes are those of jobs, in the order in which they were learned. New makes them.
type Outcomes struct {
	of    map[job.ID]Outcome
	order []job.ID
}

// New returns no outcomes.
func New() *Outcomes {
	return &Outcomes{of: map[job.ID]Outcome{}}
}

// Put takes in the outcome of a job, unless one is known.
func (o *Outcomes) Put(id job.ID, x Outcome) {
	if o.Knows(id) {
		return
	}
	o.of[id] = x
	o.order = append(o.order, id)
}

// Of returns the outcome of a job; ok is false when none is known.
func (o *Outcomes) Of(id job.ID) (x Outcome, ok bool) {
	x, ok = o.of[id]
	return x, ok
}

// Knows says that the outcome of a job is known.
func (o *Outcomes) Knows(id job.ID) bool {
	_, ok := o.of[id]
	return ok
}

// MayRunLateUntil takes in that late starts of a job's tasks may be carried out until a time.
func (o *Outcomes) MayRunLateUntil(id job.ID, until clock.Time) {
	if x, known := o.of[id]; known && until > x.LateUntil {
		x.LateUntil = until
		o.of[id] = x
	}
}

// Expired lists up to most jobs whose outcomes have been kept for a time. They are forgotten by Forget, once the store has none of them.
func (o *Outcomes) Expired(keep time.Duration, most int, now clock.Time) []job.ID {
	n := 0
	for n < len(o.order) && n < most && now.Sub(o.of[o.order[n]].Since) >= keep {
		n++
	}
	return slices.Clone(o.order[:n])
}

// Forget forgets outcomes that Expired listed.
func (o *Outcomes) Forget(ids []job.ID) {
	for _, id := range ids {
		delete(o.of, id)
	}
	o.order = o.order[len(ids):]
}
