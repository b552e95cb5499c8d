package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// gang is the state of a step whose tasks work only together. All members of a run have the
// same number.
type gang struct {
	runNumber int        // of the last run
	broken    bool       // the last run can't go on; its members are being stopped
	startedAt clock.Time // of the last run
}

// gangCompletionTimeout is how long after the start of a run a member that was not started may be
// sent again. The others wait for it, for as long as the platform lets them.
const gangCompletionTimeout = 1200 * time.Millisecond

// breakGang gives up the present run of a gang: what runs is stopped, and the next run
// starts when nothing of this one is left.
func (p *Pool) breakGang(s *step) {
	s.gang.broken = true
	for i := range s.tasks {
		p.stopRun(s.tasks[i].current)
	}
}

// stopRunOrGang stops a run; with a gang, all its members.
func (p *Pool) stopRunOrGang(r *run) {
	if s := r.task.step; s.spec.Gang {
		p.breakGang(s)
		return
	}
	p.stopRun(r)
}

// stopPartialGangs stops the gangs of a job of which former owners have started some members only.
func (p *Pool) stopPartialGangs(j *jobState) {
	for s := range j.steps() {
		if s.spec.Gang && s.isPartialGang() {
			p.breakGang(s)
		}
	}
}

// partial says that some members of a gang run and others do not.
func (s *step) isPartialGang() bool {
	return s.runningTasks > 0 && s.runningTasks < len(s.tasks) && !s.finished()
}

// missing says that a run goes on of which some members have to be sent again.
func (s *step) hasMissingMembers() bool {
	return s.spec.Gang && !s.gang.broken && s.isPartialGang()
}

// startMissingMembers sends the members again that were not started, under the run's number, or
// gives the run up when that takes too long.
func (p *Pool) startMissingMembers(s *step, candidates []*worker, now clock.Time, out *Actions) {
	if now.Sub(s.gang.startedAt) > gangCompletionTimeout {
		p.breakGang(s)
		return
	}
	for i := range s.tasks {
		t := &s.tasks[i]
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

// gangCheckpoint is a checkpoint from which all members may go on.
func (s *step) gangCheckpoint() string {
	for i := range s.tasks {
		if c := s.tasks[i].checkpoint; c != "" {
			return c
		}
	}
	return ""
}
