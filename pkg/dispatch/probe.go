package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/crash"
)

// claim reserves a worker for the suspect tasks of one step: no tasks of other jobs are started there.
type claim struct {
	step      *step
	expiresAt clock.Time
}

// isSuspect reports whether a crash is recorded against a task, or against another member of its gang.
//
// A suspect task is started on a worker where no task of another job was started a short time ago, and
// no task of another job is started there until it has survived. So a further crash can be attributed,
// and no crash is recorded against tasks of other jobs on the same worker. The suspect tasks of one
// step are tried on one worker at a time: if each task of a step crashes its worker, trying them in
// parallel would cost one worker per task.
func (t *task) isSuspect() bool {
	if t.step.spec.Gang {
		return t.step.hasSuspects()
	}
	return t.crash.IsSuspect()
}

// hasSuspects reports whether a step has unfinished tasks with a crash recorded against them.
func (s *step) hasSuspects() bool {
	if !s.occurrence.job.suspected {
		return false
	}
	for _, t := range s.tasks {
		if !t.done && t.crash.IsSuspect() {
			return true
		}
	}
	return false
}

// isProbing reports whether a suspect task of a step has been started and has not survived yet.
func (s *step) isProbing() bool {
	for _, t := range s.tasks {
		if t.current != nil && !t.current.survived && t.isSuspect() {
			return true
		}
	}
	return false
}

// isClaimedByOther reports whether a worker is claimed for another job than the one of the step. It
// drops a claim that is no longer in use.
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

// awaitsClaimant reports whether a worker is claimed for an unfinished step and the claim has not
// expired.
func (w *worker) awaitsClaimant(now clock.Time) bool {
	s := w.claim.step
	return s != nil && now < w.claim.expiresAt && s.occurrence.job.outcome == "" && !s.finished()
}

// isProbed reports whether runs of the job for which a worker is claimed have been started there and
// have not survived yet.
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

// isFreeForProbe reports whether a worker has no recent runs of other jobs.
func (w *worker) isFreeForProbe(s *step) bool {
	return w.otherRecentRuns(s) == 0
}

// otherRecentRuns counts the runs of other jobs on a worker that have not survived yet.
func (w *worker) otherRecentRuns(s *step) int {
	n := 0
	for _, r := range w.runs {
		if !r.survived && r.task.step.occurrence.job != s.occurrence.job {
			n++
		}
	}
	return n
}

// placeSuspectTasks starts the suspect tasks of a step on one worker, as many as it has room for.
func (p *Pool) placeSuspectTasks(s *step, reserved *reservations, now clock.Time, out *Actions) {
	if s.isProbing() {
		return
	}
	var w *worker
	for _, t := range s.tasks {
		if !t.isSuspect() || !p.mayStart(t, now) {
			continue
		}
		if p.quotaRoom(s, 1) == 0 {
			return
		}
		if w == nil {
			allowed := slices.DeleteFunc(p.candidates(s, reserved, now), func(w *worker) bool { return !t.lateStartsAllow(w) })
			if w = p.selectProbeWorker(s, allowed, now); w == nil && t.lateStarts.IsBound() {
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

// selectProbeWorker selects a worker without recent runs of other jobs. When there is none, it claims a
// worker for the step and returns nil.
func (p *Pool) selectProbeWorker(s *step, candidates []*worker, now clock.Time) *worker {
	if s.awaitsClaimedWorker(now) && !s.claimedWorker.isFreeForProbe(s) {
		return nil
	}
	var best *worker
	var bestFitness crash.ProbeFitness
	for _, w := range candidates {
		if !w.liveness().IsResponsive(now) {
			continue
		}
		fitness := p.probeFitness(s, w)
		if best == nil || fitness.Compare(bestFitness) < 0 {
			best, bestFitness = w, fitness
		}
	}
	if best == nil || bestFitness.RecentRuns == 0 {
		return best
	}
	if p.mayClaimAnother(now) {
		s.claimWorker(best, now.Add(crash.ClaimTimeout))
	}
	return nil
}

// claimWorker claims a worker for the step until the given time, and after that for as long as runs
// that were started there have not survived yet.
func (s *step) claimWorker(w *worker, until clock.Time) {
	w.claim = claim{step: s, expiresAt: until}
	s.claimedWorker = w
}

// awaitsClaimedWorker reports whether a worker is claimed for the step, is usable and has room, and the
// claim has not timed out.
func (s *step) awaitsClaimedWorker(now clock.Time) bool {
	w := s.claimedWorker
	return w != nil && w.claim.step == s && w.awaitsClaimant(now) && w.isUsable(now) && roomFor(s, w) > 0
}

// awaitsProbe reports whether the waiting tasks of a step wait for a suspect task to survive, and not
// for room or advice.
func (s *step) awaitsProbe(now clock.Time) bool {
	return !s.spec.Gang && !s.hasSurvivedStart && s.hasSuspects() && (s.isProbing() || s.awaitsClaimedWorker(now))
}

// probeFitness describes how suitable a worker is for the suspect tasks of a step.
func (p *Pool) probeFitness(s *step, w *worker) crash.ProbeFitness {
	return crash.ProbeFitness{RecentRuns: w.otherRecentRuns(s), CrashedAt: p.crashes.LastCrashAt(w.info.Address), LastSeenAt: w.lastSeenAt()}
}

// mayClaimAnother reports whether one more worker may be claimed.
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

// selectGangProbeWorkers lists the workers on which a suspect gang may be started. When they are not
// enough, it claims the workers that the gang would get, and returns nil.
func (p *Pool) selectGangProbeWorkers(s *step, candidates []*worker, now clock.Time) []*worker {
	free := slices.DeleteFunc(slices.Clone(candidates), func(w *worker) bool { return !w.liveness().IsResponsive(now) || !w.isFreeForProbe(s) })
	if s.hasMissingMembers() || p.gangWorkers(s, free) != nil {
		return free
	}
	for _, w := range p.gangWorkers(s, candidates) {
		s.claimWorker(w, now.Add(crash.ClaimTimeout))
	}
	return nil
}
