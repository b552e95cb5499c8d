package dispatch

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// starvingAfter is how long a step of a job of which nothing runs may wait for a call for advice before
// it goes before the others. The platform counts a job lost that has waited 3 s while there was room;
// a call and a start take up to 0.9 s of these.
const starvingAfter = time.Second

// longForStarving is how many long calls more than else may be on their way for steps that starve. With
// all of nine processes, short calls of the most urgent queue waited for 0.6 s each in a burst.
const longForStarving = 1

// askForStarving makes calls for advice for steps that have waited long, whatever their order, so that few
// processes that make calls don't serve the first steps only. Those go first that have waited longest in
// proportion to the time that a call takes (highest response ratio next, Brinch Hansen 1971).
func (p *Pool) askForStarving(ordered []waitingStep, reserved *reservations, now clock.Time, out *Actions) {
	if p.advice.advisers.Free() == 0 || p.without(StarvingFirst) {
		return
	}
	var starving starvingSteps
	for i, e := range ordered {
		s := e.step
		if s.goesFirst {
			continue // its calls were made in its turn
		}
		if now.Sub(s.unadvisedSince()) > starvingAfter && p.mayAsk(s, now) && p.starves(s, now) && !p.blocked(s.time.job) && !p.awaitsQuota(s) {
			starving = append(starving, starvingStep{s, s.responseRatio(now), i})
		}
	}
	heap.Init(&starving)
	for len(starving) > 0 && p.advice.advisers.Free() > 0 {
		s := heap.Pop(&starving).(starvingStep).step
		p.ask(s, p.longAtOnce()+longForStarving, reserved, now, out)
	}
}

// starvingStep is a step that starves, with its response ratio and its place among the steps.
type starvingStep struct {
	step  *step
	ratio float64
	place int
}

// starvingSteps are a heap: those with the highest ratio first, like ones as they have their turns. Of thousands of them, few get calls in a plan.
type starvingSteps []starvingStep

func (h starvingSteps) Len() int { return len(h) }

func (h starvingSteps) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[j].ratio, h[i].ratio), cmp.Compare(h[i].place, h[j].place)) < 0
}

func (h starvingSteps) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push adds a step.
func (h *starvingSteps) Push(x any) { *h = append(*h, x.(starvingStep)) }

// Pop takes the last step off.
func (h *starvingSteps) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// starves says that a step has waited too long for a call for advice. In a pool that is well used none does: with the oldest first, each job of a
// backlog gets its advice too late, and the backlog goes on when the burst is over. After 13 s in which one customer sent eight times its
// usual, jobs in time were 3% for the next 30 s, and earned 0.26 of the day in place of 0.60 (one play each, processor time not charged).
func (p *Pool) starves(s *step, now clock.Time) bool {
	if s.time.job.queue.Advice == nil || now.Sub(s.unadvisedSince()) <= starvingAfter {
		return false
	}
	if s.standing(now) == worth.Overdue {
		return true
	}
	return !s.time.job.runs() && (!p.load(s.time.job.queue.Pool).isWellUsed() || p.without(StarvingTakeTurns))
}

// unadvisedSince is since when a step has waited without an answer to a call for advice.
func (s *step) unadvisedSince() clock.Time {
	return max(s.readySince, s.advice.answeredAt)
}

// responseRatio is how long a step has waited for a call for advice, in parts of the time of a call. A
// task that lasts and is overdue comes first.
func (s *step) responseRatio(now clock.Time) float64 {
	if s.standing(now) == worth.Overdue {
		return math.Inf(1)
	}
	return float64(now.Sub(s.unadvisedSince())) / float64(max(s.time.job.queue.Advice.Of(1), time.Millisecond))
}
