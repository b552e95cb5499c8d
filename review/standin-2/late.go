package main

import (
	"net/http"
	"time"
)

const (
	lateWorkers  = 8
	lateJobs     = 165
	lateJobPause = 33 * time.Millisecond // some 30 jobs a second, for as long as orders come late
	lateWork     = 300
)

// playLate plays jobs of one task, the first run of which fails by the job's own fault. While they come, workers
// leave a share of their orders unanswered and carry them out late. Workers tell when they were born.
func playLate(w *world) int {
	w.keepIDs = true
	w.putConfig()
	for n := range lateWorkers {
		x, err := newWorker(w, n)
		if err != nil {
			return couldNotPlay
		}
		w.workers = append(w.workers, x)
	}
	job := map[string]any{"spec": "failsfirst ms=300", "steps": []any{map[string]any{"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": lateWork}}}
	if !w.submit("fill", "00000000000000f0", job) {
		return couldNotPlay
	}
	time.Sleep(3 * time.Second)
	w.setLate(lateShare)
	time.AfterFunc(lateFor, func() { w.setLate(0) })
	for n := range lateJobs {
		if status, _ := w.call(n, http.MethodPost, "/fill/"+jobID(n), encode(job)); status != http.StatusOK {
			w.note("job %s: %d", jobID(n), status)
			return couldNotPlay
		}
		w.jobs[jobID(n)] = &jobWatch{steps: 1, idleFrom: time.Now()}
		w.note("job %s accepted", jobID(n))
		w.watch(time.Now())
		time.Sleep(lateJobPause)
	}
	return w.judgeIdle()
}

// isFirstRun reports whether no run of a task has ended before.
func (w *world) isFirstRun(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := w.endedOnce[task]
	w.endedOnce[task] = true
	return !ended
}
