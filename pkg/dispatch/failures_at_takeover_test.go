package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// Guards against an attempt too many: a new owner starts a task again, since a report has shown its last run as
// active, before a silent worker has reported the failure of an earlier run that the store does not have.
func TestUnreadFailureCountsBeforeATaskSeenActiveStartsAgain(t *testing.T) {
	f := newFixture(t, 3, afterPreviousOwner)
	id := job.TaskID{StepID: job.StepID{Job: "a"}}
	f.pool.AddJob(testJob("a", testStep(1)), job.Progress{Tasks: []job.TaskProgress{{Failures: []int{1}, LastRun: 1}}}, true, 0, f.now)
	f.report(0, Report{Active: []ActiveRun{{Task: id, Run: 3}}})
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.advance(200 * time.Millisecond)
	f.report(0, Report{Finished: []FinishedRun{{Number: 1, Task: id, Run: 3, Reason: EndFailed}}})
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(BeEmpty(), "w2 has not reported run 2, which failed there")
	f.report(2, Report{Finished: []FinishedRun{{Number: 1, Task: id, Run: 2, Reason: EndFailed}}})
	f.Expect(f.plan().Starts).To(BeEmpty(), "all attempts have failed")
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).NotTo(Equal(job.Completed))
}
