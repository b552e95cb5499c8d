package crash

import (
	"fmt"
	"slices"
	"strings"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/workerid"
)

// MaxConsecutiveCrashes is after how many crashes in a row a task is given up whatever else crashed. The
// platform counts a third start after the third crash as a fault, and a change of the owner may hide one
// crash.
const MaxConsecutiveCrashes = 4

// TaskRecord has the stored starts and the crashes of one task. The zero value has none.
type TaskRecord struct {
	// attempts are starts that are in the store and that their worker is not known to have survived.
	// crashes are the crashes in a row under starts of the task.
	attempts        []job.Attempt
	crashes         []job.Crash
	lastSurvivedRun int // highest run number whose start a worker has survived
	// unresolved says that a worker was lost under a recent run of the task, whether a crash was counted
	// for it or not.
	unresolved bool
}

// Load sets what a previous owner has stored.
func (t *TaskRecord) Load(attempts []job.Attempt, crashes []job.Crash) {
	t.attempts, t.crashes = attempts, crashes
	t.unresolved = len(attempts) > 0
}

// Crashes returns the crashes in a row under starts of the task.
func (t *TaskRecord) Crashes() []job.Crash {
	return slices.Clone(t.crashes)
}

// Attempts returns the stored starts that their worker is not known to have survived.
func (t *TaskRecord) Attempts() []job.Attempt {
	return slices.Clone(t.attempts)
}

// IsSuspect reports whether a crash counts against the task, which then is to be started alone.
func (t *TaskRecord) IsSuspect() bool {
	return len(t.crashes) > 0
}

// IsUnresolved reports whether a worker was lost under a recent run of the task.
func (t *TaskRecord) IsUnresolved() bool {
	return t.unresolved
}

// MarkUnresolved records that a worker was lost under a recent run of the task.
func (t *TaskRecord) MarkUnresolved() {
	t.unresolved = true
}

// AddAttempt adds a start that is stored before it is ordered.
func (t *TaskRecord) AddAttempt(run int, worker workerid.ID) {
	t.attempts = append(t.attempts, job.Attempt{Run: run, Worker: string(worker)})
}

// RemoveAttempt removes a start whose result is known. It reports whether that changes what is stored.
func (t *TaskRecord) RemoveAttempt(run int) bool {
	n := len(t.attempts)
	t.attempts = slices.DeleteFunc(t.attempts, func(a job.Attempt) bool { return a.Run == run })
	return len(t.attempts) < n
}

// RecordSurvival records that a worker has survived a start of the task, which removes all attempts and
// crashes. It reports whether that changes what is stored.
func (t *TaskRecord) RecordSurvival(run int) bool {
	t.lastSurvivedRun, t.unresolved = max(t.lastSurvivedRun, run), false
	changed := len(t.crashes)+len(t.attempts) > 0
	t.crashes, t.attempts = nil, nil
	return changed
}

// AddCrash counts a crash against the task, unless a worker has survived a later start of the task. It
// reports whether the crash was counted.
func (t *TaskRecord) AddCrash(c job.Crash) bool {
	if c.Run <= t.lastSurvivedRun {
		return false
	}
	t.crashes = append(t.crashes, c)
	return true
}

// RemoveCrashesOf removes the crashes of a worker that turned out to have been cut off for long, and not
// to have crashed. It reports whether there were any.
func (t *TaskRecord) RemoveCrashesOf(worker workerid.ID) bool {
	n := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c job.Crash) bool { return c.Worker == string(worker) })
	return len(t.crashes) < n
}

// ShouldGiveUp reports whether the task is given up, when that takes conclusiveNeeded conclusive crashes
// (History.ConclusiveCrashesNeeded).
func (t *TaskRecord) ShouldGiveUp(conclusiveNeeded int) bool {
	return t.ConclusiveCrashes() >= conclusiveNeeded || len(t.crashes) >= MaxConsecutiveCrashes
}

// IsLastAttempt reports whether the next crash gives the task up, whatever else crashes.
func (t *TaskRecord) IsLastAttempt() bool {
	return len(t.crashes) >= MaxConsecutiveCrashes-1
}

// ConclusiveCrashes returns the number of workers with a crash that only the task can have caused. All
// incarnations of a worker count as one: a worker that crashes without a task's fault does so again and
// again, and would give jobs up.
func (t *TaskRecord) ConclusiveCrashes() int {
	workers := map[string]bool{}
	for _, c := range t.crashes {
		if c.Conclusive {
			workers[workerid.ID(c.Worker).Name()] = true
		}
	}
	return len(workers)
}

// String lists the crashes for logs, such as "w1:1,w7:2(alone)".
func (t *TaskRecord) String() string {
	names := make([]string, 0, len(t.crashes))
	for _, c := range t.crashes {
		name := fmt.Sprintf("%s:%d", c.Worker, c.Run)
		if c.Conclusive {
			name += "(alone)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}
