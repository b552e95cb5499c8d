package dispatch

import "slices"

// Close keeps exactly the named workers from getting new tasks, in all their lives.
func (p *Pool) Close(names map[string]bool) {
	for name := range names {
		p.lineageOf(name)
	}
	for name, l := range p.lineages {
		l.closed = names[name]
	}
}

// Empty says whether a worker may be taken away: nothing runs there any more. With force,
// what runs there is moved first; a step that lasts loses no more tasks than it allows.
func (p *Pool) Empty(name string, force bool) bool {
	l, ok := p.lineages[name]
	if !ok {
		return true
	}
	empty := true
	for _, w := range slices.Clone(l.lives) {
		empty = p.empty(w, force) && empty
	}
	return empty
}

func (p *Pool) empty(w *worker, force bool) bool {
	if w.gone {
		return true
	}
	if !w.reported || !w.line.closed {
		return false
	}
	for _, r := range sortedRuns(w) {
		lasting := r.task.step.spec.LongRunning
		if (force || lasting) && r.state == runActive && !r.stopAsked && r.task.step.spares(r.task) {
			p.move(r, "its machine goes into upkeep")
		}
	}
	return len(w.runs) == 0 && w.foreign == 0 && len(w.unread) == 0
}

// atWork is the progress of a lasting task that serves.
const atWork = 100

// spares says whether a step bears that one more of its tasks is away.
func (s *step) spares(t *task) bool {
	if !s.spec.LongRunning || s.spec.MissAllowed == 0 {
		return true
	}
	away := 0
	for i := range s.tasks {
		x := &s.tasks[i]
		if x != t && (x.current == nil || x.current.state != runActive || x.current.stopAsked || x.current.progress.Percent < atWork) {
			away++
		}
	}
	return away < s.spec.MissAllowed
}
