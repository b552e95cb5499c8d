package dispatch

import (
	"cmp"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// standing is what the end of a step's work can still be worth.
type standing int

const (
	// overdue: a task that lasts and has been away for too long. It goes before all others.
	overdue standing = iota - 1
	inTime
	late
	// beyond: its customer sends more than its weight. It goes after what others send within theirs, as long as its end is worth something.
	beyond
	worthless
)

// overdueAfter is how long a task that lasts may wait for its turn among others of its priority.
// The platform counts one lost that is away for 3 s while there could be room; a start takes
// up to StopGrace (0.4 s) for the room and a call for advice before.
const overdueAfter = time.Second

// standing says what the end of a step can still be worth. Tasks that last serve whenever they run,
// so they never come too late.
func (s *step) standing(now clock.Time) standing {
	switch {
	case s.lasting() && now.Sub(s.readySince) > overdueAfter:
		return overdue
	case s.time.job.beyond && !s.lasting() && now <= s.time.latest:
		return beyond
	case s.lasting() || now <= s.time.objective:
		return inTime
	case now <= s.time.latest:
		return late
	}
	return worthless
}

// lasting says that the step's tasks serve until the job is cancelled. Those that fill what
// others leave serve nobody and can wait.
func (s *step) lasting() bool {
	return s.spec.LongRunning && !s.spec.Filler
}

// latestStart is the last moment at which a step may begin for its job to end in time. A task that
// lasts is due at once.
func (s *step) latestStart() clock.Time {
	if s.lasting() {
		return s.readySince
	}
	return s.time.objective.Add(-s.chain)
}

// order lists the ready steps: what is still worth most first, then by priority, then by
// the latest moment at which the step may begin.
func (p *Pool) order(now clock.Time) []*step {
	type entry struct {
		step     *step
		standing standing
		priority int
		latest   clock.Time
	}
	entries := make([]entry, 0, len(p.ready))
	for s := range p.ready {
		entries = append(entries, entry{s, s.standing(now), s.time.job.queue.Priority, s.latestStart()})
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.standing, b.standing), cmp.Compare(a.priority, b.priority),
			cmp.Compare(a.latest, b.latest), cmp.Compare(a.step.number, b.step.number))
	})
	out := make([]*step, len(entries))
	for i, e := range entries {
		out[i] = e.step
	}
	return out
}
