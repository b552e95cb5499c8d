package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
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

// Guards against tasks that wait for a silent worker although no unread failure can exhaust their attempts.
func TestTaskSeenActiveStartsAgainUnlessUnreadFailuresMayExhaustItsAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		stored      job.TaskProgress
		run         int
		reason      EndReason
		maxAttempts int
		starts      bool
	}{
		"the run follows the last one of the store":        {job.TaskProgress{Failures: []int{1}, LastRun: 1}, 2, EndFailed, 3, true},
		"the same in the previous owner's term":            {job.TaskProgress{Failures: []int{501}, LastRun: 501}, 502, EndFailed, 3, true},
		"a run between them may have failed":               {job.TaskProgress{Failures: []int{1}, LastRun: 1}, 3, EndFailed, 3, false},
		"an attempt is left even if that run has failed":   {job.TaskProgress{Failures: []int{1}, LastRun: 1}, 3, EndFailed, 4, true},
		"the run that was seen has not failed":             {job.TaskProgress{Failures: []int{1}, LastRun: 1}, 3, EndStopped, 3, true},
		"the previous owner may have known more failures":  {job.TaskProgress{Failures: []int{1}, LastRun: 1}, 501, EndFailed, 4, false},
		"nothing is stored and an earlier run has its end": {job.TaskProgress{}, 2, EndFailed, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, afterPreviousOwner)
			f.setMaxAttempts(test.maxAttempts)
			f.pool.AddJob(testJob("a", testStep(1)), job.Progress{Tasks: []job.TaskProgress{test.stored}}, true, 0, f.now)
			id := job.TaskID{StepID: job.StepID{Job: "a"}}
			f.report(0, Report{Active: []ActiveRun{{Task: id, Run: test.run}}})
			f.Expect(f.plan().Starts).To(BeEmpty())
			f.advance(time.Second)
			f.report(0, Report{Finished: []FinishedRun{{Number: 1, Task: id, Run: test.run, Reason: test.reason}}})
			f.Expect(f.plan().Starts).To(HaveLen(map[bool]int{true: 1, false: 0}[test.starts]))
		})
	}
}

// Guards against an attempt too many after a second takeover, whose owner reads the last of the runs as stored and
// does not count the unread failure before the first.
func TestTaskWithUnreadFailureStartsOnceBeforeTheTakeoverIsSettled(t *testing.T) {
	f := newFixture(t, 2, afterPreviousOwner)
	f.setMaxAttempts(4)
	f.add(testJob("a", testStep(1)))
	id := job.TaskID{StepID: job.StepID{Job: "a"}}
	f.report(0, Report{Active: []ActiveRun{{Task: id, Run: 2}}})
	f.Expect(f.plan().Starts).To(BeEmpty())
	f.advance(time.Second)
	f.report(0, Report{Finished: []FinishedRun{{Number: 1, Task: id, Run: 2, Reason: EndFailed}}})
	s := f.plan().Starts
	f.Expect(s).To(HaveLen(1))
	f.accept(s[0])
	f.report(0, Report{Finished: []FinishedRun{{Number: 2, Task: id, Run: s[0].Run, Reason: EndFailed}}})
	f.Expect(f.plan().Starts).To(BeEmpty(), "w1 has not reported run 1")
	f.report(1, Report{})
	f.Expect(f.plan().Starts).To(HaveLen(1))
}

// setMaxAttempts sets how many runs of a task may fail.
func (f *fixture) setMaxAttempts(n int) {
	q := testQueue
	q.MaxAttempts = n
	f.pool.SetConfig(queue.NewConfig(1, []queue.Queue{q}, nil))
}
