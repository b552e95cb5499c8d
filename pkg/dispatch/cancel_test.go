package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// Guards against a run that goes on after its job was cancelled: a worker may carry out a start that it has
// not answered seconds later.
func TestRunThatStartsLongAfterItsJobWasCancelledIsStopped(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	s := f.plan().Starts[0]
	f.pool.HandleStartAnswer(s, Answer{}, errors.New("no answer"), f.now)
	f.pool.Cancel("a")
	for range 3 { // nothing runs yet
		f.advance(time.Second)
		f.report(0, Report{})
		f.plan()
	}
	f.report(0, Report{Active: []ActiveRun{{Task: s.Task, Run: s.Run}}})
	f.Expect(stoppedRuns(f.plan())).To(ConsistOf(s.Run))
}

// Guards against a run of a previous owner that goes on because its job was cancelled before the new owner
// received a report of the run.
func TestRunOfAPreviousOwnerIsStoppedWhenItsJobIsCancelled(t *testing.T) {
	f := newFixture(t, 1, afterPreviousOwner)
	f.add(testJob("a", testStep(1)))
	f.pool.Cancel("a")
	task := job.TaskID{StepID: job.StepID{Job: "a"}}
	f.report(0, Report{Active: []ActiveRun{{Task: task, Run: 1}}})
	f.Expect(stoppedRuns(f.plan())).To(ConsistOf(1))
}

func stoppedRuns(a Actions) []int {
	var runs []int
	for _, s := range a.Stops {
		runs = append(runs, s.Run)
	}
	return runs
}
