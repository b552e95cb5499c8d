package dispatch

import (
	"iter"
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// waitingSteps are the steps whose turn has come and that have waiting tasks, in the order in which they go. A place changes with
// time only when the standing of a step does, so the order is kept and not made anew for each plan.
type waitingSteps struct {
	ordered []waitingStep // may still have some that were removed
	added   []waitingStep // since the last sort, without places
	count   int
	gangs   int   // of them
	last    int64 // entry that was given last
	removed bool  // since the last sort
	// changesAt is when the standing of one of the ordered ones changes first.
	changesAt clock.Time
}

// waitingStep is a step as it stands in the order.
type waitingStep struct {
	step      *step
	entry     int64 // of the step when it was put; another one stands for another wait
	place     worth.Place
	changesAt clock.Time // when the standing changes
	// onlyAsks says that, but for workers that it has tickets for, the step can do nothing in a plan but ask for advice.
	onlyAsks bool
}

// waits says that a step is among the waiting ones.
func (s *step) waits() bool {
	return s.entry != 0
}

// put adds a step that is not among them.
func (o *waitingSteps) put(s *step) {
	o.last++
	s.entry = o.last
	o.added = append(o.added, waitingStep{step: s, entry: s.entry})
	o.countOne(s, 1)
}

// remove takes a step out, if it is among them.
func (o *waitingSteps) remove(s *step) {
	if !s.waits() {
		return
	}
	s.entry = 0
	o.removed = true
	o.countOne(s, -1)
}

func (o *waitingSteps) countOne(s *step, n int) {
	o.count += n
	if s.spec.Gang {
		o.gangs += n
	}
}

// reorder has the places of all steps be worked out anew: what they depend on has changed.
func (o *waitingSteps) reorder() {
	o.added = append(o.added, o.ordered...)
	o.ordered = o.ordered[:0]
}

// all goes through the steps in no particular order.
func (o *waitingSteps) all() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, list := range [][]waitingStep{o.ordered, o.added} {
			for _, e := range list {
				if e.step.entry == e.entry && !yield(e.step) {
					return
				}
			}
		}
	}
}

// sort returns the steps in their order. The list holds until the next call; steps that are removed meanwhile stay on it.
func (o *waitingSteps) sort(now clock.Time) []waitingStep {
	if len(o.added) == 0 && !o.removed && now < o.changesAt {
		return o.ordered
	}
	kept, moved := o.ordered[:0], o.added
	for _, e := range o.ordered {
		switch {
		case e.step.entry != e.entry:
		case now >= e.changesAt:
			moved = append(moved, e)
		default:
			kept = append(kept, e)
		}
	}
	moved = slices.DeleteFunc(moved, func(e waitingStep) bool { return e.step.entry != e.entry })
	for i := range moved {
		moved[i].put(now)
	}
	slices.SortFunc(moved, func(a, b waitingStep) int { return a.place.Compare(b.place) })
	o.ordered = mergeSteps(kept, moved)
	o.added, o.removed = moved[:0], false
	o.changesAt = worth.NeverChanges
	for i := range o.ordered {
		o.changesAt = min(o.changesAt, o.ordered[i].changesAt)
	}
	return o.ordered
}

// put gives a step its place.
func (e *waitingStep) put(now clock.Time) {
	w := e.step.waitingWork()
	e.place, e.changesAt = e.step.place(now), w.StandingChanges(now)
	e.onlyAsks = e.place.Standing > worth.InTime && e.step.time.job.queue.Advice != nil && !e.step.time.job.suspected &&
		!(e.step.spec.Gang && e.place.Standing == worth.Worthless)
}

// idles says that the step does nothing in a plan unless it may ask for advice: it stops no other runs and holds no workers, since its end is late
// at best, and it has no tickets to start with.
func (e *waitingStep) idles(now clock.Time) bool {
	s := e.step
	return e.onlyAsks && now.Add(ticketMargin) >= s.advice.ticketsUntil && s.idle > 0 && (!s.spec.Gang || s.runs == 0)
}

// mergeSteps adds sorted steps to sorted ones, in place where there is room.
func mergeSteps(to, from []waitingStep) []waitingStep {
	i, j := len(to)-1, len(from)-1
	to = slices.Grow(to, len(from))[:len(to)+len(from)]
	for k := len(to) - 1; j >= 0; k-- {
		if i >= 0 && to[i].place.Compare(from[j].place) > 0 {
			to[k] = to[i]
			i--
		} else {
			to[k] = from[j]
			j--
		}
	}
	return to
}
