package dispatch

import "foldarch.dev/foldarch/pkg/clock"

// gang is the state of a step whose tasks work only together. All members of a run have the
// same number.
type gang struct {
	number int  // of the last run
	broken bool // the last run can't go on; its members are being stopped
}

// breakGang gives up the present run of a gang: what runs is stopped, and the next run
// starts when nothing of this one is left.
func (p *Pool) breakGang(s *step, now clock.Time) {
	s.gang.broken = true
	for i := range s.tasks {
		p.stopRun(s.tasks[i].current)
	}
	_ = now
}

// stopPartialGangs stops gangs of former owners of which not all members were found.
func (p *Pool) stopPartialGangs(now clock.Time) {
	for _, j := range p.jobs {
		for _, t := range j.times {
			if t == nil {
				continue
			}
			for _, s := range t.steps {
				if s.spec.Gang && s.partial() {
					p.breakGang(s, now)
				}
			}
		}
	}
}

// partial says that some members of a gang run and others do not.
func (s *step) partial() bool {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].current != nil {
			n++
		}
	}
	return n > 0 && n < len(s.tasks) && !s.finished()
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
