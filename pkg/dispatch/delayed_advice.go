package dispatch

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// adviceDelayLimit is how long a step of a job of which nothing runs may wait for a call for advice before
// it goes before the others. The platform counts a job lost that has waited 3 s while there was room;
// a call and a start take up to 0.9 s of these.
const adviceDelayLimit = time.Second

// extraLongCalls is how many long calls more than else may be on their way for steps that starve. With
// all of nine processes, short calls of the most urgent queue waited for 0.6 s each in a burst.
const extraLongCalls = 1

// requestDelayedAdvice makes calls for advice for steps that have waited long, whatever their order, so that few
// processes that make calls don't serve the first steps only. Those go first that have waited longest in
// proportion to the time that a call takes (highest response ratio next, Brinch Hansen 1971).
func (p *Pool) requestDelayedAdvice(ordered []waitingStep, reserved *reservations, now clock.Time, out *Actions) {
	if p.advice.advisers.IdleCount() == 0 || p.isDisabled(DelayedAdviceFirst) {
		return
	}
	var starving delayedAdviceHeap
	for i, e := range ordered {
		s := e.step
		if s.promoted {
			continue // its calls were made in its turn
		}
		if now.Sub(s.awaitsAdviceSince()) > adviceDelayLimit && p.mayRequestAdvice(s, now) && p.isAdviceDelayed(s, now) && !p.isBlockedByTakeover(s.occurrence.job) && !p.awaitsQuota(s) {
			starving = append(starving, delayedAdviceStep{s, s.responseRatio(now), i})
		}
	}
	heap.Init(&starving)
	for len(starving) > 0 && p.advice.advisers.IdleCount() > 0 {
		s := heap.Pop(&starving).(delayedAdviceStep).step
		p.requestAdvice(s, p.maxLongCalls()+extraLongCalls, reserved, now, out)
	}
}

// delayedAdviceStep is a step that starves, with its response ratio and its place among the steps.
type delayedAdviceStep struct {
	step     *step
	ratio    float64
	position int
}

// delayedAdviceHeap are a heap: those with the highest ratio first, like ones as they have their turns. Of thousands of them, few get calls in a plan.
type delayedAdviceHeap []delayedAdviceStep

func (h delayedAdviceHeap) Len() int { return len(h) }

func (h delayedAdviceHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].ratio, h[i].ratio), cmp.Compare(h[i].position, h[j].position)) < 0
}

func (h delayedAdviceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a step.
func (h *delayedAdviceHeap) Push(x any) { *h = append(*h, x.(delayedAdviceStep)) }

// Pop takes the last step off.
func (h *delayedAdviceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// isAdviceDelayed says that a step has waited too long for a call for advice. In a pool that is well used none does: with the oldest first, each job of a
// backlog gets its advice too late, and the backlog goes on when the burst is over. After 13 s in which one customer sent eight times its
// usual, jobs in time were 3% for the next 30 s, and earned 0.26 of the day in place of 0.60 (one play each, processor time not charged).
func (p *Pool) isAdviceDelayed(s *step, now clock.Time) bool {
	if s.occurrence.job.queue.Advice == nil || now.Sub(s.awaitsAdviceSince()) <= adviceDelayLimit {
		return false
	}
	if s.valueClass(now) == worth.Overdue {
		return true
	}
	return !s.occurrence.job.hasRuns() && (!p.poolLoad(s.occurrence.job.queue.Pool).isMostlyUsed() || p.isDisabled(DelayedAdviceInOrder))
}

// awaitsAdviceSince is since when a step has waited without an answer to a call for advice.
func (s *step) awaitsAdviceSince() clock.Time {
	return max(s.readySince, s.advice.lastAnsweredAt)
}

// responseRatio is how long a step has waited for a call for advice, in parts of the time of a call. A
// task that lasts and is overdue comes first.
func (s *step) responseRatio(now clock.Time) float64 {
	if s.valueClass(now) == worth.Overdue {
		return math.Inf(1)
	}
	return float64(now.Sub(s.awaitsAdviceSince())) / float64(max(s.occurrence.job.queue.Advice.Of(1), time.Millisecond))
}
