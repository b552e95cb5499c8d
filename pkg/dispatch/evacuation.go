package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// SetEvacuatedHalls sets the data halls that are being evacuated. Their workers get no new tasks; what runs
// there continues to its end.
func (p *Pool) SetEvacuatedHalls(halls []string) {
	for _, hall := range halls {
		if !slices.Contains(p.evacuatedHalls, hall) {
			p.cfg.Log(Event{Name: "hall_evacuated", Detail: hall})
		}
	}
	for _, hall := range p.evacuatedHalls {
		if !slices.Contains(halls, hall) {
			p.cfg.Log(Event{Name: "hall_taken_back", Detail: hall})
		}
	}
	p.evacuatedHalls = slices.Clone(halls)
	for _, w := range p.workers {
		w.evacuated = p.isInEvacuatedHall(w)
	}
}

func (p *Pool) isInEvacuatedHall(w *worker) bool {
	return slices.Contains(p.evacuatedHalls, w.info.Zone)
}

// isLeaving reports whether a worker gets no new tasks since it drains, is retired, or is in a hall that is
// being evacuated.
func (w *worker) isLeaving() bool {
	return w.info.Draining || w.retired || w.evacuated
}

// IsStartObsolete reports whether a start that was decided earlier must not be sent any more, since its
// worker is leaving by now.
func (p *Pool) IsStartObsolete(o StartOrder) bool {
	w, ok := p.workers[o.Worker]
	return ok && w.isLeaving()
}

// CancelUnsentStart cancels a start that was not sent, through no fault of its worker.
func (p *Pool) CancelUnsentStart(o StartOrder, now clock.Time) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok && r.state == runStarting {
		p.cfg.Log(Event{Name: "start_withheld", Task: o.Task, Run: o.Run, Worker: o.Worker})
		p.cancelStart(r, 0, now)
	}
}

// evacuatedWorkerCount counts the workers of a pool that get no tasks since their hall is evacuated.
func (p *Pool) evacuatedWorkerCount(pool string) int {
	n := 0
	for _, w := range p.workers {
		if !w.terminated && w.evacuated && w.info.Pool == pool {
			n++
		}
	}
	return n
}
