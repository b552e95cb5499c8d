package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// outcome is how a job ended, as the store has it.
type outcome struct {
	state    job.State
	customer string // whose job it was
	// since is when this owner learned of it.
	since clock.Time
	// lateUntil is until when late starts of its tasks may be carried out; 0 without any.
	lateUntil clock.Time
}

// outcomes keeps the ends of jobs for as long as callers may ask for them, in the order in
// which they were learned.
type outcomes struct {
	of    map[job.ID]outcome
	order []job.ID
}

func newOutcomes() outcomes {
	return outcomes{of: map[job.ID]outcome{}}
}

func (o *outcomes) put(id job.ID, state job.State, customer string, now clock.Time) {
	o.putLate(id, state, customer, 0, now)
}

func (o *outcomes) putLate(id job.ID, state job.State, customer string, lateUntil, now clock.Time) {
	if _, known := o.of[id]; known {
		return
	}
	o.of[id] = outcome{state, customer, now, lateUntil}
	o.order = append(o.order, id)
}

// mayRunLateUntil takes in that late starts of a job's tasks may be carried out until a time.
func (o *outcomes) mayRunLateUntil(id job.ID, until clock.Time) {
	if x, known := o.of[id]; known && until > x.lateUntil {
		x.lateUntil = until
		o.of[id] = x
	}
}

func (o *outcomes) knows(id job.ID) bool {
	_, ok := o.of[id]
	return ok
}

// ExpiredOutcomes lists up to most jobs whose outcomes have been kept for a time. They are
// forgotten by ForgetOutcomes, once the store has none of them.
func (p *Pool) ExpiredOutcomes(keep time.Duration, most int, now clock.Time) []job.ID {
	n := 0
	for n < len(p.outcomes.order) && n < most && now.Sub(p.outcomes.of[p.outcomes.order[n]].since) >= keep {
		n++
	}
	return append([]job.ID(nil), p.outcomes.order[:n]...)
}

// ForgetOutcomes forgets outcomes that ExpiredOutcomes listed.
func (p *Pool) ForgetOutcomes(ids []job.ID) {
	for _, id := range ids {
		delete(p.outcomes.of, id)
	}
	p.outcomes.order = p.outcomes.order[len(ids):]
}
