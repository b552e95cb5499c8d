package latestart

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Lasts is how long after it was sent an order without an answer may be carried out at the latest: workers were seen to do
// so 2 to 12 s later.
const Lasts = 12 * time.Second

// Start is a start of a task that the next life of its worker may carry out.
type Start struct {
	Number int // of its run
	// Life is the one that the start was counted on last, by a number above 0; 0 for that of a former owner.
	Life int64
	// Worker names the one that the task is bound to meanwhile; empty when any may be given it.
	Worker string
	Until  clock.Time
	// Former says that a former owner sent it, and Void that this owner knew that it was void.
	Former, Void bool
	listed       bool // by NewlyOutwaited
}

// Numbers are those of the runs of a task, or of its whole gang.
type Numbers struct {
	Given int // the highest that was given to a run
	Ended int // the highest of which an end was taken in
}

// Task is what is kept of the late starts of one task. The zero value has none.
type Task struct {
	starts []Start
	// unanswered is as the store is told (stored.go).
	unanswered []job.Unanswered
}

// Add takes in that a start may come late.
func (t *Task) Add(s Start) {
	t.starts = append(t.starts, s)
}

// Any says that there are late starts.
func (t *Task) Any() bool {
	return len(t.starts) > 0
}

// Has says that there is a late start with a number.
func (t *Task) Has(number int) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.Number == number })
}

// Until is until when late starts may be carried out; 0 without any.
func (t *Task) Until() clock.Time {
	var until clock.Time
	for _, s := range t.starts {
		until = max(until, s.Until)
	}
	return until
}

// repeatedBy says that the next run of the task has the number of the start.
func (s Start) repeatedBy(n Numbers) bool {
	return s.bound() && s.Number == n.Given && n.Ended < s.Number
}

// outwaitedBy says that the task must not start again before the late start is over: the worker that it is bound to rejects the number of that start, since a
// run with it has ended there.
func (s Start) outwaitedBy(n Numbers) bool {
	return s.bound() && !s.repeatedBy(n)
}

func (s Start) bound() bool {
	return s.Worker != ""
}

// Repeats says that the next run has the number of a late start.
func (t *Task) Repeats(n Numbers) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.repeatedBy(n) })
}

// RepeatsOn says that the next run has the number of a late start if it is on a worker.
func (t *Task) RepeatsOn(worker string, n Numbers) bool {
	return slices.ContainsFunc(t.starts, func(s Start) bool { return s.Worker == worker && s.repeatedBy(n) })
}

// Outwaits says that the task does not start before a late start is over.
func (t *Task) Outwaits(n Numbers) bool {
	return t.OutwaitedUntil(n) != 0
}

// OutwaitedUntil is until when the task does not start, at the earliest; 0 when it may.
func (t *Task) OutwaitedUntil(n Numbers) clock.Time {
	for _, s := range t.starts {
		if s.outwaitedBy(n) {
			return s.Until
		}
	}
	return 0
}

// NewlyOutwaited lists the starts that keep the task from starting, each once.
func (t *Task) NewlyOutwaited(n Numbers) []Start {
	var out []Start
	for i := range t.starts {
		s := &t.starts[i]
		if s.listed || !s.outwaitedBy(n) {
			continue
		}
		s.listed = true
		out = append(out, *s)
	}
	return out
}

// MayRunOn says whether the task may be started on a worker.
func (t *Task) MayRunOn(worker string) bool {
	return !slices.ContainsFunc(t.starts, func(s Start) bool { return s.bound() && s.Worker != worker })
}

// Bound says that the task may be given to one worker only.
func (t *Task) Bound() bool {
	return slices.ContainsFunc(t.starts, Start.bound)
}

// CarriedOutLate takes in that a life of a worker runs, or has run, a start that was not known to be there: the late one, if there is just one that it can be.
func (t *Task) CarriedOutLate(life int64, worker string, number int) {
	of := func(s Start) bool { return s.Number == number }
	n := slices.IndexFunc(t.starts, of)
	if n < 0 || slices.ContainsFunc(t.starts[n+1:], of) {
		return
	}
	if s := t.starts[n]; !s.Former && s.Worker == worker && s.Life != life {
		t.starts = slices.Delete(t.starts, n, n+1)
	}
}

// Signs tell whether what a life has begun unheard has ended.
type Signs struct {
	// HeardAt is when the last call was sent to a worker that a life of it has answered.
	HeardAt func(worker string) clock.Time
	// Lapse is how long a lease may go on unheard.
	Lapse time.Duration
	// Confirmed says that the store has named this owner at or after a time.
	Confirmed func(since clock.Time) bool
}

// over says that a start can't be carried out any more and, for a bound task, that what a life has begun of it that nobody has heard of has ended.
func (s Start) over(signs Signs, now clock.Time) bool {
	if !s.bound() || now < s.Until {
		return now >= s.Until
	}
	lapsed := s.Until.Add(signs.Lapse)
	return signs.HeardAt(s.Worker) >= s.Until || now >= lapsed && signs.Confirmed(lapsed)
}

// DropOver forgets the late starts that are over.
func (t *Task) DropOver(signs Signs, now clock.Time) {
	t.starts = slices.DeleteFunc(t.starts, func(s Start) bool { return s.over(signs, now) })
}

// Unbind lets the task go elsewhere when the worker that it is bound to can't be given it.
func (t *Task) Unbind(usable func(worker string) bool) {
	for i, s := range t.starts {
		if s.bound() && !usable(s.Worker) {
			t.starts[i].Worker = ""
		}
	}
}
