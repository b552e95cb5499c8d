package dispatch

import (
	"iter"
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// waitingQueue are the steps whose turn has come and that have waiting tasks, in the order in which they go. A place changes with
// time only when the standing of a step does, so the order is kept and not made anew for each plan.
type waitingQueue struct {
	ranked     []waitingStep // may still have some that were removed
	unranked   []waitingStep // since the last sort, without places
	stepCount  int
	gangCount  int   // of them
	lastSeq    int64 // entry that was given last
	hasRemoved bool  // since the last sort
	// nextRankChange is when the standing of one of the ordered ones changes first.
	nextRankChange clock.Time
}

// waitingStep is a step as it stands in the order.
type waitingStep struct {
	step           *step
	seq            int64 // of the step when it was put; another one stands for another wait
	rank           worth.Rank
	nextRankChange clock.Time // when the standing changes
	// onlyRequestsAdvice says that, but for workers that it has tickets for, the step can do nothing in a plan but ask for advice.
	onlyRequestsAdvice bool
}

// isQueued says that a step is among the waiting ones.
func (s *step) isQueued() bool {
	return s.waitingSeq != 0
}

// put adds a step that is not among them.
func (o *waitingQueue) add(s *step) {
	o.lastSeq++
	s.waitingSeq = o.lastSeq
	o.unranked = append(o.unranked, waitingStep{step: s, seq: s.waitingSeq})
	o.adjustCounts(s, 1)
}

// remove takes a step out, if it is among them.
func (o *waitingQueue) remove(s *step) {
	if !s.isQueued() {
		return
	}
	s.waitingSeq = 0
	o.hasRemoved = true
	o.adjustCounts(s, -1)
}

func (o *waitingQueue) adjustCounts(s *step, n int) {
	o.stepCount += n
	if s.spec.Gang {
		o.gangCount += n
	}
}

// invalidateRanks has the places of all steps be worked out anew: what they depend on has changed.
func (o *waitingQueue) invalidateRanks() {
	o.unranked = append(o.unranked, o.ranked...)
	o.ranked = o.ranked[:0]
}

// all goes through the steps in no particular order.
func (o *waitingQueue) all() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, list := range [][]waitingStep{o.ranked, o.unranked} {
			for _, e := range list {
				if e.step.waitingSeq == e.seq && !yield(e.step) {
					return
				}
			}
		}
	}
}

// sort returns the steps in their order. The list holds until the next call; steps that are removed meanwhile stay on it.
func (o *waitingQueue) sort(now clock.Time) []waitingStep {
	if len(o.unranked) == 0 && !o.hasRemoved && now < o.nextRankChange {
		return o.ranked
	}
	kept, moved := o.ranked[:0], o.unranked
	for _, e := range o.ranked {
		switch {
		case e.step.waitingSeq != e.seq:
		case now >= e.nextRankChange:
			moved = append(moved, e)
		default:
			kept = append(kept, e)
		}
	}
	moved = slices.DeleteFunc(moved, func(e waitingStep) bool { return e.step.waitingSeq != e.seq })
	for i := range moved {
		moved[i].updateRank(now)
	}
	slices.SortFunc(moved, func(a, b waitingStep) int { return a.rank.Compare(b.rank) })
	o.ranked = mergeSteps(kept, moved)
	o.unranked, o.hasRemoved = moved[:0], false
	o.nextRankChange = worth.NoChange
	for i := range o.ranked {
		o.nextRankChange = min(o.nextRankChange, o.ranked[i].nextRankChange)
	}
	return o.ranked
}

// put gives a step its place.
func (e *waitingStep) updateRank(now clock.Time) {
	w := e.step.pendingWork()
	e.rank, e.nextRankChange = e.step.rank(now), w.NextClassChange(now)
	e.onlyRequestsAdvice = e.rank.ValueClass > worth.InTime && e.step.occurrence.job.queue.Advice != nil && !e.step.occurrence.job.suspected &&
		!(e.step.spec.Gang && e.rank.ValueClass == worth.NoValue)
}

// mayOnlyRequestAdvice says that the step does nothing in a plan unless it may ask for advice: it stops no other runs and holds no workers, since its end is late
// at best, and it has no tickets to start with.
func (e *waitingStep) mayOnlyRequestAdvice(now clock.Time) bool {
	s := e.step
	return e.onlyRequestsAdvice && now.Add(minTicketValidity) >= s.advice.ticketsExpireAt && s.idleTasks > 0 && (!s.spec.Gang || s.runningTasks == 0)
}

// mergeSteps adds sorted steps to sorted ones, in place where there is room.
func mergeSteps(to, from []waitingStep) []waitingStep {
	i, j := len(to)-1, len(from)-1
	to = slices.Grow(to, len(from))[:len(to)+len(from)]
	for k := len(to) - 1; j >= 0; k-- {
		if i >= 0 && to[i].rank.Compare(from[j].rank) > 0 {
			to[k] = to[i]
			i--
		} else {
			to[k] = from[j]
			j--
		}
	}
	return to
}
