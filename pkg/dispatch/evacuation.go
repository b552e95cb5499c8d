package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// SetEvacuated takes in which data halls are being evacuated. Their workers get no new task, and what runs there goes on to its end.
func (p *Pool) SetEvacuated(halls []string) {
	for _, hall := range halls {
		if !slices.Contains(p.evacuated, hall) {
			p.cfg.Log(Event{Name: "hall_evacuated", Detail: hall})
		}
	}
	for _, hall := range p.evacuated {
		if !slices.Contains(halls, hall) {
			p.cfg.Log(Event{Name: "hall_taken_back", Detail: hall})
		}
	}
	p.evacuated = slices.Clone(halls)
	for _, w := range p.workers {
		w.evacuated = p.inEvacuatedHall(w)
	}
}

func (p *Pool) inEvacuatedHall(w *worker) bool {
	return slices.Contains(p.evacuated, w.info.Zone)
}

// leaving says that a worker gets nothing new, since it drains, has drained, or its hall is being evacuated.
func (w *worker) leaving() bool {
	return w.info.Draining || w.retired || w.evacuated
}

// StartIsVoid says that a start which was decided a little ago must not be sent any more, since its worker is leaving by now.
func (p *Pool) StartIsVoid(o Start) bool {
	w, ok := p.workers[o.Worker]
	return ok && w.leaving()
}

// StartWithheld takes in that a start was not sent, and that its worker has no part in that.
func (p *Pool) StartWithheld(o Start, now clock.Time) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok && r.state == runStarting {
		p.cfg.Log(Event{Name: "start_withheld", Task: o.Task, Run: o.Run, Worker: o.Worker})
		p.rejected(r, 0, now)
	}
}

// evacuatedWorkers counts the workers of a pool that wait for their hall to be taken back.
func (p *Pool) evacuatedWorkers(pool string) int {
	n := 0
	for _, w := range p.workers {
		if !w.gone && w.evacuated && w.info.Pool == pool {
			n++
		}
	}
	return n
}
