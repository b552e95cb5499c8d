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

// adviceJob is a job of a queue whose calls for advice take a time.
func adviceJob(id string, priority int, call time.Duration) job.Record {
	r := testJob(id, testStep(1))
	r.Queue.Name, r.Queue.Priority = "queue of "+id, priority
	r.Queue.Advice = &queue.AdviceCost{Base: call, Validity: 2 * time.Second}
	return r
}

// asked plans once and returns the jobs for which calls for advice are made.
func (f *fixture) asked() []job.ID {
	var out []job.ID
	for _, a := range f.plan().AdviceCalls {
		out = append(out, a.Step.Job)
	}
	return out
}

// Found on copies of the market stalls with one host a hall: jobs past their worth found no free process
// for a call before the end of the day (LOST, 5 to 17 times a day).
func TestJobOfTheLastPriorityIsAskedForInTime(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	f.add(adviceJob("last", 3, 200*time.Millisecond))
	f.pass(adviceDelayLimit)
	f.reportAll(4)
	f.add(adviceJob("first", 0, 200*time.Millisecond))
	f.Expect(f.asked()).To(Equal([]job.ID{"last"}))
}

func TestOfStarvingStepsThoseGoFirstThatWaitedLongestForTheirCalls(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	f.add(adviceJob("long", 1, 600*time.Millisecond))
	f.pass(200 * time.Millisecond)
	f.add(adviceJob("short", 2, 20*time.Millisecond))
	f.pass(adviceDelayLimit)
	f.reportAll(4)
	f.Expect(f.asked()).To(Equal([]job.ID{"short"}))
}

func TestTaskThatLastsIsAskedForBeforeOtherStarvingSteps(t *testing.T) {
	f := newFixture(t, 4, nil)
	f.reportAll(4)
	f.pool.AddAdviser("host")
	f.add(adviceJob("short", 0, 20*time.Millisecond))
	r := adviceJob("lasts", 3, 600*time.Millisecond)
	r.Job.Steps = []job.Step{servingStep(1)}
	f.add(r)
	f.pass(worth.MaxServiceWait + 50*time.Millisecond)
	f.reportAll(4)
	f.Expect(f.asked()).To(Equal([]job.ID{"lasts"}))
}

// A plan chooses workers for a few steps only. Starving steps that wait for their customer's quota, and can't be given any, took all of these turns.
func TestStepsThatWaitForTheirQuotaTakeNoTurnsForAdvice(t *testing.T) {
	f := quotaFixture(t)
	f.pool.AddAdviser("host")
	f.add(of(north(0), testJob("runs", testStep(3))))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
	for n := range maxAdviceSelectionsPerPlan {
		f.add(of(north(0), adviceJob(fmt.Sprintf("waits-%d", n), 0, 20*time.Millisecond)))
	}
	f.pass(2 * adviceDelayLimit)
	f.reportAll(2)
	f.add(adviceJob("new", 0, 20*time.Millisecond))
	f.Expect(f.asked()).To(Equal([]job.ID{"new"}))
}

// fillPool has nobody's tasks run on a part of the pool's room of 16 cores.
func (f *fixture) fillPool(cores int) {
	f.add(testJob("fills", testStep(cores)))
	for _, s := range f.plan().Starts {
		f.accept(s)
	}
}

// After a burst, each step of the backlog has waited for longer than a new urgent one. With the longest waiting first, all processes that make
// calls for advice were busy for steps that could only end late (45 of 45 calls, 600 to 770 steps waiting for 30 s after the burst, 4 of 223
// jobs in time in the two seconds from 18 s on), and the new ones got their advice as late.
func TestStepsThatStarveTakeTheirTurnsInAPoolThatIsWellUsed(t *testing.T) {
	for name, test := range map[string]struct {
		cores int
		want  job.ID
	}{
		"well used":   {11, "new"},
		"little used": {7, "old"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4, nil)
			f.reportAll(4)
			f.pool.AddAdviser("host")
			f.fillPool(test.cores)
			f.add(adviceJob("old", 0, 200*time.Millisecond))
			f.pass(10 * time.Second)
			f.reportAll(4)
			f.pool.surveyedAt = 0
			f.add(adviceJob("new", 0, 200*time.Millisecond))
			f.Expect(f.asked()).To(Equal([]job.ID{test.want}))
		})
	}
}
