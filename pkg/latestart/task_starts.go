package latestart

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// MaxDelay is how long after it was sent an order without an answer may still be carried out: workers
// have carried out such orders 2 to 12 s after they were sent.
const MaxDelay = 12 * time.Second

// Start is a late start: one that the next incarnation of its worker may carry out.
type Start struct {
	Number int // number of its run
	// Incarnation is the number, above 0, of the incarnation to which the start was last attributed; 0
	// when a previous owner sent the start.
	Incarnation int64
	// Worker is the name of the worker that the task is bound to until the start expires; empty when the
	// task may run on any worker.
	Worker    string
	ExpiresAt clock.Time
	// FromPreviousOwner says that a previous owner sent the start, and Invalidated that this previous
	// owner knew the start to have no effect on the incarnation it was sent to.
	FromPreviousOwner, Invalidated bool
	returned                       bool // returned by TakeNewBlocking
}

// RunNumbers are the run numbers of a task, or of its whole gang.
type RunNumbers struct {
	LastAssigned int // highest number assigned to a run
	LastEnded    int // highest number of a run whose end was processed
}

// TaskStarts keeps the late starts of one task. The zero value has none.
type TaskStarts struct {
	starts []Start
	// unanswered has the starts without an answer as they are put into the store (unanswered.go).
	unanswered []job.UnansweredStart
}

// Add adds a start that may come late.
func (t *TaskStarts) Add(s Start) {
	t.starts = append(t.starts, s)
}

// HasStarts reports whether the task has late starts.
func (t *TaskStarts) HasStarts() bool {
	return len(t.starts) > 0
}

// HasNumber reports whether a late start has the run number.
func (t *TaskStarts) HasNumber(number int) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.Number == number })
}

// LastExpiry returns when the last late start expires; 0 without any.
func (t *TaskStarts) LastExpiry() clock.Time {
	var last clock.Time
	for _, s := range t.starts {
		last = max(last, s.ExpiresAt)
	}
	return last
}

// isNumberReused reports whether the next run of the task has the number of the start.
func (s Start) isNumberReused(n RunNumbers) bool {
	return s.isBound() && s.Number == n.LastAssigned && n.LastEnded < s.Number
}

// blocksTask reports whether the task must not start again before the late start has expired: the worker
// that the task is bound to rejects the number of that start, since a run with it has ended there.
func (s Start) blocksTask(n RunNumbers) bool {
	return s.isBound() && !s.isNumberReused(n)
}

func (s Start) isBound() bool {
	return s.Worker != ""
}

// ReusesNumber reports whether the next run has the number of a late start.
func (t *TaskStarts) ReusesNumber(n RunNumbers) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.isNumberReused(n) })
}

// ReusesNumberOn reports whether the next run, if it is on the worker, has the number of a late start.
func (t *TaskStarts) ReusesNumberOn(worker string, n RunNumbers) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.Worker == worker && s.isNumberReused(n) })
}

// IsBlocked reports whether the task must not start before a late start has expired.
func (t *TaskStarts) IsBlocked(n RunNumbers) bool {
	return t.BlockedUntil(n) != 0
}

// BlockedUntil returns the earliest time at which the task may start; 0 when it may start now.
func (t *TaskStarts) BlockedUntil(n RunNumbers) clock.Time {
	for _, s := range t.starts {
		if s.blocksTask(n) {
			return s.ExpiresAt
		}
	}
	return 0
}

// TakeNewBlocking returns the late starts that block the task and that no earlier call has returned.
func (t *TaskStarts) TakeNewBlocking(n RunNumbers) []Start {
	var out []Start
	for i := range t.starts {
		s := &t.starts[i]
		if s.returned || !s.blocksTask(n) {
			continue
		}
		s.returned = true
		out = append(out, *s)
	}
	return out
}

// MayRunOn reports whether the task may start on the worker.
func (t *TaskStarts) MayRunOn(worker string) bool {
	return !slices.ContainsFunc(t.starts, func(s Start) bool { return s.isBound() && s.Worker != worker })
}

// IsBound reports whether the task may start on one worker only.
func (t *TaskStarts) IsBound() bool {
	return slices.ContainsFunc(t.starts, Start.isBound)
}

// RemoveIfExecutedLate is called when an incarnation of a worker runs, or has run, a start that was not
// known to be there. It removes the late start that was carried out, if only one can be meant.
func (t *TaskStarts) RemoveIfExecutedLate(incarnation int64, worker string, number int) {
	of := func(s Start) bool { return s.Number == number }
	n := slices.IndexFunc(t.starts, of)
	if n < 0 || slices.ContainsFunc(t.starts[n+1:], of) {
		return
	}
	if s := t.starts[n]; !s.FromPreviousOwner && s.Worker == worker && s.Incarnation != incarnation {
		t.starts = slices.Delete(t.starts, n, n+1)
	}
}

// ExpiryConditions tell whether a run that an incarnation has begun, and that no worker has reported, has
// ended.
type ExpiryConditions struct {
	// LastAnsweredPollSentAt returns when the last poll was sent that an incarnation of the worker has
	// answered.
	LastAnsweredPollSentAt func(worker string) clock.Time
	// LeasesExtendedBy returns when the last call that extends leases was sent to the worker, at the latest. The next
	// incarnation may carry it out late, after a late start.
	LeasesExtendedBy func(worker string) clock.Time
	// LeaseTime is how long a run may go on under its lease without contact to its owner.
	LeaseTime time.Duration
	// IsOwnershipConfirmedSince reports whether the store has confirmed this owner at or after a time.
	IsOwnershipConfirmedSince func(since clock.Time) bool
}

// isExpired reports whether the start can't be carried out any more. For a bound task it also requires that
// a run which began from the start and which no worker has reported has ended: the worker has answered a
// poll sent after the expiry, or leases have expired since and the ownership was confirmed after that.
func (s Start) isExpired(conditions ExpiryConditions, now clock.Time) bool {
	if !s.isBound() || now < s.ExpiresAt {
		return now >= s.ExpiresAt
	}
	leaseExpiry := max(s.ExpiresAt, conditions.LeasesExtendedBy(s.Worker).Add(MaxDelay)).Add(conditions.LeaseTime)
	return conditions.LastAnsweredPollSentAt(s.Worker) >= s.ExpiresAt || now >= leaseExpiry && conditions.IsOwnershipConfirmedSince(leaseExpiry)
}

// RemoveExpired removes the late starts that have expired.
func (t *TaskStarts) RemoveExpired(conditions ExpiryConditions, now clock.Time) {
	t.starts = slices.DeleteFunc(t.starts, func(s Start) bool { return s.isExpired(conditions, now) })
}

// UnbindUnusable lets the task run on any worker when the one that it is bound to can't be given it.
func (t *TaskStarts) UnbindUnusable(usable func(worker string) bool) {
	for i, s := range t.starts {
		if s.isBound() && !usable(s.Worker) {
			t.starts[i].Worker = ""
		}
	}
}
