package advice

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// Starving are steps that have waited too long for a call, by their places in the order of a plan. Those come first that have waited longest in
// proportion to the time that a call takes (highest response ratio next, Brinch Hansen 1971), like ones as they have their turns. They are a heap: of
// thousands of them, few get calls in a plan. They are made as Starving{}.
type Starving struct {
	steps  starvingSteps
	sorted bool
}

// Add takes in a step. One that is overdue comes before all others.
func (s *Starving) Add(place int, waited, call time.Duration, overdue bool) {
	s.steps = append(s.steps, starvingStep{place, ResponseRatio(waited, call, overdue)})
	s.sorted = false
}

// Next takes off the step that comes first; ok is false when there is none.
func (s *Starving) Next() (place int, ok bool) {
	if len(s.steps) == 0 {
		return 0, false
	}
	if !s.sorted {
		heap.Init(&s.steps)
		s.sorted = true
	}
	return heap.Pop(&s.steps).(starvingStep).place, true
}

// ResponseRatio is how long a step has waited for a call, in parts of the time of a call.
func ResponseRatio(waited, call time.Duration, overdue bool) float64 {
	if overdue {
		return math.Inf(1)
	}
	return float64(waited) / float64(max(call, time.Millisecond))
}

// starvingStep is a step with its response ratio.
type starvingStep struct {
	place int
	ratio float64
}

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
