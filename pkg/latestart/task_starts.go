package latestart

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// MaxDelay is how long after it was sent an order without an answer may be carried out at the latest: workers were seen to do
// so 2 to 12 s later.
const MaxDelay = 12 * time.Second

// Start is a start of a task that the next life of its worker may carry out.
type Start struct {
	Number int // of its run
	// Incarnation is the one that the start was counted on last, by a number above 0; 0 for that of a former owner.
	Incarnation int64
	// Worker names the one that the task is bound to meanwhile; empty when any may be given it.
	Worker    string
	ExpiresAt clock.Time
	// FromPreviousOwner says that a former owner sent it, and Void that this owner knew that it was void.
	FromPreviousOwner, Invalidated bool
	listed                         bool // by TakeNewBlocking
}

// RunNumbers are those of the runs of a task, or of its whole gang.
type RunNumbers struct {
	LastAssigned int // the highest that was given to a run
	LastEnded    int // the highest of which an end was taken in
}

// TaskStarts is what is kept of the late starts of one task. The zero value has none.
type TaskStarts struct {
	starts []Start
	// unanswered is as the store is told (stored.go).
	unanswered []job.Unanswered
}

// Add takes in that a start may come late.
func (t *TaskStarts) Add(s Start) {
	t.starts = append(t.starts, s)
}

// HasStarts says that there are late starts.
func (t *TaskStarts) HasStarts() bool {
	return len(t.starts) > 0
}

// HasNumber says that there is a late start with a number.
func (t *TaskStarts) HasNumber(number int) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.Number == number })
}

// Until is until when late starts may be carried out; 0 without any.
func (t *TaskStarts) LastExpiry() clock.Time {
	var until clock.Time
	for _, s := range t.starts {
		until = max(until, s.ExpiresAt)
	}
	return until
}

// isNumberReused says that the next run of the task has the number of the start.
func (s Start) isNumberReused(n RunNumbers) bool {
	return s.isBound() && s.Number == n.LastAssigned && n.LastEnded < s.Number
}

// blocksTask says that the task must not start again before the late start is over: the worker that it is bound to rejects the number of that start, since a
// run with it has ended there.
func (s Start) blocksTask(n RunNumbers) bool {
	return s.isBound() && !s.isNumberReused(n)
}

func (s Start) isBound() bool {
	return s.Worker != ""
}

// ReusesNumber says that the next run has the number of a late start.
func (t *TaskStarts) ReusesNumber(n RunNumbers) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.isNumberReused(n) })
}

// ReusesNumberOn says that the next run has the number of a late start if it is on a worker.
func (t *TaskStarts) ReusesNumberOn(worker string, n RunNumbers) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.Worker == worker && s.isNumberReused(n) })
}

// IsBlocked says that the task does not start before a late start is over.
func (t *TaskStarts) IsBlocked(n RunNumbers) bool {
	return t.BlockedUntil(n) != 0
}

// BlockedUntil is until when the task does not start, at the earliest; 0 when it may.
func (t *TaskStarts) BlockedUntil(n RunNumbers) clock.Time {
	for _, s := range t.starts {
		if s.blocksTask(n) {
			return s.ExpiresAt
		}
	}
	return 0
}

// TakeNewBlocking lists the starts that keep the task from starting, each once.
func (t *TaskStarts) TakeNewBlocking(n RunNumbers) []Start {
	var out []Start
	for i := range t.starts {
		s := &t.starts[i]
		if s.listed || !s.blocksTask(n) {
			continue
		}
		s.listed = true
		out = append(out, *s)
	}
	return out
}

// MayRunOn says whether the task may be started on a worker.
func (t *TaskStarts) MayRunOn(worker string) bool {
	return !slices.ContainsFunc(t.starts, func(s Start) bool { return s.isBound() && s.Worker != worker })
}

// IsBound says that the task may be given to one worker only.
func (t *TaskStarts) IsBound() bool {
	return slices.ContainsFunc(t.starts, Start.isBound)
}

// RemoveIfExecutedLate takes in that a life of a worker runs, or has run, a start that was not known to be there: the late one, if there is just one that it can be.
func (t *TaskStarts) RemoveIfExecutedLate(life int64, worker string, number int) {
	of := func(s Start) bool { return s.Number == number }
	n := slices.IndexFunc(t.starts, of)
	if n < 0 || slices.ContainsFunc(t.starts[n+1:], of) {
		return
	}
	if s := t.starts[n]; !s.FromPreviousOwner && s.Worker == worker && s.Incarnation != life {
		t.starts = slices.Delete(t.starts, n, n+1)
	}
}

// ExpiryConditions tell whether what a life has begun unheard has ended.
type ExpiryConditions struct {
	// LastAnsweredPollSentAt is when the last call was sent to a worker that a life of it has answered.
	LastAnsweredPollSentAt func(worker string) clock.Time
	// LeaseTime is how long a lease may go on unheard.
	LeaseTime time.Duration
	// IsOwnershipConfirmedSince says that the store has named this owner at or after a time.
	IsOwnershipConfirmedSince func(since clock.Time) bool
}

// isExpired says that a start can't be carried out any more and, for a bound task, that what a life has begun of it that nobody has heard of has ended.
func (s Start) isExpired(signs ExpiryConditions, now clock.Time) bool {
	if !s.isBound() || now < s.ExpiresAt {
		return now >= s.ExpiresAt
	}
	lapsed := s.ExpiresAt.Add(signs.LeaseTime)
	return signs.LastAnsweredPollSentAt(s.Worker) >= s.ExpiresAt || now >= lapsed && signs.IsOwnershipConfirmedSince(lapsed)
}

// RemoveExpired forgets the late starts that are over.
func (t *TaskStarts) RemoveExpired(signs ExpiryConditions, now clock.Time) {
	t.starts = slices.DeleteFunc(t.starts, func(s Start) bool { return s.isExpired(signs, now) })
}

// UnbindUnusable lets the task go elsewhere when the worker that it is bound to can't be given it.
func (t *TaskStarts) UnbindUnusable(usable func(worker string) bool) {
	for i, s := range t.starts {
		if s.isBound() && !usable(s.Worker) {
			t.starts[i].Worker = ""
		}
	}
}
