package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
)

// A task with a crash against it is started where no other job's task is beginning, and nothing else is started
// there until it is proven. So a crash tells what its cause is, and what began beside it is not
// counted again. Tasks of one step are tried on one worker at a time: in a step that crashes all its workers, each
// of them would take one.

// claim keeps a worker from the starts of all jobs but that of one step.
type claim struct {
	step  *step
	until clock.Time
}

// suspected says that there is a crash against a task, or against another member of its gang, so that it is to be started
// alone.
func (t *task) suspected() bool {
	if t.step.spec.Gang {
		return t.step.suspected()
	}
	return t.crash.Suspected()
}

// suspected says that a step has tasks that are to be started alone.
func (s *step) suspected() bool {
	if !s.time.job.suspected {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && t.crash.Suspected() {
			return true
		}
	}
	return false
}

// probing says that a task of a step that is to be started alone has begun and is not proven.
func (s *step) probing() bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.current != nil && !t.current.proven && t.suspected() {
			return true
		}
	}
	return false
}

// claimedByOther says that a worker is claimed for another job than that of a step.
func (w *worker) claimedByOther(s *step, now clock.Time) bool {
	if w.claim.step == nil || w.claim.step.time.job == s.time.job {
		return false
	}
	if w.awaitsStart(now) || w.probed() {
		return true
	}
	w.claim.step = nil
	return false
}

// awaitsStart says that a worker is claimed for a step that has not begun there.
func (w *worker) awaitsStart(now clock.Time) bool {
	s := w.claim.step
	return s != nil && now < w.claim.until && s.time.job.outcome == "" && !s.finished()
}

// probed says that what a worker is claimed for has begun there and is not proven.
func (w *worker) probed() bool {
	if w.claim.step == nil {
		return false
	}
	for _, r := range w.runs {
		if !r.proven && r.task.step.time.job == w.claim.step.time.job {
			return true
		}
	}
	return false
}

// nothingBegins says that no other job's task is beginning on a worker.
func (w *worker) nothingBegins(s *step) bool {
	return w.beginning(s) == 0
}

// beginning counts the runs of other jobs on a worker that are not proven.
func (w *worker) beginning(s *step) int {
	n := 0
	for _, r := range w.runs {
		if !r.proven && r.task.step.time.job != s.time.job {
			n++
		}
	}
	return n
}

// placeSuspects starts the tasks of a step that are to be started alone, as many as there is room for on one worker.
func (p *Pool) placeSuspects(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.probing() {
		return
	}
	var w *worker
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.suspected() || !p.mayStart(t, now) {
			continue
		}
		if p.allowed(s, 1) == 0 {
			return
		}
		if w == nil {
			may := slices.DeleteFunc(p.candidates(s, reserved, now), func(w *worker) bool { return !t.mayRunOn(w) })
			if w = p.probeWorker(s, may, now); w == nil && t.late.Bound() {
				continue
			}
			if w == nil {
				return
			}
		}
		if fits(s, w) == 0 {
			return
		}
		if !t.mayRunOn(w) {
			continue
		}
		p.start(t, w, p.numberOn(t, w), t.checkpoint, now, out)
	}
}

// probeWorker chooses a worker on which no other job's task is beginning. Without one, it claims a worker for the step, and
// returns nil.
func (p *Pool) probeWorker(s *step, candidates []*worker, now clock.Time) *worker {
	if s.awaitsClaimed(now) && !s.claimed.nothingBegins(s) {
		return nil
	}
	var best *worker
	var bestFor crash.ProbeFitness
	for _, w := range candidates {
		if !w.signs().Lives(now) {
			continue
		}
		f := p.probeFitness(s, w)
		if best == nil || f.Compare(bestFor) < 0 {
			best, bestFor = w, f
		}
	}
	if best == nil || bestFor.Beginning == 0 {
		return best
	}
	if p.mayClaimAnother(now) {
		s.claim(best, now.Add(crash.ClaimLasts))
	}
	return nil
}

// claim claims a worker for the step until a time, and for as long as what it starts there is not proven.
func (s *step) claim(w *worker, until clock.Time) {
	w.claim = claim{step: s, until: until}
	s.claimed = w
}

// awaitsClaimed says that a worker is claimed for the step, which has not begun there.
func (s *step) awaitsClaimed(now clock.Time) bool {
	w := s.claimed
	return w != nil && w.claim.step == s && w.awaitsStart(now) && w.usable(now) && fits(s, w) > 0
}

// held says that the waiting tasks of a step wait for one of them to be proven, and not for room or advice.
func (s *step) held(now clock.Time) bool {
	return !s.spec.Gang && !s.survived && s.suspected() && (s.probing() || s.awaitsClaimed(now))
}

func (p *Pool) probeFitness(s *step, w *worker) crash.ProbeFitness {
	return crash.ProbeFitness{Beginning: w.beginning(s), CrashedAt: p.crashes.LastAt(w.info.Address), HeardAt: w.lastSign()}
}

// mayClaimAnother says whether one more worker may be claimed.
func (p *Pool) mayClaimAnother(now clock.Time) bool {
	claimed, all := 0, 0
	for _, w := range p.workers {
		if !w.usable(now) {
			continue
		}
		all++
		if w.awaitsStart(now) {
			claimed++
		}
	}
	return crash.MayClaimAnother(claimed, all)
}

// probeWorkers lists the workers on which a gang with a crash against it may be started. Without enough, it claims those
// that the gang would get.
func (p *Pool) probeWorkers(s *step, candidates []*worker, now clock.Time) []*worker {
	alone := slices.DeleteFunc(slices.Clone(candidates), func(w *worker) bool { return !w.signs().Lives(now) || !w.nothingBegins(s) })
	if s.missing() || p.gangWorkers(s, alone) != nil {
		return alone
	}
	for _, w := range p.gangWorkers(s, candidates) {
		s.claim(w, now.Add(crash.ClaimLasts))
	}
	return nil
}
