package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/pace"
)

// Tasks that fill what others leave unused disturb those that serve. How fast they go is decided in package pace.

// paceFillers decides how fast the fillers on a worker go.
func (p *Pool) paceFillers(w *worker, now clock.Time) {
	highest, serves := highestTailShare(w)
	if !serves || p.isDisabled(Pacing) {
		p.setPaces(w, pace.ResetToFull)
		return
	}
	p.setPaces(w, w.pacing.Decide(highest, now))
}

// highestTailShare is the highest tail on a worker as a share of its target.
func highestTailShare(w *worker) (share float64, serves bool) {
	for _, r := range w.runs {
		target := r.task.step.spec.TargetTail
		if target <= 0 || r.state != runActive {
			continue
		}
		serves = true
		share = max(share, float64(r.load)/float64(target.Milliseconds()))
	}
	return share, serves
}

// setPaces sets the pace of each filler by its present one, or its first one.
func (p *Pool) setPaces(w *worker, change pace.Change) {
	for _, r := range sortedRuns(w) {
		if !r.task.step.spec.Filler || r.state != runActive || r.stopSentAt != 0 {
			continue
		}
		want := change.Apply(r.pace)
		if !r.paceOrdered {
			r.pace, want = pace.Full, change.Initial()
		}
		if want == r.pace && (r.paceOrdered || want == pace.Full) {
			continue
		}
		r.pace, r.paceOrdered = want, true
		p.pendingPaces = append(p.pendingPaces, r)
	}
}

func (p *Pool) addPaceOrders(out *Actions) {
	for _, r := range p.pendingPaces {
		w := r.worker
		if w.terminated || w.runs[runKey{r.task.id(), r.number}] != r {
			continue
		}
		out.Paces = append(out.Paces, PaceOrder{Percent: r.pace, StopOrder: r.stopOrder()})
	}
	p.pendingPaces = p.pendingPaces[:0]
}

// HandlePaceFailure takes in that an order for a pace was not carried out, so that it is sent again.
func (p *Pool) HandlePaceFailure(o PaceOrder) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok {
		r.pace, r.paceOrdered = pace.Full, false
	}
}
