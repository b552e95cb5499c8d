package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// recordingFromFirstTerm has owners of all terms record the workers of their jobs.
func recordingFromFirstTerm(c *Config) {
	c.Term, c.RecordWorkersFromTerm = 1, 1
}

// afterRecordingOwner is the configuration of an owner whose previous owner recorded workers.
func afterRecordingOwner(c *Config) {
	afterPreviousOwner(c)
	c.RecordWorkersFromTerm = 1
}

// jobWithRecordedWorkers is a job accepted in the first term, for which workers are recorded.
func jobWithRecordedWorkers(id string) job.Record {
	r := testJob(id, testStep(1))
	r.Term = 1
	return r
}

// startAfterRecording is the one start of a plan that is made after the recorded workers were committed.
func (f *fixture) startAfterRecording() StartOrder {
	f.Expect(f.plan().Starts).To(BeEmpty(), "no worker is recorded in the store yet")
	f.commit()
	return f.planOneStart()
}

// The next incarnation of a recorded worker may carry out a start, so a job waits for that one, too.
func TestJobIsBlockedWhileTheNextIncarnationOfARecordedWorkerIsSilent(t *testing.T) {
	f := newFixture(t, 0, afterRecordingOwner)
	f.addEntry(firstIncarnation(0))
	f.beginIncarnation(firstIncarnation(1), Report{})
	f.pool.AddJob(jobWithRecordedWorkers("a"), job.Progress{Workers: []string{"w0"}}, true, 0, f.now)
	f.Expect(f.plan().Starts).To(BeEmpty(), "w0 is silent")
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	f.Expect(f.pool.workers[firstIncarnation(0).id].terminated).To(BeTrue())
	f.plan()
	f.Expect(f.pool.Status(f.now).BlockedJobs).To(Equal(1), "the next incarnation of w0 has not reported what it runs")
	f.pollAndReport(secondIncarnation(0), Report{})
	f.pollAndReport(firstIncarnation(1), Report{})
	f.plan()
	f.Expect(f.pool.Status(f.now).BlockedJobs).To(BeZero())
}

// A worker stays recorded while its next incarnation may run what was sent to the one before.
func TestWorkerStaysRecordedForItsNextIncarnation(t *testing.T) {
	f := newIncarnationFixture(t, 1, recordingFromFirstTerm)
	f.add(jobWithRecordedWorkers("a"))
	f.failStart(f.startAfterRecording())
	f.answerPoll(f.newPoll(firstIncarnation(0), false), secondIncarnation(0), Report{})
	f.advance(time.Millisecond)
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes).To(HaveLen(1))
	f.Expect(c.Changes[0].Progress.Workers).To(Equal([]string{"w0"}))
}
