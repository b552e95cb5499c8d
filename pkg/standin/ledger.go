package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Run is one execution of a request or a task, as the back end saw it.
type Run struct {
	Kind          string // "call", "batch" or "service"
	Key           string // the caller's key of a call, or the task's id
	Where         string
	Start         time.Time
	End           time.Time // zero while it runs
	NotRepeatable bool
	// Outcome is "running", "done", "cut" (stopped while in flight) or "lapsed" (its
	// lease ended).
	Outcome string
}

// Ledger records what ran. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	runs       []*Run
	violations map[string]int
	notes      []string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{violations: map[string]int{}}
}

// Begin records that something started to run. The caller ends it with End.
func (l *Ledger) Begin(r Run) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Start, r.Outcome = time.Now(), "running"
	l.runs = append(l.runs, &r)
	return &r
}

// End records that a run ended.
func (l *Ledger) End(r *Run, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Outcome == "running" {
		r.End, r.Outcome = time.Now(), outcome
	}
}

// Violation counts a broken promise that a back end saw by itself.
func (l *Ledger) Violation(promise, note string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations[promise]++
	if len(l.notes) < maxNotes {
		l.notes = append(l.notes, promise+": "+note)
	}
}

const maxNotes = 50

// The promises that the ledger judges.
const (
	PromiseCapacity  = "capacity"
	PromiseOnePlace  = "one_place"
	PromiseOnce      = "at_most_once"
	PromiseLeaving   = "leaving"
	PromiseNotCut    = "not_cut"
	PromiseNotRun    = "not_run"
	PromiseWhole     = "whole_answer"
	PromiseConfigure = "configuration"
)

// Promises lists the promises in the order of the brief.
func Promises() []string {
	return []string{PromiseCapacity, PromiseOnePlace, PromiseWhole, PromiseNotRun,
		PromiseOnce, PromiseLeaving, PromiseNotCut, PromiseConfigure}
}

// Verdict is what the ledger says after a test.
type Verdict struct {
	Runs       int            `json:"runs"`
	Violations map[string]int `json:"violations"`
	Notes      []string       `json:"notes"`
}

// Judge looks for runs of one key that overlap, and for more than one run of a key that
// is not repeatable, and adds the violations counted by the back ends.
func (l *Ledger) Judge() Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := Verdict{Runs: len(l.runs), Violations: map[string]int{}, Notes: slices.Clone(l.notes)}
	for promise, n := range l.violations {
		v.Violations[promise] = n
	}
	for key, runs := range l.byKey() {
		if note := overlap(runs); note != "" {
			v.add(PromiseOnePlace, key+" "+note)
		}
		if runs[0].NotRepeatable && len(runs) > 1 {
			v.add(PromiseOnce, fmt.Sprintf("%s ran %d times", key, len(runs)))
		}
	}
	return v
}

func (v *Verdict) add(promise, note string) {
	v.Violations[promise]++
	v.Notes = append(v.Notes, promise+": "+note)
}

// Ran says how often a key ran.
func (l *Ledger) Ran(key string) int {
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
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		list = append(list, *r)
	}
	return list
}

func (l *Ledger) byKey() map[string][]*Run {
	index := map[string][]*Run{}
	for _, r := range l.runs {
		index[r.Key] = append(index[r.Key], r)
	}
	return index
}

// overlap says where two runs were at the same time; the runs are in order of start.
func overlap(runs []*Run) string {
	for i := 1; i < len(runs); i++ {
		before, after := runs[i-1], runs[i]
		if before.End.IsZero() || before.End.After(after.Start) {
			return fmt.Sprintf("ran at %s and %s at once", before.Where, after.Where)
		}
	}
	return ""
}
