package dispatch

import (
	"fmt"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/worth"
	. "github.com/onsi/gomega"
)

// jobWithAdviceTime returns a job of a queue of its own whose calls for advice take the given time.
func jobWithAdviceTime(id string, priority int, call time.Duration) job.Record {
	r := testJob(id, testStep(1))
	r.Queue.Name, r.Queue.Priority = "queue of "+id, priority
	r.Queue.Advice = &queue.AdviceCost{Base: call, Validity: 2 * time.Second}
	return r
}

// jobsWithAdviceCalls plans once and returns the jobs for which calls for advice are made.
func (f *fixture) jobsWithAdviceCalls() []job.ID {
	var out []job.ID
	for _, a := range f.plan().AdviceCalls {
		out = append(out, a.Step.Job)
	}
	return out
}

// Guards against jobs of low rank that never get a call for advice: with one host in each hall, jobs that
// were late found no host free for a call until the end of a day, 5 to 17 times a day.
func TestDelayedAdviceGoesBeforeHigherPriority(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	f.add(jobWithAdviceTime("last", 3, 200*time.Millisecond))
	f.advance(adviceDelayLimit)
	f.reportAll(4)
	f.add(jobWithAdviceTime("first", 0, 200*time.Millisecond))
	f.Expect(f.jobsWithAdviceCalls()).To(Equal([]job.ID{"last"}))
}

func TestDelayedAdviceIsOrderedByResponseRatio(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	f.add(jobWithAdviceTime("long", 1, 600*time.Millisecond))
	f.advance(200 * time.Millisecond)
	f.add(jobWithAdviceTime("short", 2, 20*time.Millisecond))
	f.advance(adviceDelayLimit)
	f.reportAll(4)
	f.Expect(f.jobsWithAdviceCalls()).To(Equal([]job.ID{"short"}))
}

func TestOverdueServiceGoesBeforeOtherDelayedAdvice(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	f.add(jobWithAdviceTime("short", 0, 20*time.Millisecond))
	r := jobWithAdviceTime("lasts", 3, 600*time.Millisecond)
	r.Job.Steps = []job.Step{serviceStep(1)}
	f.add(r)
	f.advance(worth.MaxServiceWait + 50*time.Millisecond)
	f.reportAll(4)
	f.Expect(f.jobsWithAdviceCalls()).To(Equal([]job.ID{"lasts"}))
}

// Guards against delayed steps that wait for their customer's quota and use up all selections of advice
// targets that a plan makes (maxAdviceSelectionsPerPlan), although they can't start.
func TestStepsWaitingForQuotaUseNoAdviceSelections(t *testing.T) {
	f := newQuotaFixture(t)
	f.pool.AddAdviser("host")
	f.add(withCustomer(northWithQuota(0), testJob("runs", testStep(3))))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	for n := range maxAdviceSelectionsPerPlan {
		f.add(withCustomer(northWithQuota(0), jobWithAdviceTime(fmt.Sprintf("waits-%d", n), 0, 20*time.Millisecond)))
	}
	f.advance(2 * adviceDelayLimit)
	f.reportAll(2)
	f.add(jobWithAdviceTime("new", 0, 20*time.Millisecond))
	f.Expect(f.jobsWithAdviceCalls()).To(Equal([]job.ID{"new"}))
}

// fillPool runs tasks that belong to no customer on a number of the pool's 16 cores.
func (f *fixture) fillPool(cores int) {
	f.add(testJob("fills", testStep(cores)))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
}

// Guards against a backlog that makes new jobs late, too. After a burst, each step of the backlog has waited
// for longer than a new urgent one. With the longest waiting first, all hosts made calls for steps that could
// only end late (45 of 45 calls, with 600 to 770 steps waiting for 30 s after the burst), so new steps got
// their advice as late: 4 of 223 jobs were in time in the two seconds from 18 s on.
func TestDelayedAdviceHasNoPrecedenceInAMostlyUsedPool(t *testing.T) {
	for name, test := range map[string]struct {
		cores int
		want  job.ID
	}{
		"mostly used": {11, "new"},
		"little used": {7, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4, nil)
			f.reportAll(4)
			f.pool.AddAdviser("host")
			f.fillPool(test.cores)
			f.add(jobWithAdviceTime("old", 0, 200*time.Millisecond))
			f.advance(10 * time.Second)
			f.reportAll(4)
			f.pool.loadsUpdatedAt = 0
			f.add(jobWithAdviceTime("new", 0, 200*time.Millisecond))
			f.Expect(f.jobsWithAdviceCalls()).To(Equal([]job.ID{test.want}))
		})
	}
}
