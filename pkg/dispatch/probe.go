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
func (t *task) isSuspect() bool {
	if t.step.spec.Gang {
		return t.step.hasSuspects()
	}
	return t.crash.IsSuspect()
}

// suspected says that a step has tasks that are to be started alone.
func (s *step) hasSuspects() bool {
	if !s.occurrence.job.suspected {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && t.crash.IsSuspect() {
			return true
		}
	}
	return false
}

// isProbing says that a task of a step that is to be started alone has begun and is not proven.
func (s *step) isProbing() bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; t.current != nil && !t.current.survived && t.isSuspect() {
			return true
		}
	}
	return false
}

// isClaimedByOther says that a worker is claimed for another job than that of a step.
func (w *worker) isClaimedByOther(s *step, now clock.Time) bool {
	if w.claim.step == nil || w.claim.step.occurrence.job == s.occurrence.job {
		return false
	}
	if w.awaitsClaimant(now) || w.isProbed() {
		return true
	}
	w.claim.step = nil
	return false
}

// awaitsClaimant says that a worker is claimed for a step that has not begun there.
func (w *worker) awaitsClaimant(now clock.Time) bool {
	s := w.claim.step
	return s != nil && now < w.claim.until && s.occurrence.job.outcome == "" && !s.finished()
}

// isProbed says that what a worker is claimed for has begun there and is not proven.
func (w *worker) isProbed() bool {
	if w.claim.step == nil {
		return false
	}
	for _, r := range w.runs {
		if !r.survived && r.task.step.occurrence.job == w.claim.step.occurrence.job {
			return true
		}
	}
	return false
}

// isFreeForProbe says that no other job's task is beginning on a worker.
func (w *worker) isFreeForProbe(s *step) bool {
	return w.otherRecentRuns(s) == 0
}

// otherRecentRuns counts the runs of other jobs on a worker that are not proven.
func (w *worker) otherRecentRuns(s *step) int {
	n := 0
	for _, r := range w.runs {
		if !r.survived && r.task.step.occurrence.job != s.occurrence.job {
			n++
		}
	}
	return n
}

// placeSuspectTasks starts the tasks of a step that are to be started alone, as many as there is room for on one worker.
func (p *Pool) placeSuspectTasks(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.isProbing() {
		return
	}
	var w *worker
	for i := range s.tasks {
		t := &s.tasks[i]
		if !t.isSuspect() || !p.mayStart(t, now) {
			continue
		}
		if p.quotaRoom(s, 1) == 0 {
			return
		}
		if w == nil {
			may := slices.DeleteFunc(p.candidates(s, reserved, now), func(w *worker) bool { return !t.lateStartsAllow(w) })
			if w = p.selectProbeWorker(s, may, now); w == nil && t.lateStarts.IsBound() {
				continue
			}
			if w == nil {
				return
			}
		}
		if roomFor(s, w) == 0 {
			return
		}
		if !t.lateStartsAllow(w) {
			continue
		}
		p.startTask(t, w, p.nextRunNumberOn(t, w), t.checkpoint, now, out)
	}
}

// selectProbeWorker chooses a worker on which no other job's task is beginning. Without one, it claims a worker for the step, and
// returns nil.
func (p *Pool) selectProbeWorker(s *step, candidates []*worker, now clock.Time) *worker {
	if s.awaitsClaimedWorker(now) && !s.claimedWorker.isFreeForProbe(s) {
		return nil
	}
	var best *worker
	var bestFor crash.ProbeFitness
	for _, w := range candidates {
		if !w.liveness().IsResponsive(now) {
			continue
		}
		f := p.probeFitness(s, w)
		if best == nil || f.Compare(bestFor) < 0 {
			best, bestFor = w, f
		}
	}
	if best == nil || bestFor.RecentRuns == 0 {
		return best
	}
	if p.mayClaimAnother(now) {
		s.claimWorker(best, now.Add(crash.ClaimTimeout))
	}
	return nil
}

// claimWorker claims a worker for the step until a time, and for as long as what it starts there is not proven.
func (s *step) claimWorker(w *worker, until clock.Time) {
	w.claim = claim{step: s, until: until}
	s.claimedWorker = w
}

// awaitsClaimedWorker says that a worker is claimed for the step, which has not begun there.
func (s *step) awaitsClaimedWorker(now clock.Time) bool {
	w := s.claimedWorker
	return w != nil && w.claim.step == s && w.awaitsClaimant(now) && w.isUsable(now) && roomFor(s, w) > 0
}

// held says that the waiting tasks of a step wait for one of them to be proven, and not for room or advice.
func (s *step) awaitsProbe(now clock.Time) bool {
	return !s.spec.Gang && !s.hasSurvivedStart && s.hasSuspects() && (s.isProbing() || s.awaitsClaimedWorker(now))
}

func (p *Pool) probeFitness(s *step, w *worker) crash.ProbeFitness {
	return crash.ProbeFitness{RecentRuns: w.otherRecentRuns(s), CrashedAt: p.crashes.LastCrashAt(w.info.Address), LastSeenAt: w.lastSeenAt()}
}

// mayClaimAnother says whether one more worker may be claimed.
func (p *Pool) mayClaimAnother(now clock.Time) bool {
	claimed, all := 0, 0
	for _, w := range p.workers {
		if !w.isUsable(now) {
			continue
		}
		all++
		if w.awaitsClaimant(now) {
			claimed++
		}
	}
	return crash.MayClaimWorker(claimed, all)
}

// selectGangProbeWorkers lists the workers on which a gang with a crash against it may be started. Without enough, it claims those
// that the gang would get.
func (p *Pool) selectGangProbeWorkers(s *step, candidates []*worker, now clock.Time) []*worker {
	alone := slices.DeleteFunc(slices.Clone(candidates), func(w *worker) bool { return !w.liveness().IsResponsive(now) || !w.isFreeForProbe(s) })
	if s.hasMissingMembers() || p.gangWorkers(s, alone) != nil {
		return alone
	}
	for _, w := range p.gangWorkers(s, candidates) {
		s.claimWorker(w, now.Add(crash.ClaimTimeout))
	}
	return nil
}
