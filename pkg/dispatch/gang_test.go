package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	gang := testStep(9)
	gang.Gang = true
	f.add(testJob("a", gang))
	f.Expect(f.plan().Starts).To(BeEmpty(), "there is room for 8")
	f.addWorker(2)
	f.report(2, Report{})
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(9))
	for _, s := range starts {
		f.Expect(s.Run).To(Equal(1))
	}
}

func TestRejectedGangMemberIsStartedAgainUnderTheSameRunNumber(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	gang := testStep(2)
	gang.Gang = true
	f.add(testJob("a", gang))
	starts := f.plan().Starts
	f.accept(starts[0])
	f.pool.HandleStartAnswer(starts[1], Answer{Verdict: VerdictUnhealthy}, nil, f.now)
	f.advance(100 * time.Millisecond)
	again := f.plan().Starts
	f.Expect(again).To(HaveLen(1))
	f.Expect(again[0].Task).To(Equal(starts[1].Task))
	f.Expect(again[0].Run).To(Equal(starts[0].Run))
	f.Expect(again[0].Worker).NotTo(Equal(starts[1].Worker))
}

func TestGangThatStaysIncompleteIsStoppedAndRestarted(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	gang := testStep(2)
	gang.Gang = true
	f.add(testJob("a", gang))
	starts := f.plan().Starts
	f.accept(starts[0])
	f.pool.HandleStartAnswer(starts[1], Answer{Verdict: VerdictUnhealthy}, nil, f.now)
	f.advance(1500 * time.Millisecond)
	active := Report{Active: []ActiveRun{{Task: starts[0].Task, Run: 1, Percent: 0}}}
	f.report(0, active)
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Stops).To(HaveLen(1))
	f.report(0, f.endReport(starts[0], 1, EndStopped))
	f.advance(time.Second)
	f.reportAll(1)
	again := f.plan().Starts
	f.Expect(again).To(HaveLen(2))
	f.Expect(again[0].Run).To(Equal(2))
}

// One end as done counts for all members of a gang. Members whose ends have not been reported yet have ended
// as well and must not be stopped.
func TestMembersOfACompletedGangAreNotStopped(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	gang := testStep(2)
	gang.Gang, gang.MaxPerWorker = true, 1
	f.add(testJob("a", gang))
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	f.accept(starts[0])
	f.accept(starts[1])
	f.report(workerNumber(starts[0].Worker), f.endReport(starts[0], 1, EndDone))
	f.Expect(f.plan().Stops).To(BeEmpty())
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	state, _, _ := f.pool.JobState("a")
	f.Expect(state).To(Equal(job.Completed))
}
