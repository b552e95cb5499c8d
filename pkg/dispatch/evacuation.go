package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// SetEvacuatedHalls takes in which data halls are being evacuated. Their workers get no new task, and what runs there goes on to its end.
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

// isLeaving says that a worker gets nothing new, since it drains, has drained, or its hall is being evacuated.
func (w *worker) isLeaving() bool {
	return w.info.Draining || w.retired || w.evacuated
}

// IsStartObsolete says that a start which was decided a little ago must not be sent any more, since its worker is leaving by now.
func (p *Pool) IsStartObsolete(o StartOrder) bool {
	w, ok := p.workers[o.Worker]
	return ok && w.isLeaving()
}

// CancelUnsentStart takes in that a start was not sent, and that its worker has no part in that.
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

// evacuatedWorkerCount counts the workers of a pool that wait for their hall to be taken back.
func (p *Pool) evacuatedWorkerCount(pool string) int {
	n := 0
	for _, w := range p.workers {
		if !w.terminated && w.evacuated && w.info.Pool == pool {
			n++
		}
	}
	return n
}
