package dispatch

import (
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// What a job may have running on workers that have not reported to a new owner, in thousandths of a
// core; each task takes a core.
func TestMaxUnreportedUse(t *testing.T) {
	after := func(count int, steps ...int) job.Step {
		s := testStep(count)
		s.After = steps
		return s
	}
	longRunning := testStep(2)
	longRunning.LongRunning = true
	for _, x := range []struct {
		name  string
		steps []job.Step
		done  []job.TaskProgress
		want  int64
	}{
		{"one step", []job.Step{testStep(2)}, nil, 2000},
		{"the next step is smaller", []job.Step{testStep(3), after(2, 0)}, nil, 3000},
		{"the next step is larger", []job.Step{testStep(2), after(5, 0)}, nil, 5000},
		{"the step after the next is larger", []job.Step{testStep(2), after(1, 0), after(4, 1)}, nil, 4000},
		{"two steps after one", []job.Step{testStep(2), after(2, 0), after(1, 0)}, nil, 3000},
		{"one step after two", []job.Step{testStep(2), testStep(1), after(9, 0, 1)}, nil, 18000},
		{"a step after a long-running one never begins", []job.Step{longRunning, after(5, 0)}, nil, 2000},
		{"the first step is done", []job.Step{testStep(1), after(3, 0)}, []job.TaskProgress{{Done: true}}, 3000},
		{"one task of the first step is done", []job.Step{testStep(2), after(1, 0)}, []job.TaskProgress{{Done: true}}, 1000},
	} {
		f := newFixture(t, 1, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
		f.pool.AddJob(testJob("a", x.steps...), job.Progress{Tasks: x.done}, true, 0, f.now)
		f.Expect(f.pool.jobs["a"].maxUnreportedUse().CPUMillis).To(Equal(x.want), x.name)
	}
}

// A worker has reported a task of the first step as running: the next step can't have begun.
func TestUnreportedUseExcludesStepsAfterARunningStep(t *testing.T) {
	f := newFixture(t, 2, func(c *Config) { c.HasPreviousOwner, c.Term, c.Token = true, 2, nextOwnerToken })
	next := testStep(5)
	next.After = []int{0}
	f.add(testJob("a", testStep(2), next))
	f.report(0, Report{Active: []ActiveRun{{Task: job.TaskID{StepID: job.StepID{Job: "a"}}, Run: 1, Percent: 10}}})
	f.Expect(f.pool.jobs["a"].maxUnreportedUse()).To(Equal(cell.Resources{CPUMillis: 1000, MemoryMB: 1000}))
}
