package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

func advisedJob(id string, s job.Step) job.Record {
	r := testJob(id, s)
	r.Queue.Name = "advised"
	r.Queue.Advice = &queue.AdviceCost{Base: 40 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second}
	return r
}

func TestStartsWaitForAdvice(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.reportAll(3)
	f.pool.AddAdviser("host")
	f.add(advisedJob("a", testStep(2)))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.AdviceCalls).To(HaveLen(1))
	call := actions.AdviceCalls[0]
	f.Expect(f.plan().AdviceCalls).To(BeEmpty(), "one call a step")
	f.advance(50 * time.Millisecond)
	f.pool.HandleAdviceAnswer(call.Number, []Ticket{{Worker: call.Workers[0], Text: "t1"}}, true, f.now)
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	for _, s := range starts {
		f.Expect(s.Worker).To(Equal(call.Workers[0]))
		f.Expect(s.Ticket).To(Equal("t1"))
	}
}

func TestExpiredTicketIsRequestedAgain(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.AddAdviser("host")
	f.add(advisedJob("a", testStep(5)))
	call := f.plan().AdviceCalls[0]
	f.pool.HandleAdviceAnswer(call.Number, []Ticket{{Worker: "w0", Text: "t1"}}, true, f.now)
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.accept(s)
	}
	f.advance(3 * time.Second)
	f.report(0, f.endReport(starts[0], 1, EndDone))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the ticket has expired")
	f.Expect(actions.AdviceCalls).To(HaveLen(1))
}

func TestLongAdviceCallsLeaveHostsForShortOnes(t *testing.T) {
	expectLongAdviceCalls(t, []string{"a", "b", "c", "d"}, 2)
}

// Of three hosts, two make long calls: one alone would be too slow for them.
func TestLongAdviceCallsOfFewHosts(t *testing.T) {
	expectLongAdviceCalls(t, []string{"a", "b", "c"}, 2)
	expectLongAdviceCalls(t, []string{"a", "b"}, 1)
	expectLongAdviceCalls(t, []string{"a"}, 1)
}

func expectLongAdviceCalls(t *testing.T, hosts []string, calls int) {
	t.Helper()
	f := newFixture(t, 3, nil)
	f.reportAll(3)
	for _, name := range hosts {
		f.pool.AddAdviser(name)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		r := advisedJob(id, testStep(1))
		r.Queue.Advice = &queue.AdviceCost{Base: 500 * time.Millisecond, Validity: time.Second}
		f.add(r)
	}
	f.Expect(f.plan().AdviceCalls).To(HaveLen(calls))
}

// A call with a long fixed time is about so many workers that it most likely yields enough tickets; a call
// without a fixed time is about just enough workers.
func TestAdviceCallsHaveMoreTargetsWhenFixedCallTimeIsLong(t *testing.T) {
	targetCount := func(base, perWorker time.Duration) int {
		f := newFixture(t, 40, nil)
		f.reportAll(40)
		f.pool.AddAdviser("host")
		f.pool.advice.rates["advised"] = 0.3
		r := advisedJob("a", testStep(8)) // two workers have room for all
		r.Queue.Advice = &queue.AdviceCost{Base: base, PerWorker: perWorker, Validity: time.Second}
		f.add(r)
		return len(f.plan().AdviceCalls[0].Workers)
	}
	f := NewWithT(t)
	f.Expect(targetCount(400*time.Millisecond, 6*time.Millisecond)).To(BeNumerically(">", 15))
	f.Expect(targetCount(0, 300*time.Millisecond)).To(BeNumerically("<", 12))
}

// The members of a gang start together, so a ticket that expires before the next answer can't be used with
// the tickets of that answer.
func TestGangRequestsTicketsAgainThatExpireDuringTheCall(t *testing.T) {
	f := newFixture(t, 6, nil)
	f.reportAll(6)
	f.pool.AddAdviser("host")
	s := testStep(12) // on three workers
	s.Gang = true
	r := advisedJob("a", s)
	r.Queue.Advice = &queue.AdviceCost{Base: 600 * time.Millisecond, Validity: time.Second}
	f.add(r)
	first := f.plan().AdviceCalls[0]
	f.advance(600 * time.Millisecond)
	f.reportAll(6)
	allowed := first.Workers[:2]
	f.pool.HandleAdviceAnswer(first.Number, []Ticket{{Worker: allowed[0], Text: "t"}, {Worker: allowed[1], Text: "t"}}, true, f.now)
	f.addWorker(6)
	f.reportAll(7)
	f.advance(500 * time.Millisecond)
	second := f.plan().AdviceCalls[0]
	f.Expect(second.Workers).To(ContainElements(allowed))
	f.Expect(second.Workers).To(ContainElement(workerID(6)))
}

func TestAdviceCallIsRepeatedWhenItsHostLeaves(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.AddAdviser("host")
	f.add(advisedJob("a", testStep(1)))
	f.Expect(f.plan().AdviceCalls).To(HaveLen(1))
	f.pool.RemoveAdviser("host", f.now)
	f.pool.AddAdviser("other")
	f.advance(time.Second)
	f.report(0, Report{})
	calls := f.plan().AdviceCalls
	f.Expect(calls).To(HaveLen(1))
	f.Expect(calls[0].Adviser).To(Equal("other"))
}
