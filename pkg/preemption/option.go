package preemption

import (
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

// Victim is a run that may be stopped.
type Victim[R any] struct {
	Run       R
	Resources cell.Resources
	LostWork  float64 // work to be done again after the stop
}

// Option is a worker where runs can be stopped to make room for one more task.
type Option[R any] struct {
	Free     cell.Resources
	MaxTasks int // number of further tasks that may run there
	// Victims are ordered by LostWork, the lowest first.
	Victims  []Victim[R]
	chosen   []int // indices, rising, of the victims that make room for one more task
	lostWork float64
}

// SelectCheapest returns the option that loses least work to make room for one more task, the first one
// among equals; nil when there is none.
func SelectCheapest[R any](need cell.Resources, options []*Option[R]) *Option[R] {
	var best *Option[R]
	for _, o := range options {
		if o.chooseVictims(need) && (best == nil || o.lostWork < best.lostWork) {
			best = o
		}
	}
	return best
}

// LostWork returns the work that is lost by the stops that SelectCheapest has chosen.
func (o *Option[R]) LostWork() float64 {
	return o.lostWork
}

// TakeVictims applies the choice: it removes the chosen victims, adds their resources to Free, subtracts
// the task that they make room for, and returns their runs.
func (o *Option[R]) TakeVictims(need cell.Resources) []R {
	var out []R
	for _, n := range o.chosen {
		o.Free = o.Free.Add(o.Victims[n].Resources)
		out = append(out, o.Victims[n].Run)
	}
	for _, n := range slices.Backward(o.chosen) {
		o.Victims = slices.Delete(o.Victims, n, n+1)
	}
	o.Free = o.Free.Sub(need)
	o.MaxTasks--
	return out
}

// chooseVictims chooses the runs to be stopped for one more task, and reports whether they suffice.
func (o *Option[R]) chooseVictims(need cell.Resources) bool {
	o.chosen, o.lostWork = o.chosen[:0], 0
	if o.MaxTasks <= 0 {
		return false
	}
	free := o.Free
	for n, v := range o.Victims {
		if need.Fits(free) {
			break
		}
		free = free.Add(v.Resources)
		o.chosen = append(o.chosen, n)
	}
	if !need.Fits(free) {
		return false
	}
	for i := len(o.chosen) - 1; i >= 0; i-- { // leave out those that turn out not to be needed
		if less := free.Sub(o.Victims[o.chosen[i]].Resources); need.Fits(less) {
			free = less
			o.chosen = slices.Delete(o.chosen, i, i+1)
		}
	}
	for _, n := range o.chosen {
		o.lostWork += o.Victims[n].LostWork
	}
	return true
}
