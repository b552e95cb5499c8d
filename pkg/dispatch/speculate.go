package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Copies of a task may run at the same time where its step says so. A copy is started when the first run
// is on a worker that has fallen silent: it may go on there, but its end may come late or never. Whichever
// run is done first counts, and the other is stopped. Without cause there is no copy, since the work of
// one of the two is thrown away.

// doubtAfter is how much longer than a hold waits a worker may be silent before its runs are doubted. Calls to
// workers are given up after 0.16 to 0.6 s (poolowner); half a second covers one lost call and another try.
const doubtAfter = 500 * time.Millisecond

// doubtSilent starts to look for other workers for tasks on a silent worker that may run twice.
func (p *Pool) doubtSilent(w *worker, now clock.Time) {
	if !w.reported || now.Sub(w.lastAnswer) < p.HoldWait(w.info.ID)+doubtAfter {
		return
	}
	for _, r := range sortedRuns(w) {
		p.doubt(r, "its worker is silent", now)
	}
}

// doubt lets another run of a task start beside one, if copies are allowed and the job's end can still be
// in time. It says whether it did.
func (p *Pool) doubt(r *run, why string, now clock.Time) bool {
	t := r.task
	s := t.step
	if !s.spec.Speculative || s.spec.Gang || s.spec.LongRunning || t.current != r || t.doubted != nil || s.standing(now) != inTime {
		return false
	}
	p.cfg.Log(Event{Name: "run_doubted", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Detail: why})
	t.doubted, t.current = r, nil
	t.avoid = r.worker.info.ID
	p.updateReady(s.time)
	return true
}

// trustAgain takes back a doubt when a run is reported before another was started.
func (p *Pool) trustAgain(r *run) {
	t := r.task
	if t.doubted != r || t.current != nil || t.done || r.stopAsked {
		return
	}
	t.current, t.doubted = r, nil
	p.updateReady(t.step.time)
}

// doubtedEnded takes in the end of a run beside which another may have been started.
func (p *Pool) doubtedEnded(r *run, how End, now clock.Time) {
	t := r.task
	t.doubted = nil
	j := t.step.time.job
	if t.done || j.outcome != "" {
		return
	}
	switch how {
	case EndDone:
		p.stopRun(t.current)
		p.taskDone(t)
	case EndFailed:
		p.countFailure(t, r.number)
	}
	p.updateReady(t.step.time)
}
