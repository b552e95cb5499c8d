package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

// namedFromFirst has all owners name workers.
func namedFromFirst(c *Config) {
	c.Term, c.RecordWorkersFromTerm = 1, 1
}

func afterOwnerThatNames(c *Config) {
	afterFormerOwner(c)
	c.RecordWorkersFromTerm = 1
}

// namedJob is a job of the first term.
func namedJob(id string) job.Record {
	r := testJob(id, testStep(1))
	r.Term = 1
	return r
}

// namedStart is the one start of a plan after the store has taken the names of its workers.
func (f *fixture) namedStart() StartOrder {
	f.Expect(f.plan().Starts).To(BeEmpty(), "the store has no name yet")
	f.commits()
	return f.onlyStart()
}

// A start may be carried out by the next life of its worker, so a job waits for that one, too.
func TestJobIsHeldWhileTheNextLifeOfANamedWorkerIsSilent(t *testing.T) {
	f := newFixture(t, 0, afterOwnerThatNames)
	f.lists(firstLife(0))
	f.begins(firstLife(1), Report{})
	f.pool.AddJob(namedJob("a"), job.Progress{Workers: []string{"w0"}}, true, 0, f.now)
	f.Expect(f.plan().Starts).To(BeEmpty(), "w0 is silent")
	f.answers(f.hold(firstLife(0), false), secondLife(0), Report{})
	f.Expect(f.pool.workers[firstLife(0).id].terminated).To(BeTrue())
	f.plan()
	f.Expect(f.pool.Status(f.now).BlockedJobs).To(Equal(1), "the next life of w0 has not told what it runs")
	f.reports(secondLife(0), Report{})
	f.reports(firstLife(1), Report{})
	f.plan()
	f.Expect(f.pool.Status(f.now).BlockedJobs).To(BeZero())
}

// The name of a worker stays in the store while its next life may run what was sent to the one before.
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
