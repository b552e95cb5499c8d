package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Run is one execution of a request or a task, as the endpoint or worker that ran it saw it. The admin API
// writes Runs as JSON under the Go names of the fields.
type Run struct {
	Kind          string // "call", "batch" or "service"
	Key           string // the idempotency key of a call, or the id of the task
	Where         string // the id of the endpoint or worker
	Start         time.Time
	End           time.Time // zero while it runs
	NotRepeatable bool
	// Outcome is "running", "done", "cut" (a call whose endpoint was stopped), "lapsed" (the lease of the
	// task expired), "killed" (the worker was killed), or worker.ResultStopped (the owner stopped the task).
	Outcome string
}

// RunLog records what ran on the stand-ins, and the violations that they saw. It is safe for concurrent use.
type RunLog struct {
	mu         sync.Mutex
	runs       []*Run
	violations map[string]int
	notes      []string
}

// NewRunLog returns an empty run log.
func NewRunLog() *RunLog {
	return &RunLog{violations: map[string]int{}}
}

// Begin records the start of a run. The caller reports its end with End.
func (l *RunLog) Begin(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Start, r.Outcome = time.Now(), "running"
	l.runs = append(l.runs, &r)
	return &r
}

// End records the end of a run. It has no effect on a run that has already ended.
func (l *RunLog) End(r *Run, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Outcome == "running" {
		r.End, r.Outcome = time.Now(), outcome
	}
}

// AddViolation counts a violation that a stand-in saw by itself.
func (l *RunLog) AddViolation(invariant, note string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations[invariant]++
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, invariant+": "+note)
	}
}

// maxNotes limits the notes from AddViolation; further violations are counted without a note.
const maxNotes = 50

// The names of the invariants; they are the keys of CheckResult.Violations.
const (
	InvariantCapacity      = "capacity"     // no worker or endpoint is given more than its capacity
	InvariantOnePlace      = "one_place"    // no two runs of a key overlap in time
	InvariantAtMostOnce    = "at_most_once" // what is not repeatable runs at most once
	InvariantLeaving       = "leaving"      // a leaving endpoint is sent no calls after leavingGrace
	InvariantNotCut        = "not_cut"      // no call is in flight when an endpoint ends by draining or with its lease
	InvariantNotRun        = "not_run"
	InvariantWholeAnswer   = "whole_answer"
	InvariantConfiguration = "configuration"
)

// Invariants returns the names of the invariants in the order in which they are reported.
func Invariants() []string {
	return []string{InvariantCapacity, InvariantOnePlace, InvariantWholeAnswer, InvariantNotRun,
		InvariantAtMostOnce, InvariantLeaving, InvariantNotCut, InvariantConfiguration}
}

// CheckResult is the result of RunLog.Check: the number of runs, the number of violations of each invariant,
// and notes about them.
type CheckResult struct {
	Runs       int            `json:"runs"`
	Violations map[string]int `json:"violations"`
	Notes      []string       `json:"notes"`
}

// Check looks for runs of one key that overlap in time and for keys that are not repeatable but ran more than
// once, and adds the violations that the stand-ins counted themselves.
func (l *RunLog) Check() CheckResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := CheckResult{Runs: len(l.runs), Violations: map[string]int{}, Notes: slices.Clone(l.notes)}
	for invariant, n := range l.violations {
		v.Violations[invariant] = n
	}
	for key, runs := range l.runsByKey() {
		if note := describeOverlap(runs); note != "" {
			v.addViolation(InvariantOnePlace, key+" "+note)
		}
		if runs[0].NotRepeatable && len(runs) > 1 {
			v.addViolation(InvariantAtMostOnce, fmt.Sprintf("%s ran %d times", key, len(runs)))
		}
	}
	return v
}

func (v *CheckResult) addViolation(invariant, note string) {
	v.Violations[invariant]++
	v.Notes = append(v.Notes, invariant+": "+note)
}

// RunCount returns how often a key ran.
func (l *RunLog) RunCount(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.runs {
		if r.Key == key {
			n++
		}
	}
	return n
}

// Runs returns a copy of all runs.
func (l *RunLog) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		list = append(list, *r)
	}
	return list
}

func (l *RunLog) runsByKey() map[string][]*Run {
	index := map[string][]*Run{}
	for _, r := range l.runs {
		index[r.Key] = append(index[r.Key], r)
	}
	return index
}

// describeOverlap returns a text about the first two successive runs that overlap in time, or "" if none do.
// The runs have to be in the order of their starts.
func describeOverlap(runs []*Run) string {
	for i := 1; i < len(runs); i++ {
		before, after := runs[i-1], runs[i]
		if before.End.IsZero() || before.End.After(after.Start) {
			return fmt.Sprintf("ran at %s and %s at once", before.Where, after.Where)
		}
	}
	return ""
}
