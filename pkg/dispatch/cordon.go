package dispatch

import "slices"

// SetCordoned keeps exactly the named workers from getting new tasks, in all their lives.
func (p *Pool) SetCordoned(names map[string]bool) {
	for name := range names {
		p.historyOf(name)
	}
	for name, l := range p.workerHistories {
		l.cordoned = names[name]
	}
}

// Empty says whether a worker may be taken away: nothing runs there any more. With force,
// what runs there is moved first; a step that lasts loses no more tasks than it allows.
func (p *Pool) VacateWorker(name string, force bool) bool {
	l, ok := p.workerHistories[name]
	if !ok {
		return true
	}
	empty := true
	for _, w := range slices.Clone(l.incarnations) {
		empty = p.vacate(w, force) && empty
	}
	return empty
}

func (p *Pool) vacate(w *worker, force bool) bool {
	if w.terminated {
		return true
	}
	if !w.reported || !w.history.cordoned {
		return false
	}
	for _, r := range sortedRuns(w) {
		lasting := r.task.step.spec.LongRunning
		if (force || lasting) && r.state == runActive && !r.stopRequested && r.task.step.toleratesAbsenceOf(r.task) {
			p.restartElsewhere(r, "its machine goes into upkeep")
		}
	}
	return len(w.runs) == 0 && w.orphanRuns == 0 && len(w.deferredEnds) == 0
}

// servingPercent is the progress of a lasting task that serves.
const servingPercent = 100

// toleratesAbsenceOf says whether a step bears that one more of its tasks is away.
func (s *step) toleratesAbsenceOf(t *task) bool {
	if !s.spec.LongRunning || s.spec.MissAllowed == 0 {
		return true
	}
	away := 0
	for i := range s.tasks {
		x := &s.tasks[i]
		if x != t && (x.current == nil || x.current.state != runActive || x.current.stopRequested || x.current.progress.Percent < servingPercent) {
			away++
		}
	}
	return away < s.spec.MissAllowed
}
