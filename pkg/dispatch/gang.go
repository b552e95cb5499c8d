package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// gang is the state of a step whose tasks only work together. All members of one run of the gang have the
// same run number.
type gang struct {
	runNumber int        // of the last run
	broken    bool       // the last run can't continue; its members are being stopped
	startedAt clock.Time // of the last run
}

// gangCompletionTimeout is how long after the start of a gang's run its missing members may still be
// started. The members that run wait for the others, for as long as the platform lets them.
const gangCompletionTimeout = 1200 * time.Millisecond

// breakGang gives up the current run of a gang: its members are stopped, and the next run starts when none
// of them is left.
func (p *Pool) breakGang(s *step) {
	s.gang.broken = true
	for i := range s.tasks {
		p.stopRun(s.tasks[i].current)
	}
}

// stopRunOrGang stops a run; if it belongs to a gang, it stops all members.
func (p *Pool) stopRunOrGang(r *run) {
	if s := r.task.step; s.spec.Gang {
		p.breakGang(s)
		return
	}
	p.stopRun(r)
}

// stopPartialGangs stops the gangs of a job of which previous owners have started only some members.
func (p *Pool) stopPartialGangs(j *jobState) {
	for s := range j.steps() {
		if s.spec.Gang && s.isPartialGang() && !s.isUnknownToPreviousOwners() {
			p.breakGang(s)
		}
	}
}

// isPartialGang reports whether only some members of a gang run.
func (s *step) isPartialGang() bool {
	return s.runningTasks > 0 && s.runningTasks < s.spec.Count && !s.finished()
}

// hasMissingMembers reports whether the current run of a gang continues and some of its members have to be
// started again.
func (s *step) hasMissingMembers() bool {
	return s.spec.Gang && !s.gang.broken && s.isPartialGang()
}

// startMissingMembers starts the members that do not run, under the run number of the others, or gives the
// gang's run up when that takes too long.
func (p *Pool) startMissingMembers(s *step, candidates []*worker, now clock.Time, out *Actions) {
	if now.Sub(s.gang.startedAt) > gangCompletionTimeout {
		p.breakGang(s)
		return
	}
	for _, t := range s.tasks {
		if !p.mayStart(t, now) {
			continue
		}
		if p.quotaRoom(s, 1) == 0 {
			return
		}
		if w := bestFit(t, candidates); w != nil {
			p.startTask(t, w, s.gang.runNumber, s.gangCheckpoint(), now, out)
		}
	}
}

// gangCheckpoint returns a checkpoint from which all members may continue; empty when there is none.
func (s *step) gangCheckpoint() string {
	for i := range s.tasks {
		if c := s.tasks[i].checkpoint; c != "" {
			return c
		}
	}
	return ""
}
