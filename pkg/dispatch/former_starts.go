package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// A later owner has to know of the starts that may come late (late_starts.go). So the store is told of one as soon as it got no answer, with its worker. What
// a later owner reads counts as a late start on that worker for latestOrder, unless a worker lists it. A start whose owner was gone before the store was told
// is not known.

// storeUnanswered has the store be told of a start without an answer.
func (p *Pool) storeUnanswered(r *run, sentBy clock.Time) {
	t := r.task
	if r.told || !r.mayBeLate() {
		return
	}
	r.told = true
	at := p.cfg.Wall().Add(-p.now.Sub(sentBy))
	t.unanswered = append(t.unanswered, job.Unanswered{Run: r.number, Worker: string(r.worker.info.ID), At: at, Void: r.repeated})
	p.storeProgress(t)
}

// storeVoid has the store be told of a start that does nothing any more on the life that it was sent to.
func (p *Pool) storeVoid(r *run, sentBy clock.Time) {
	p.storeUnanswered(r, sentBy)
	t := r.task
	for i, u := range t.unanswered {
		if u.Run == r.number && !u.Void {
			t.unanswered[i].Void = true
			p.storeProgress(t)
		}
	}
}

// carriedOut takes in that a worker has answered a start or lists its run, so that it does not come late. The store is told with the next change. A start that
// was void, and members of a gang, may have been sent again under the same number, and a list shows one run.
func (t *task) carriedOut(number int) {
	if t.step.spec.Gang {
		return
	}
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.Unanswered) bool { return u.Run == number && !u.Void })
	t.lateStarts = slices.DeleteFunc(t.lateStarts, func(l lateStart) bool { return l.former && l.number == number && !l.void })
}

// dropUnanswered forgets the starts of a task that can't be carried out any more.
func (p *Pool) dropUnanswered(t *task) {
	t.unanswered = slices.DeleteFunc(t.unanswered, func(u job.Unanswered) bool { return p.lateFrom(u.At, p.now) == 0 })
}

// lastUnanswered is when the last start of a job was sent that may come late, at the latest; zero without any. One whose call is not over counts: the store is
// not told any more of what becomes of it.
func (p *Pool) lastUnanswered(j *jobState) time.Time {
	var last time.Time
	for s := range j.steps() {
		for i := range s.tasks {
			p.dropUnanswered(&s.tasks[i])
			if r := s.tasks[i].current; r != nil && !r.told && r.mayBeLate() {
				return p.cfg.Wall()
			}
			for _, u := range s.tasks[i].unanswered {
				if u.At.After(last) {
					last = u.At
				}
			}
		}
	}
	return last
}

// takeUnanswered takes in the starts of a task that former owners got no answer to.
func (p *Pool) takeUnanswered(t *task, starts []job.Unanswered) {
	if !t.step.heedsLateStarts() {
		return
	}
	for _, u := range starts {
		if until := p.lateFrom(u.At, p.now); until != 0 {
			line := p.lineageOf(WorkerID(u.Worker).Name())
			t.unanswered = append(t.unanswered, u)
			t.lateStarts = append(t.lateStarts, lateStart{number: u.Run, line: line, until: until, former: true, void: u.Void})
			line.mayRunLateUntil(until)
		}
	}
	p.logDelays(t)
}

// lateFrom is until when a start may be carried out that was sent by a time of day, at this owner or a former one; 0 when that is over.
func (p *Pool) lateFrom(sentBy time.Time, now clock.Time) clock.Time {
	left := min(sentBy.Add(latestOrder+clocksApart).Sub(p.cfg.Wall()), latestOrder)
	if sentBy.IsZero() || left <= 0 {
		return 0
	}
	return now.Add(left)
}
