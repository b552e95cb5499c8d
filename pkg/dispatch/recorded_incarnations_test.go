package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// recordingFromFirstTerm has owners of all terms record the workers of their jobs.
func namedFromFirst(c *Config) {
	c.Term, c.RecordWorkersFromTerm = 1, 1
}

// afterRecordingOwner is the configuration of an owner whose previous owner recorded workers.
func afterOwnerThatNames(c *Config) {
	afterFormerOwner(c)
	c.RecordWorkersFromTerm = 1
}

// jobWithRecordedWorkers is a job accepted in the first term, for which workers are recorded.
func namedJob(id string) job.Record {
	r := testJob(id, testStep(1))
	r.Term = 1
	return r
}

// startAfterRecording is the one start of a plan that is made after the recorded workers were committed.
func (f *fixture) namedStart() StartOrder {
	f.Expect(f.plan().Starts).To(BeEmpty(), "no worker is recorded in the store yet")
	f.commits()
	return f.onlyStart()
}

// The next incarnation of a recorded worker may carry out a start, so a job waits for that one, too.
func TestJobIsHeldWhileTheNextLifeOfANamedWorkerIsSilent(t *testing.T) {
	f := newFixture(t, 0, afterOwnerThatNames)
	f.lists(firstLife(0))
	f.begins(firstLife(1), Report{})
	f.pool.AddJob(namedJob("a"), job.Progress{Workers: []string{"w0"}}, true, 0, f.now)
	f.Expect(f.plan().Starts).To(BeEmpty(), "w0 is silent")
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.Expect(f.pool.workers[firstLife(0).id].terminated).To(BeTrue())
	f.plan()
	f.Expect(f.pool.Status(f.now).BlockedJobs).To(Equal(1), "the next incarnation of w0 has not reported what it runs")
	f.reports(secondLife(0), Report{})
	f.reports(firstLife(1), Report{})
	f.plan()
	f.Expect(f.pool.Status(f.now).BlockedJobs).To(BeZero())
}

// A worker stays recorded while its next incarnation may run what was sent to the one before.
func TestNameStaysWithTheNextLifeOfAWorker(t *testing.T) {
	f := newLives(t, 1, namedFromFirst)
	f.add(namedJob("a"))
	f.noAnswer(f.namedStart())
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.pass(time.Millisecond)
	c := f.pool.PrepareCommit()
	f.Expect(c.Changes).To(HaveLen(1))
	f.Expect(c.Changes[0].Progress.Workers).To(Equal([]string{"w0"}))
}
