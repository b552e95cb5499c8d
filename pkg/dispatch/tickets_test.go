package dispatch

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/worth"
	. "github.com/onsi/gomega"
)

// Guards against tickets that are counted twice, not at all, or under a cause that hides why calls were
// wasted.
func TestTicketsAreCountedByOutcome(t *testing.T) {
	one := func(f *fixture) { f.add(advisedJob("a", testStep(1))) }
	gang := func(f *fixture) { f.add(advisedJob("a", gangStep(8))) }
	quota := func(f *fixture) {
		c := northWithQuota(2000)
		c.Quota.MemoryMB = 0
		f.configureCustomers(2, c)
		f.add(withCustomer(c, testJob("others", testStep(2))))
		for _, s := range f.plan().Starts {
			f.accept(s)
		}
		f.add(withCustomer(c, advisedJob("a", testStep(1))))
		// A promoted step needs its tickets by the time the quota has room.
		f.pool.jobs["a"].occurrences[0].steps[0].promoted = true
	}
	fill := func(f *fixture) {
		for _, w := range f.pool.workers {
			w.used = cell.Resources{CPUMillis: 4000}
		}
	}
	for name, test := range map[string]struct {
		job    func(*fixture)
		answer func(f *fixture, s *step, targets []WorkerID)
		after  func(*fixture)
		want   map[advice.TicketOutcome]int64
	}{
		"one of two is used": {one, nil, nil, map[advice.TicketOutcome]int64{advice.TicketUsed: 1, advice.TicketStepDone: 1}},
		"cancelled":          {one, nil, func(f *fixture) { f.pool.Cancel("a") }, map[advice.TicketOutcome]int64{advice.TicketStepDone: 2}},
		"room is taken":      {one, nil, fill, map[advice.TicketOutcome]int64{advice.TicketRoomTaken: 2}},
		"a gang lacks tickets": {gang, nil, func(f *fixture) {
			f.pool.workers["w0"].suspendedUntil = f.now.Add(time.Minute)
		}, map[advice.TicketOutcome]int64{advice.TicketGangIncomplete: 1, advice.TicketRoomTaken: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2, nil)
			f.reportAll(2)
			f.pool.AddAdviser("host")
			test.job(f)
			expectTicketOutcomes(f, test.after, test.want)
		})
	}
	t.Run("the quota is used up", func(t *testing.T) {
		f := newFixture(t, 2, nil)
		f.reportAll(2)
		quota(f)
		s := f.pool.jobs["a"].occurrences[0].steps[0]
		f.pool.advice.issuedTickets = []*ticketIssue{{step: s, expiresAt: f.now, tickets: []*ticketUse{{worker: "w0", selectedForRoom: true}}}}
		f.pool.countExpiredTickets(f.now)
		f.Expect(f.pool.advice.tally.Tickets(advice.TicketQuotaFull)).To(Equal(int64(1)))
	})
}

// expectTicketOutcomes has an advice call answered with tickets for all workers, runs after, lets the
// tickets expire, and checks how their outcomes are counted.
func expectTicketOutcomes(f *fixture, after func(*fixture), want map[advice.TicketOutcome]int64) {
	call := f.plan().AdviceCalls[0]
	f.advance(50 * time.Millisecond)
	f.pool.HandleAdviceAnswer(call.Number, []Ticket{{"w0", "t"}, {"w1", "t"}}, true, f.now)
	if after != nil {
		after(f)
	}
	var starts []StartOrder
	for range 3 {
		starts = append(starts, f.plan().Starts...)
		f.advance(time.Second)
		f.pool.workers["w0"].lastAnsweredAt, f.pool.workers["w1"].lastAnsweredAt = f.now, f.now
	}
	f.pool.countExpiredTickets(f.now)
	f.pool.countExpiredTickets(f.now)
	for outcome := advice.TicketUsed; outcome <= advice.TicketStepDone; outcome++ {
		f.Expect(f.pool.advice.tally.Tickets(outcome)).To(Equal(want[outcome]), "outcome %d", outcome)
	}
	f.Expect(f.pool.advice.tally.Starts()).To(Equal(int64(len(starts))))
}

// Guards against call time that is missing in the sums by value class or by customer, also of calls that
// fail.
func TestCallTimeIsSummedByValueClassAndCustomer(t *testing.T) {
	f := newFixture(t, 2, nil)
	f.reportAll(2)
	f.pool.AddAdviser("host")
	f.add(withCustomer(northWithQuota(0), advisedJob("a", testStep(1))))
	for _, ok := range []bool{true, false} {
		f.pool.workers["w0"].lastAnsweredAt, f.pool.workers["w1"].lastAnsweredAt = f.now, f.now
		calls := f.plan().AdviceCalls
		f.Expect(calls).To(HaveLen(1))
		f.advance(100 * time.Millisecond)
		f.pool.HandleAdviceAnswer(calls[0].Number, nil, ok, f.now)
		f.pool.jobs["a"].occurrences[0].steps[0].advice = stepAdvice{}
		f.pool.jobs["a"].occurrences[0].latestUsefulEnd = f.now - 1
		f.pool.jobs["a"].occurrences[0].objective = f.now - 1
	}
	tally := f.pool.advice.tally
	f.Expect(tally.Calls()).To(Equal(int64(2)))
	f.Expect(tally.CallTime(worth.InTime)).To(Equal(100 * time.Millisecond))
	f.Expect(tally.CallTime(worth.NoValue)).To(Equal(100 * time.Millisecond))
	f.Expect(f.pool.Customers()).To(ContainElement(HaveField("AdviceMs", int64(200))))
}
