package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/pace"
)

// paceFillers sets the pace of the filler tasks on a worker. Fillers use what other tasks leave idle,
// and slow down the services on the same worker. Package pace decides the pace from the tail latency of
// these services.
func (p *Pool) paceFillers(w *worker, now clock.Time) {
	highest, serves := highestTailShare(w)
	if !serves || p.isDisabled(Pacing) {
		p.setPaces(w, pace.ResetToFull)
		return
	}
	p.setPaces(w, w.pacing.Decide(highest, now))
}

// highestTailShare returns the highest tail latency of the services on a worker as a share of its
// target; serves is false when no service with a target runs there.
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

// setPaces applies a change to the pace of each filler on a worker. A filler that has had no pace order
// yet gets the initial pace of the change.
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

// addPaceOrders adds the pending pace orders to the actions, apart from those for runs that have ended.
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

// HandlePaceFailure records that a pace order was not carried out, so that it is sent again.
func (p *Pool) HandlePaceFailure(o PaceOrder) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok {
		r.pace, r.paceOrdered = pace.Full, false
	}
}
