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

func TestAdviceComesBeforeStarts(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.reportAll(3)
	f.pool.PutAdviser("host")
	f.add(advisedJob("a", testStep(2)))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty())
	f.Expect(actions.Asks).To(HaveLen(1))
	ask := actions.Asks[0]
	f.Expect(f.plan().Asks).To(BeEmpty(), "one call a step")
	f.pass(50 * time.Millisecond)
	f.pool.AdviceAnswered(ask.Number, []Ticket{{Worker: ask.Workers[0], Text: "t1"}}, true, f.now)
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(2))
	for _, s := range starts {
		f.Expect(s.Worker).To(Equal(ask.Workers[0]))
		f.Expect(s.Ticket).To(Equal("t1"))
	}
}

func TestLapsedTicketIsAskedForAgain(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.PutAdviser("host")
	f.add(advisedJob("a", testStep(5)))
	ask := f.plan().Asks[0]
	f.pool.AdviceAnswered(ask.Number, []Ticket{{Worker: "w0", Text: "t1"}}, true, f.now)
	starts := f.plan().Starts
	f.Expect(starts).To(HaveLen(4))
	for _, s := range starts {
		f.accept(s)
	}
	f.pass(3 * time.Second)
	f.report(0, f.end(starts[0], 1, EndDone))
	actions := f.plan()
	f.Expect(actions.Starts).To(BeEmpty(), "the ticket has lapsed")
	f.Expect(actions.Asks).To(HaveLen(1))
}

func TestLongCallsLeaveHostsForShortOnes(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.reportAll(3)
	for _, name := range []string{"a", "b", "c", "d"} {
		f.pool.PutAdviser(name)
	}
	for _, id := range []string{"1", "2", "3", "4"} {
		r := advisedJob(id, testStep(1))
		r.Queue.Advice = &queue.AdviceCost{Base: 500 * time.Millisecond, Validity: time.Second}
		f.add(r)
	}
	f.Expect(f.plan().Asks).To(HaveLen(2))
}

func TestCallOfAHostThatLeftIsMadeAnew(t *testing.T) {
	f := newFixture(t, 1, nil)
	f.reportAll(1)
	f.pool.PutAdviser("host")
	f.add(advisedJob("a", testStep(1)))
	f.Expect(f.plan().Asks).To(HaveLen(1))
	f.pool.RemoveAdviser("host", f.now)
	f.pool.PutAdviser("other")
	f.pass(time.Second)
	f.report(0, Report{})
	asks := f.plan().Asks
	f.Expect(asks).To(HaveLen(1))
	f.Expect(asks[0].Adviser).To(Equal("other"))
}
