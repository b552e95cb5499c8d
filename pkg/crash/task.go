package crash

import (
	"fmt"
	"slices"
	"strings"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/workerid"
)

// MaxConsecutiveCrashes is how many crashes in a row give a task up whatever else crashed. The platform counts the third start after
// the third crash as a fault, and a change of the owner may hide one crash.
const MaxConsecutiveCrashes = 4

// TaskRecord is what speaks against one task. The zero value has nothing against it.
type TaskRecord struct {
	// attempts are starts that are in the store and not known to have been survived, and crashes the starts in a
	// row under which a worker crashed.
	attempts        []job.Attempt
	crashes         []job.Crash
	lastSurvivedRun int // highest number whose start a worker has survived
	// unresolved says that a worker has gone under a start that was not proven, whether a crash was counted for it or not.
	unresolved bool
}

// Load takes in what a former owner has stored.
func (t *TaskRecord) Load(attempts []job.Attempt, crashes []job.Crash) {
	t.attempts, t.crashes = attempts, crashes
	t.unresolved = len(attempts) > 0
}

// Crashes lists the starts in a row under which a worker crashed.
func (t *TaskRecord) Crashes() []job.Crash {
	return slices.Clone(t.crashes)
}

// Attempts lists the stored starts that are not known to have been survived.
func (t *TaskRecord) Attempts() []job.Attempt {
	return slices.Clone(t.attempts)
}

// IsSuspect says that there is a crash against the task, so that it is to be started alone.
func (t *TaskRecord) IsSuspect() bool {
	return len(t.crashes) > 0
}

// IsUnresolved says that a worker has gone under a start that was not proven.
func (t *TaskRecord) IsUnresolved() bool {
	return t.unresolved
}

// MarkUnresolved takes in that a worker has gone under a start that was not proven.
func (t *TaskRecord) MarkUnresolved() {
	t.unresolved = true
}

// AddAttempt takes in a start that is stored before it is ordered.
func (t *TaskRecord) AddAttempt(run int, worker workerid.ID) {
	t.attempts = append(t.attempts, job.Attempt{Run: run, Worker: string(worker)})
}

// RemoveAttempt takes in that nothing is open of a start any more. It says whether that changes what is stored.
func (t *TaskRecord) RemoveAttempt(run int) bool {
	n := len(t.attempts)
	t.attempts = slices.DeleteFunc(t.attempts, func(a job.Attempt) bool { return a.Run == run })
	return len(t.attempts) < n
}

// RecordSurvival takes back what speaks against the task: one of its starts was survived. It says whether that changes what is stored.
func (t *TaskRecord) RecordSurvival(run int) bool {
	t.lastSurvivedRun, t.unresolved = max(t.lastSurvivedRun, run), false
	changed := len(t.crashes)+len(t.attempts) > 0
	t.crashes, t.attempts = nil, nil
	return changed
}

// AddCrash counts a crash against the task, unless it has survived a later start since. It says whether it did.
func (t *TaskRecord) AddCrash(c job.Crash) bool {
	if c.Run <= t.lastSurvivedRun {
		return false
	}
	t.crashes = append(t.crashes, c)
	return true
}

// RemoveCrashesOf takes back the crashes of a worker that had only been cut off for long. It says whether there were any.
func (t *TaskRecord) RemoveCrashesOf(worker workerid.ID) bool {
	n := len(t.crashes)
	t.crashes = slices.DeleteFunc(t.crashes, func(c job.Crash) bool { return c.Worker == string(worker) })
	return len(t.crashes) < n
}

// ShouldGiveUp says that the task is given up, where that takes a number of crashes for which nothing but the task can be the cause (History.ConclusiveCrashesNeeded).
func (t *TaskRecord) ShouldGiveUp(sureNeeded int) bool {
	return t.ConclusiveCrashes() >= sureNeeded || len(t.crashes) >= MaxConsecutiveCrashes
}

// IsLastAttempt says that the next crash gives the task up, whatever else crashes.
func (t *TaskRecord) IsLastAttempt() bool {
	return len(t.crashes) >= MaxConsecutiveCrashes-1
}

// ConclusiveCrashes counts the workers that crashed so that nothing but the task can be the cause. The lives of one worker count once: one that crashes by itself
// does so again and again, and gave jobs up.
func (t *TaskRecord) ConclusiveCrashes() int {
	workers := map[string]bool{}
	for _, c := range t.crashes {
		if c.Alone {
			workers[workerid.ID(c.Worker).Name()] = true
		}
	}
	return len(workers)
}

// String names the crashes for logs, such as "w1:1,w7:2(alone)".
func (t *TaskRecord) String() string {
	names := make([]string, 0, len(t.crashes))
	for _, c := range t.crashes {
		name := fmt.Sprintf("%s:%d", c.Worker, c.Run)
		if c.Alone {
			name += "(alone)"
		}
		names = append(names, name)
	}
	return strings.Join(names, ",")
}
