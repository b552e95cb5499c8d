package preemption

import (
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

// Victim is a run that may be stopped.
type Victim[R any] struct {
	Run       R
	Resources cell.Resources
	LostWork  float64 // work that is done anew after its stop
}

// Option is a worker on which stops can make room for one more task.
type Option[R any] struct {
	Free cell.Resources
	Most int // more tasks that may run there
	// Victims are those that throw least away first.
	Victims  []Victim[R]
	chosen   []int // indices of the victims that make room for one more task, rising
	lostWork float64
}

// SelectCheapest is the option on which room for one more task throws least work away, the first one of those that are alike; nil when there is none.
func SelectCheapest[R any](need cell.Resources, options []*Option[R]) *Option[R] {
	var best *Option[R]
	for _, o := range options {
		if o.chooseVictims(need) && (best == nil || o.lostWork < best.lostWork) {
			best = o
		}
	}
	return best
}

// LostWork is the work that the stops throw away that Cheapest has chosen.
func (o *Option[R]) LostWork() float64 {
	return o.lostWork
}

// TakeVictims counts the chosen stops and the task that they make room for, and returns them.
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
	o.Most--
	return out
}

// chooseVictims finds the runs to be stopped for one more task, and says whether they suffice.
func (o *Option[R]) chooseVictims(need cell.Resources) bool {
	o.chosen, o.lostWork = o.chosen[:0], 0
	if o.Most <= 0 {
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
	for i := len(o.chosen) - 1; i >= 0; i-- { // those that turned out not to be needed go on
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
