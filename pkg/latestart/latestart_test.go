package latestart

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	. "github.com/onsi/gomega"
)

const sent = clock.Time(1000)

func bound(number int) Start {
	return Start{Number: number, Incarnation: 1, Worker: "w1", ExpiresAt: sent.Add(MaxDelay)}
}

// Guards against a start under a new number, or on another worker, while an incarnation may carry out the
// late one.
func TestNextRunReusesNumberUntilRunWithItEnds(t *testing.T) {
	for name, c := range map[string]struct {
		start           Start
		numbers         RunNumbers
		reuses, blocked bool
	}{
		"bound":               {bound(3), RunNumbers{LastAssigned: 3, LastEnded: 2}, true, false},
		"bound, has ended":    {bound(3), RunNumbers{LastAssigned: 3, LastEnded: 3}, false, true},
		"bound, newer number": {bound(3), RunNumbers{LastAssigned: 4, LastEnded: 2}, false, true},
		"not bound":           {Start{Number: 3, ExpiresAt: sent.Add(MaxDelay)}, RunNumbers{LastAssigned: 3, LastEnded: 3}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var x TaskStarts
			x.Add(c.start)
			g.Expect(x.ReusesNumber(c.numbers)).To(Equal(c.reuses))
			g.Expect(x.ReusesNumberOn("w1", c.numbers)).To(Equal(c.reuses))
			g.Expect(x.ReusesNumberOn("w2", c.numbers)).To(BeFalse())
			g.Expect(x.IsBlocked(c.numbers)).To(Equal(c.blocked))
			g.Expect(x.MayRunOn("w2")).To(Equal(!x.IsBound()))
			g.Expect(x.MayRunOn("w1")).To(BeTrue())
			g.Expect(x.TakeNewBlocking(c.numbers)).To(HaveLen(map[bool]int{true: 1}[c.blocked]))
			g.Expect(x.TakeNewBlocking(c.numbers)).To(BeEmpty(), "it is returned once")
		})
	}
}

// Guards against a start on another worker beside a run that no worker has reported. Only an answer to a
// poll sent after the late start's expiry, or a confirmed ownership after the leases expired, shows that
// the run has ended.
func TestBoundStartExpiresOnceItsRunHasEnded(t *testing.T) {
	expiry := sent.Add(MaxDelay)
	leaseExpiry := expiry.Add(time.Second)
	for name, c := range map[string]struct {
		now, polled, extended clock.Time
		confirmed             bool
		expired               bool
	}{
		"before its expiry":            {expiry - 1, expiry, sent, true, false},
		"polled since":                 {expiry, expiry, sent, false, true},
		"not polled since":             {leaseExpiry - 1, expiry - 1, sent, true, false},
		"lease expired, not confirmed": {leaseExpiry, expiry - 1, sent, false, false},
		"lease expired and confirmed":  {leaseExpiry, expiry - 1, sent, true, true},
		"late call extends the lease":  {leaseExpiry + 1, expiry - 1, sent + 2, true, false},
		"extended lease expired":       {leaseExpiry + 2, expiry - 1, sent + 2, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var x TaskStarts
			x.Add(bound(1))
			x.RemoveExpired(ExpiryConditions{
				LastAnsweredPollSentAt: func(string) clock.Time { return c.polled }, LeasesExtendedBy: func(string) clock.Time { return c.extended },
				LeaseTime: time.Second, IsOwnershipConfirmedSince: func(clock.Time) bool { return c.confirmed },
			}, c.now)
			NewWithT(t).Expect(x.HasStarts()).To(Equal(!c.expired))
		})
	}
}

// Guards against a late start that is taken for carried out when a run with its number is seen on the
// same incarnation, on another worker, or while two starts have that number.
func TestOnlyNextIncarnationExecutesLateStart(t *testing.T) {
	for name, c := range map[string]struct {
		starts      []Start
		incarnation int64
		worker      string
		kept        int
	}{
		"next incarnation":    {[]Start{bound(1)}, 2, "w1", 0},
		"same incarnation":    {[]Start{bound(1)}, 1, "w1", 1},
		"another worker":      {[]Start{bound(1)}, 2, "w2", 1},
		"two with the number": {[]Start{bound(1), bound(1)}, 2, "w1", 2},
		"another number":      {[]Start{bound(2)}, 2, "w1", 1},
	} {
		t.Run(name, func(t *testing.T) {
			x := TaskStarts{starts: c.starts}
			x.RemoveIfExecutedLate(c.incarnation, c.worker, 1)
			NewWithT(t).Expect(x.starts).To(HaveLen(c.kept))
		})
	}
}

// Guards against a later owner that drops an invalidated start because a worker lists its run, or
// that waits for a start which a worker has answered.
func TestExecutedStartOfPreviousOwnerIsRemovedUnlessInvalidated(t *testing.T) {
	g := NewWithT(t)
	var x TaskStarts
	x.LoadUnanswered(job.UnansweredStart{Run: 1, Worker: "w1@1"}, "w1", sent.Add(MaxDelay))
	x.LoadUnanswered(job.UnansweredStart{Run: 2, Worker: "w1@1", Invalidated: true}, "w1", sent.Add(MaxDelay))
	x.RemoveExecuted(1)
	x.RemoveExecuted(2)
	g.Expect(x.Unanswered()).To(HaveLen(1))
	g.Expect(x.HasNumber(1)).To(BeFalse())
	g.Expect(x.HasNumber(2)).To(BeTrue())
	g.Expect(x.MarkInvalidated(2)).To(BeFalse(), "it is stored as invalidated already")
}

// Guards against a later owner whose clock is behind and takes a start for expired too early, and against
// one that waits longer than MaxDelay for it.
func TestExpiryAllowsForClockDifference(t *testing.T) {
	g := NewWithT(t)
	wall, maxSkew := time.Unix(1000, 0), 5*time.Second
	g.Expect(ExpiryOf(wall, wall, maxSkew, sent)).To(Equal(sent.Add(MaxDelay)))
	g.Expect(ExpiryOf(wall.Add(-MaxDelay), wall, maxSkew, sent)).To(Equal(sent.Add(maxSkew)))
	g.Expect(ExpiryOf(wall.Add(-MaxDelay-maxSkew), wall, maxSkew, sent)).To(BeZero())
	g.Expect(ExpiryOf(time.Time{}, wall, maxSkew, sent)).To(BeZero())
}

// Guards against acknowledging ends from a delayed one on: the worker would forget the delayed end.
func TestEndsAreAckableUpToFirstDelayed(t *testing.T) {
	g := NewWithT(t)
	var delays AckDelays
	delays.Add(3, sent)
	delays.Add(5, sent.Add(time.Second))
	g.Expect(delays.LastAckable(7, sent-1)).To(Equal(int64(2)))
	g.Expect(delays.LastAckable(7, sent)).To(Equal(int64(4)))
	g.Expect(delays.LastAckable(7, sent.Add(time.Second))).To(Equal(int64(7)))
}

// Guards against a gang that waits though there is room, because a member that is not bound takes the
// room of one that is.
func TestBoundMembersAreAssignedFirst(t *testing.T) {
	g := NewWithT(t)
	free, first := &TaskStarts{}, &TaskStarts{}
	first.Add(bound(1))
	g.Expect(AssignMembers([]*TaskStarts{free, first}, []string{"w1", "w2"}, []int{1, 1})).To(Equal([]int{1, 0}))
	g.Expect(AssignMembers([]*TaskStarts{free, free, first}, []string{"w1", "w2"}, []int{3, 3})).To(Equal([]int{0, 0, 0}), "they stay together")
	g.Expect(AssignMembers([]*TaskStarts{first}, []string{"w1", "w2"}, []int{0, 9})).To(BeNil())
}

// Guards against a start that counts as number reuse after it can't come any more, or no longer does
// while it can.
func TestNumberReuseEndsWithAnswerOrExpiry(t *testing.T) {
	g := NewWithT(t)
	c := StartCall{OrderedAt: sent, ReusesNumber: true}
	c.RecordResult(true, sent+100)
	c.ExpireNumberReuse(sent.Add(MaxDelay))
	g.Expect(c.ReusesNumber).To(BeTrue(), "the order may have waited to be sent")
	g.Expect(c.ExpiresAt(sent.Add(time.Hour))).To(Equal((sent + 100).Add(MaxDelay)))
	c.ExpireNumberReuse((sent + 100).Add(MaxDelay))
	g.Expect(c.ReusesNumber).To(BeFalse())
	c = StartCall{OrderedAt: sent, ReusesNumber: true}
	c.RecordResult(false, sent+100)
	g.Expect(c.ReusesNumber).To(BeFalse())
}
