package dispatch

import (
	"iter"
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// waitingQueue holds the steps that have waiting tasks and whose dependencies are done, sorted by rank.
// The rank of a step changes with time only when its value class does, so the order is kept between
// plans and not computed anew for each one.
type waitingQueue struct {
	ranked     []waitingStep // may still contain steps that were removed
	unranked   []waitingStep // added since the last sort
	stepCount  int
	gangCount  int   // the number of gangs among the steps
	lastSeq    int64 // the last waitingSeq that was assigned
	hasRemoved bool  // steps were removed since the last sort
	// nextRankChange is the earliest time at which the value class of a ranked step changes.
	nextRankChange clock.Time
}

// waitingStep is a step in the waiting queue.
type waitingStep struct {
	step *step
	// seq is the step's waitingSeq when it was added. If the step now has a different one, it was
	// removed after that.
	seq            int64
	rank           worth.Rank
	nextRankChange clock.Time // when the step's value class changes next
	// onlyRequestsAdvice says that the step can't do anything in a plan except request advice and start
	// on workers for which it has tickets.
	onlyRequestsAdvice bool
}

// isQueued reports whether a step is in the waiting queue.
func (s *step) isQueued() bool {
	return s.waitingSeq != 0
}

// add adds a step that is not in the queue.
func (q *waitingQueue) add(s *step) {
	q.lastSeq++
	s.waitingSeq = q.lastSeq
	q.unranked = append(q.unranked, waitingStep{step: s, seq: s.waitingSeq})
	q.adjustCounts(s, 1)
}

// remove removes a step if it is in the queue.
func (q *waitingQueue) remove(s *step) {
	if !s.isQueued() {
		return
	}
	s.waitingSeq = 0
	q.hasRemoved = true
	q.adjustCounts(s, -1)
}

func (q *waitingQueue) adjustCounts(s *step, n int) {
	q.stepCount += n
	if s.spec.Gang {
		q.gangCount += n
	}
}

// invalidateRanks has the ranks of all steps computed anew in the next sort, since what they depend on
// has changed.
func (q *waitingQueue) invalidateRanks() {
	q.unranked = append(q.unranked, q.ranked...)
	q.ranked = q.ranked[:0]
}

// all iterates over the steps in no particular order.
func (q *waitingQueue) all() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for _, list := range [][]waitingStep{q.ranked, q.unranked} {
			for _, e := range list {
				if e.step.waitingSeq == e.seq && !yield(e.step) {
					return
				}
			}
		}
	}
}

// sort returns the steps sorted by rank. The list is valid until the next call; steps that are removed
// meanwhile stay in it.
func (q *waitingQueue) sort(now clock.Time) []waitingStep {
	if len(q.unranked) == 0 && !q.hasRemoved && now < q.nextRankChange {
		return q.ranked
	}
	kept, moved := q.ranked[:0], q.unranked
	for _, e := range q.ranked {
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
	q.ranked = mergeSteps(kept, moved)
	q.unranked, q.hasRemoved = moved[:0], false
	q.nextRankChange = worth.NoChange
	for i := range q.ranked {
		q.nextRankChange = min(q.nextRankChange, q.ranked[i].nextRankChange)
	}
	return q.ranked
}

// updateRank computes the rank of a step anew.
func (e *waitingStep) updateRank(now clock.Time) {
	w := e.step.pendingWork()
	e.rank, e.nextRankChange = e.step.rank(now), w.NextClassChange(now)
	e.onlyRequestsAdvice = e.rank.ValueClass > worth.InTime && e.step.occurrence.job.queue.Advice != nil && !e.step.occurrence.job.suspected &&
		!(e.step.spec.Gang && e.rank.ValueClass == worth.NoValue)
}

// mayOnlyRequestAdvice reports whether the step does nothing in a plan unless it may request advice:
// its end is late at best, so it preempts no runs and reserves no workers, and it has no tickets to
// start with.
func (e *waitingStep) mayOnlyRequestAdvice(now clock.Time) bool {
	s := e.step
	return e.onlyRequestsAdvice && now.Add(minTicketValidity) >= s.advice.ticketsExpireAt && s.idleTasks > 0 && (!s.spec.Gang || s.runningTasks == 0)
}

// mergeSteps merges two sorted lists of steps into the first one, in place if its capacity allows.
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
