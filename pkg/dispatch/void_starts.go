package dispatch

import (
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// A start without an answer that was fenced off, or whose worker was lost, is void on the life that it was sent to. The next life of that worker has seen no
// token and may carry it out until latestOrder after it was sent. Until then:
//
//   - Its task starts again at once, but only on the same worker. A life that has the task, or has seen a higher token, does not carry the start out, and
//     what ran on one that has ended does not run beside it.
//   - No end of its task, nor of another member of its gang, is noted, so a start that comes late does not come after an end that was. The job is shown as
//     completed all the same.
//
// Tickets are for one life, so starts with one are rejected by the next.

// sentWithin is how long after it was decided a start may be sent.
const sentWithin = 100 * time.Millisecond

// voidStart is a void start of a task that may still be carried out.
type voidStart struct {
	// line is the worker that the task may be started on meanwhile; nil for any.
	line  *lineage
	until clock.Time
}

// heldNote is an end of a worker that is not to be noted before a time.
type heldNote struct {
	number int64
	until  clock.Time
}

// becameVoid takes in that a start is void on the life that it was sent to. Its task may then be started on the worker of a line only; on any if that is nil.
func (p *Pool) becameVoid(r *run, line *lineage) {
	s := r.task.step
	if r.worker.info.ID.Born() == 0 || !r.mayGoOver() || s.time.job.queue.Advice != nil || s.spec.Speculative {
		return
	}
	r.task.voids = append(r.task.voids, voidStart{line: line, until: r.orderedAt.Add(latestOrder + sentWithin)})
}

// over says that a start can't be carried out any more, and that no life of its worker that nobody has heard of can have begun it.
func (v voidStart) over(now clock.Time, longestLease time.Duration) bool {
	if v.line == nil || now < v.until {
		return now >= v.until
	}
	heard := slices.ContainsFunc(v.line.lives, func(w *worker) bool { return w.provenAt >= v.until })
	return heard || now >= v.until.Add(lapseTime(longestLease))
}

// dropVoidsOver forgets the void starts of a task that are over.
func (p *Pool) dropVoidsOver(t *task, now clock.Time) {
	t.voids = slices.DeleteFunc(t.voids, func(v voidStart) bool { return v.over(now, p.cfg.LongestLease) })
}

// mayRunOn says whether a task may be started on a worker as far as its void starts are concerned.
func (t *task) mayRunOn(w *worker) bool {
	return !slices.ContainsFunc(t.voids, func(v voidStart) bool { return v.line != nil && v.line != w.line })
}

// hasVoids says that there are void starts of tasks of a step.
func (s *step) hasVoids() bool {
	for i := range s.tasks {
		if len(s.tasks[i].voids) > 0 {
			return true
		}
	}
	return false
}

// mayNoteFrom is from when on ends of a task may be noted; 0 for any time.
func (t *task) mayNoteFrom() clock.Time {
	if !t.step.spec.Gang {
		return t.lastVoid()
	}
	var from clock.Time
	for i := range t.step.tasks {
		from = max(from, t.step.tasks[i].lastVoid())
	}
	return from
}

// lastVoid is until when void starts of a task may be carried out; 0 without any.
func (t *task) lastVoid() clock.Time {
	var until clock.Time
	for _, v := range t.voids {
		until = max(until, v.until)
	}
	return until
}

// holdNote keeps an end from being noted while a void start of its task, or of its gang, may be carried out.
func (p *Pool) holdNote(w *worker, f Finished, now clock.Time) {
	t := p.task(f.Task)
	if t == nil {
		return
	}
	if from := t.mayNoteFrom(); now < from {
		w.heldNotes = append(w.heldNotes, heldNote{f.Number, from})
		p.cfg.Log(Event{Name: "note_held", Task: f.Task, Run: f.Run, Worker: w.info.ID, Detail: from.Sub(now).String()})
	}
}

// mayNoteUpTo is the number up to which all ends of a worker are taken in and may be noted.
func (w *worker) mayNoteUpTo(now clock.Time) int64 {
	w.heldNotes = slices.DeleteFunc(w.heldNotes, func(h heldNote) bool { return now >= h.until })
	upTo := w.takenUpTo()
	for _, h := range w.heldNotes {
		upTo = min(upTo, h.number-1)
	}
	return upTo
}

// fillBound gives each member of a gang a worker, those with void starts theirs and the others the ones with most room; nil when they don't suffice.
func fillBound(s *step, workers []*worker) []*worker {
	room := make([]int, len(workers))
	for i, w := range workers {
		room[i] = fits(s, w)
	}
	chosen := make([]*worker, len(s.tasks))
	for _, bound := range []bool{true, false} {
		for i := range s.tasks {
			t := &s.tasks[i]
			if (len(t.voids) > 0) != bound {
				continue
			}
			n := mostRoomFor(t, workers, room)
			if n < 0 {
				return nil
			}
			chosen[i] = workers[n]
			room[n]--
		}
	}
	return chosen
}

// mostRoomFor is the index of the worker with most room that a task may be started on; -1 for none.
func mostRoomFor(t *task, workers []*worker, room []int) int {
	best := -1
	for n, w := range workers {
		if room[n] > 0 && t.mayRunOn(w) && (best < 0 || room[n] > room[best]) {
			best = n
		}
	}
	return best
}
