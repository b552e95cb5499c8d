package dispatch

import (
	"cmp"
	"math"
	"slices"
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
func (p *Pool) askForStarving(ordered []*step, reserved *reservations, now clock.Time, out *Actions) {
	if p.advice.advisers.Free() == 0 || p.without(StarvingFirst) {
		return
	}
	var starving []*step
	for _, s := range ordered {
		if p.starves(s, now) && !p.blocked(s.time.job) {
			starving = append(starving, s)
		}
	}
	slices.SortStableFunc(starving, func(a, b *step) int { return cmp.Compare(b.responseRatio(now), a.responseRatio(now)) })
	for _, s := range starving {
		if p.advice.advisers.Free() == 0 {
			return
		}
		p.ask(s, p.longAtOnce()+longForStarving, reserved, now, out)
	}
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
	return !s.time.job.running() && (!p.load(s.time.job.queue.Pool).isWellUsed() || p.without(StarvingTakeTurns))
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
