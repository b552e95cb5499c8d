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

// Guards against a start under a new number, or on another worker, while a life may carry out the late one.
func TestNextRunRepeatsTheNumberUntilARunWithItHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		start             Start
		numbers           RunNumbers
		repeats, outwaits bool
	}{
		"bound":               {bound(3), RunNumbers{LastAssigned: 3, LastEnded: 2}, true, false},
		"bound, has ended":    {bound(3), RunNumbers{LastAssigned: 3, LastEnded: 3}, false, true},
		"bound, newer number": {bound(3), RunNumbers{LastAssigned: 4, LastEnded: 2}, false, true},
		"bound to none":       {Start{Number: 3, ExpiresAt: sent.Add(MaxDelay)}, RunNumbers{LastAssigned: 3, LastEnded: 3}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var x TaskStarts
			x.Add(c.start)
			g.Expect(x.ReusesNumber(c.numbers)).To(Equal(c.repeats))
			g.Expect(x.ReusesNumberOn("w1", c.numbers)).To(Equal(c.repeats))
			g.Expect(x.ReusesNumberOn("w2", c.numbers)).To(BeFalse())
			g.Expect(x.IsBlocked(c.numbers)).To(Equal(c.outwaits))
			g.Expect(x.MayRunOn("w2")).To(Equal(!x.IsBound()))
			g.Expect(x.MayRunOn("w1")).To(BeTrue())
			g.Expect(x.TakeNewBlocking(c.numbers)).To(HaveLen(map[bool]int{true: 1}[c.outwaits]))
			g.Expect(x.TakeNewBlocking(c.numbers)).To(BeEmpty(), "it is listed once")
		})
	}
}

// Guards against a start elsewhere beside a run that nobody has heard of: only an answer sent after that time, or a confirmation after the leases lapsed, tells
// that it has ended.
func TestBoundStartIsOverWhenWhatItBeganHasEnded(t *testing.T) {
	until := sent.Add(MaxDelay)
	lapsed := until.Add(time.Second)
	for name, c := range map[string]struct {
		now, heard clock.Time
		confirmed  bool
		over       bool
	}{
		"before its time":       {until - 1, until, true, false},
		"heard since":           {until, until, false, true},
		"not heard":             {lapsed - 1, until - 1, true, false},
		"lapsed, not confirmed": {lapsed, until - 1, false, false},
		"lapsed and confirmed":  {lapsed, until - 1, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			var x TaskStarts
			x.Add(bound(1))
			x.RemoveExpired(ExpiryConditions{
				LastAnsweredPollSentAt: func(string) clock.Time { return c.heard }, LeaseTime: time.Second, IsOwnershipConfirmedSince: func(clock.Time) bool { return c.confirmed },
			}, c.now)
			NewWithT(t).Expect(x.HasStarts()).To(Equal(!c.over))
		})
	}
}

// Guards against a late start that is held for carried out since a run of its number is seen: by the same life, elsewhere, or as one of two starts of that number.
func TestOnlyTheNextLifeOfTheWorkerCarriesTheOneStartOut(t *testing.T) {
	for name, c := range map[string]struct {
		starts []Start
		life   int64
		worker string
		kept   int
	}{
		"next life":       {[]Start{bound(1)}, 2, "w1", 0},
		"same life":       {[]Start{bound(1)}, 1, "w1", 1},
		"another worker":  {[]Start{bound(1)}, 2, "w2", 1},
		"two of a number": {[]Start{bound(1), bound(1)}, 2, "w1", 2},
		"another number":  {[]Start{bound(2)}, 2, "w1", 1},
	} {
		t.Run(name, func(t *testing.T) {
			x := TaskStarts{starts: c.starts}
			x.RemoveIfExecutedLate(c.life, c.worker, 1)
			NewWithT(t).Expect(x.starts).To(HaveLen(c.kept))
		})
	}
}

// Guards against a later owner that forgets a start which a list doesn't settle, or waits for one that a worker has answered.
func TestStartOfAFormerOwnerIsSettledUnlessItWasVoid(t *testing.T) {
	g := NewWithT(t)
	var x TaskStarts
	x.LoadUnanswered(job.Unanswered{Run: 1, Worker: "w1@1"}, "w1", sent.Add(MaxDelay))
	x.LoadUnanswered(job.Unanswered{Run: 2, Worker: "w1@1", Void: true}, "w1", sent.Add(MaxDelay))
	x.RemoveExecuted(1)
	x.RemoveExecuted(2)
	g.Expect(x.Unanswered()).To(HaveLen(1))
	g.Expect(x.HasNumber(1)).To(BeFalse())
	g.Expect(x.HasNumber(2)).To(BeTrue())
	g.Expect(x.MarkInvalidated(2)).To(BeFalse(), "the store knows")
}

// Guards against a start that a later owner, whose clock is behind, takes for over too early, or waits for longer than it may last.
func TestTimeOfAFormerOwnerIsTakenWithTheDifferenceOfClocks(t *testing.T) {
	g := NewWithT(t)
	wall, apart := time.Unix(1000, 0), 5*time.Second
	g.Expect(ExpiryOf(wall, wall, apart, sent)).To(Equal(sent.Add(MaxDelay)))
	g.Expect(ExpiryOf(wall.Add(-MaxDelay), wall, apart, sent)).To(Equal(sent.Add(apart)))
	g.Expect(ExpiryOf(wall.Add(-MaxDelay-apart), wall, apart, sent)).To(BeZero())
	g.Expect(ExpiryOf(time.Time{}, wall, apart, sent)).To(BeZero())
}

// Guards against ends that are noted beside one that is held, and so forgotten by the worker.
func TestEndsAreNotedUpToTheFirstThatIsHeld(t *testing.T) {
	g := NewWithT(t)
	var n AckDelays
	n.Add(3, sent)
	n.Add(5, sent.Add(time.Second))
	g.Expect(n.LastAckable(7, sent-1)).To(Equal(int64(2)))
	g.Expect(n.LastAckable(7, sent)).To(Equal(int64(4)))
	g.Expect(n.LastAckable(7, sent.Add(time.Second))).To(Equal(int64(7)))
}

// Guards against a gang that waits though there is room: a member that is bound to none takes the room of one that is.
func TestBoundMembersGetTheirWorkersFirst(t *testing.T) {
	g := NewWithT(t)
	free, first := &TaskStarts{}, &TaskStarts{}
	first.Add(bound(1))
	g.Expect(AssignMembers([]*TaskStarts{free, first}, []string{"w1", "w2"}, []int{1, 1})).To(Equal([]int{1, 0}))
	g.Expect(AssignMembers([]*TaskStarts{free, free, first}, []string{"w1", "w2"}, []int{3, 3})).To(Equal([]int{0, 0, 0}), "they stay together")
	g.Expect(AssignMembers([]*TaskStarts{first}, []string{"w1", "w2"}, []int{0, 9})).To(BeNil())
}

// Guards against a repeated start that is held for one that can't come any more, or for one that can.
func TestRepeatedStartIsSettledByItsAnswerOrByTime(t *testing.T) {
	g := NewWithT(t)
	c := StartCall{OrderedAt: sent, ReusesNumber: true}
	c.RecordResult(true, sent+100)
	c.ExpireNumberReuse(sent.Add(MaxDelay))
	g.Expect(c.ReusesNumber).To(BeTrue(), "it may have waited to be sent")
	g.Expect(c.ExpiresAt(sent.Add(time.Hour))).To(Equal((sent + 100).Add(MaxDelay)))
	c.ExpireNumberReuse((sent + 100).Add(MaxDelay))
	g.Expect(c.ReusesNumber).To(BeFalse())
	c = StartCall{OrderedAt: sent, ReusesNumber: true}
	c.RecordResult(false, sent+100)
	g.Expect(c.ReusesNumber).To(BeFalse())
}
