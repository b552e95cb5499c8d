package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
)

// SetCordoned cordons exactly the named workers: no incarnation of them gets new tasks.
func (p *Pool) SetCordoned(names map[string]bool) {
	for name := range names {
		p.historyOf(name)
	}
	for name, h := range p.workerHistories {
		h.cordoned = names[name]
	}
}

// VacateWorker reports whether a cordoned worker may be taken down since nothing runs there any more. With
// force it first has all runs moved to other workers, otherwise only those of long-running tasks. A
// long-running step never misses more tasks than it allows.
func (p *Pool) VacateWorker(name string, force bool) bool {
	h, ok := p.workerHistories[name]
	if !ok {
		return true
	}
	empty := true
	for _, w := range slices.Clone(h.incarnations) {
		empty = p.vacateIncarnation(w, force) && empty
	}
	return empty
}

func (p *Pool) vacateIncarnation(w *worker, force bool) bool {
	if w.terminated {
		return true
	}
	if !w.reported || !w.history.cordoned {
		return false
	}
	for _, r := range sortedRuns(w) {
		longRunning := r.task.step.spec.LongRunning
		if (force || longRunning) && r.state == runActive && !r.stopRequested && r.task.step.toleratesAbsenceOf(r.task, p.now) {
			p.restartElsewhere(r, "its worker is being vacated for host maintenance")
		}
	}
	return len(w.runs) == 0 && w.orphanRuns == 0 && len(w.deferredEnds) == 0
}

// servingPercent is the progress that a long-running task reports while it serves.
const servingPercent = 100

// toleratesAbsenceOf reports whether a step allows one more of its tasks, t, to be absent.
func (s *step) toleratesAbsenceOf(t *task, now clock.Time) bool {
	if !s.spec.LongRunning || s.spec.MissAllowed == 0 {
		return true
	}
	absent := s.spec.Count - len(s.tasks) // those that were never started
	for _, x := range s.tasks {
		if x != t && !x.isServing(now) {
			absent++
		}
	}
	return absent < s.spec.MissAllowed
}

// isServing reports whether a long-running task is at work, according to a recent report of its worker. A worker
// that has not answered may have crashed.
func (t *task) isServing(now clock.Time) bool {
	r := t.current
	return r != nil && r.state == runActive && !r.stopRequested && r.progress.Percent >= servingPercent && now.Sub(r.worker.lastAnsweredAt) < answerTimeout
}
