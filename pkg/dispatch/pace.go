package dispatch

import (
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/pace"
)

// Tasks that fill what others leave unused disturb those that serve. How fast they go is decided in package pace.

// paceFillers decides how fast the fillers on a worker go.
func (p *Pool) paceFillers(w *worker, now clock.Time) {
	highest, serves := worstTail(w)
	if !serves || p.without(Pacing) {
		p.paceEach(w, pace.ToFull)
		return
	}
	p.paceEach(w, w.pacing.Decide(highest, now))
}

// worstTail is the highest tail on a worker as a share of its target.
func worstTail(w *worker) (share float64, serves bool) {
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

// paceEach sets the pace of each filler by its present one, or its first one.
func (p *Pool) paceEach(w *worker, change pace.Change) {
	for _, r := range sortedRuns(w) {
		if !r.task.step.spec.Filler || r.state != runActive || r.stopSentAt != 0 {
			continue
		}
		want := change.Of(r.pace)
		if !r.paced {
			r.pace, want = pace.Full, change.First()
		}
		if want == r.pace && (r.paced || want == pace.Full) {
			continue
		}
		r.pace, r.paced = want, true
		p.paces = append(p.paces, r)
	}
}

func (p *Pool) takePaces(out *Actions) {
	for _, r := range p.paces {
		w := r.worker
		if w.gone || w.runs[runKey{r.task.id(), r.number}] != r {
			continue
		}
		out.Paces = append(out.Paces, Pace{Percent: r.pace, Stop: r.stop()})
	}
	p.paces = p.paces[:0]
}

// PaceFailed takes in that an order for a pace was not carried out, so that it is sent again.
func (p *Pool) PaceFailed(o Pace) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok {
		r.pace, r.paced = pace.Full, false
	}
}
