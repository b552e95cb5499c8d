package dispatch

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// adviceDelayLimit is how long a step of a job without runs may wait for an advice call before it goes
// before the other steps. The platform counts a job as lost that has waited 3 s while there was room; a call
// and a start take up to 0.9 s of these.
const adviceDelayLimit = time.Second

// extraLongCalls is how many long calls beyond the usual limit may be pending for steps whose advice is
// delayed. When long calls could take all of nine advisers, short calls of the most urgent queue waited 0.6
// s each in a burst.
const extraLongCalls = 1

// requestDelayedAdvice makes advice calls for steps that have waited too long, whatever their rank, so that
// the first steps don't take all advisers when there are few. Those go first that have waited longest in
// proportion to the duration of a call (highest response ratio next, Brinch Hansen 1971).
func (p *Pool) requestDelayedAdvice(ordered []waitingStep, reserved *reservations, now clock.Time, out *Actions) {
	if p.advice.advisers.IdleCount() == 0 || p.isDisabled(DelayedAdviceFirst) {
		return
	}
	var delayed delayedAdviceHeap
	for i, e := range ordered {
		s := e.step
		if s.promoted {
			continue // its calls were made when it was placed
		}
		if now.Sub(s.awaitsAdviceSince()) > adviceDelayLimit && p.mayRequestAdvice(s, now) && p.isAdviceDelayed(s, now) && !p.isStepBlockedByTakeover(s) && !p.awaitsQuota(s) {
			delayed = append(delayed, delayedAdviceStep{s, s.responseRatio(now), i})
		}
	}
	heap.Init(&delayed)
	for len(delayed) > 0 && p.advice.advisers.IdleCount() > 0 {
		s := heap.Pop(&delayed).(delayedAdviceStep).step
		p.requestAdvice(s, p.maxLongCalls()+extraLongCalls, reserved, now, out)
	}
}

// delayedAdviceStep is a step whose advice is delayed, with its response ratio and its position in the rank
// order.
type delayedAdviceStep struct {
	step     *step
	ratio    float64
	position int
}

// delayedAdviceHeap is a heap of steps with the highest response ratio first; steps of equal ratio keep
// their rank order. It is a heap since few of possibly thousands of steps get calls in a plan.
type delayedAdviceHeap []delayedAdviceStep

func (h delayedAdviceHeap) Len() int { return len(h) }

func (h delayedAdviceHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].ratio, h[i].ratio), cmp.Compare(h[i].position, h[j].position)) < 0
}

func (h delayedAdviceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a step, for package heap.
func (h *delayedAdviceHeap) Push(x any) { *h = append(*h, x.(delayedAdviceStep)) }

// Pop removes the last step, for package heap.
func (h *delayedAdviceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// isAdviceDelayed reports whether a step has waited too long for an advice call. Only overdue services count
// as delayed in a mostly used pool: if the oldest steps went first there, each job of a backlog would get
// its advice too late, and the backlog would outlast the burst that caused it. After 13 s in which one
// customer sent eight times its usual rate, the oldest-first order finished 3% of the jobs in time during
// the next 30 s, and earned 0.26 of the day's value instead of 0.60.
func (p *Pool) isAdviceDelayed(s *step, now clock.Time) bool {
	if s.occurrence.job.queue.Advice == nil || now.Sub(s.awaitsAdviceSince()) <= adviceDelayLimit {
		return false
	}
	if s.valueClass(now) == worth.Overdue {
		return true
	}
	return !s.occurrence.job.hasRuns() && (!p.poolLoad(s.occurrence.job.queue.Pool).isMostlyUsed() || p.isDisabled(DelayedAdviceInOrder))
}

// awaitsAdviceSince is since when a step has waited without an answer to an advice call.
func (s *step) awaitsAdviceSince() clock.Time {
	return max(s.readySince, s.advice.lastAnsweredAt)
}

// responseRatio is how long a step has waited for an advice call, divided by the duration of a call. Overdue
// services come first.
func (s *step) responseRatio(now clock.Time) float64 {
	if s.valueClass(now) == worth.Overdue {
		return math.Inf(1)
	}
	return float64(now.Sub(s.awaitsAdviceSince())) / float64(max(s.occurrence.job.queue.Advice.CallTime(1), time.Millisecond))
}
