package preemption

import (
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

// Victim is a run that may be stopped.
type Victim[R any] struct {
	Run   R
	Frees cell.Resources
	Lost  float64 // work that is done anew after its stop
}

// Option is a worker on which stops can make room for one more task.
type Option[R any] struct {
	Free cell.Resources
	Most int // more tasks that may run there
	// Victims are those that throw least away first.
	Victims []Victim[R]
	stops   []int // indices of the victims that make room for one more task, rising
	lost    float64
}

// Cheapest is the option on which room for one more task throws least work away, the first one of those that are alike; nil when there is none.
func Cheapest[R any](need cell.Resources, options []*Option[R]) *Option[R] {
	var best *Option[R]
	for _, o := range options {
		if o.choose(need) && (best == nil || o.lost < best.lost) {
			best = o
		}
	}
	return best
}

// Lost is the work that the stops throw away that Cheapest has chosen.
func (o *Option[R]) Lost() float64 {
	return o.lost
}

// Take counts the chosen stops and the task that they make room for, and returns them.
func (o *Option[R]) Take(need cell.Resources) []R {
	var out []R
	for _, n := range o.stops {
		o.Free = o.Free.Add(o.Victims[n].Frees)
		out = append(out, o.Victims[n].Run)
	}
	for _, n := range slices.Backward(o.stops) {
		o.Victims = slices.Delete(o.Victims, n, n+1)
	}
	o.Free = o.Free.Sub(need)
	o.Most--
	return out
}

// choose finds the runs to be stopped for one more task, and says whether they suffice.
func (o *Option[R]) choose(need cell.Resources) bool {
	o.stops, o.lost = o.stops[:0], 0
	if o.Most <= 0 {
		return false
	}
	free := o.Free
	for n, v := range o.Victims {
		if need.Fits(free) {
			break
		}
		free = free.Add(v.Frees)
		o.stops = append(o.stops, n)
	}
	if !need.Fits(free) {
		return false
	}
	for i := len(o.stops) - 1; i >= 0; i-- { // those that turned out not to be needed go on
		if less := free.Sub(o.Victims[o.stops[i]].Frees); need.Fits(less) {
			free = less
			o.stops = slices.Delete(o.stops, i, i+1)
		}
	}
	for _, n := range o.stops {
		o.lost += o.Victims[n].Lost
	}
	return true
}
