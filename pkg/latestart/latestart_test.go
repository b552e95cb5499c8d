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
	return Start{Number: number, Life: 1, Worker: "w1", Until: sent.Add(Lasts)}
}

// Guards against a start under a new number, or on another worker, while a life may carry out the late one.
func TestNextRunRepeatsTheNumberUntilARunWithItHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		start             Start
		numbers           Numbers
		repeats, outwaits bool
	}{
		"bound":               {bound(3), Numbers{Given: 3, Ended: 2}, true, false},
		"bound, has ended":    {bound(3), Numbers{Given: 3, Ended: 3}, false, true},
		"bound, newer number": {bound(3), Numbers{Given: 4, Ended: 2}, false, true},
		"bound to none":       {Start{Number: 3, Until: sent.Add(Lasts)}, Numbers{Given: 3, Ended: 3}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var x Task
			x.Add(c.start)
			g.Expect(x.Repeats(c.numbers)).To(Equal(c.repeats))
			g.Expect(x.RepeatsOn("w1", c.numbers)).To(Equal(c.repeats))
			g.Expect(x.RepeatsOn("w2", c.numbers)).To(BeFalse())
			g.Expect(x.Outwaits(c.numbers)).To(Equal(c.outwaits))
			g.Expect(x.MayRunOn("w2")).To(Equal(!x.Bound()))
			g.Expect(x.MayRunOn("w1")).To(BeTrue())
			g.Expect(x.NewlyOutwaited(c.numbers)).To(HaveLen(map[bool]int{true: 1}[c.outwaits]))
			g.Expect(x.NewlyOutwaited(c.numbers)).To(BeEmpty(), "it is listed once")
		})
	}
}

// Guards against a start elsewhere beside a run that nobody has heard of: only an answer sent after that time, or a confirmation after the leases lapsed, tells
// that it has ended.
func TestBoundStartIsOverWhenWhatItBeganHasEnded(t *testing.T) {
	until := sent.Add(Lasts)
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
			var x Task
			x.Add(bound(1))
			x.DropOver(Signs{
				HeardAt: func(string) clock.Time { return c.heard }, Lapse: time.Second, Confirmed: func(clock.Time) bool { return c.confirmed },
			}, c.now)
			NewWithT(t).Expect(x.Any()).To(Equal(!c.over))
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
			x := Task{starts: c.starts}
			x.CarriedOutLate(c.life, c.worker, 1)
			NewWithT(t).Expect(x.starts).To(HaveLen(c.kept))
		})
	}
}

// Guards against a later owner that forgets a start which a list doesn't settle, or waits for one that a worker has answered.
func TestStartOfAFormerOwnerIsSettledUnlessItWasVoid(t *testing.T) {
	g := NewWithT(t)
	var x Task
	x.Take(job.Unanswered{Run: 1, Worker: "w1@1"}, "w1", sent.Add(Lasts))
	x.Take(job.Unanswered{Run: 2, Worker: "w1@1", Void: true}, "w1", sent.Add(Lasts))
	x.CarriedOut(1)
	x.CarriedOut(2)
	g.Expect(x.Stored()).To(HaveLen(1))
	g.Expect(x.Has(1)).To(BeFalse())
	g.Expect(x.Has(2)).To(BeTrue())
	g.Expect(x.TellVoid(2)).To(BeFalse(), "the store knows")
}

// Guards against a start that a later owner, whose clock is behind, takes for over too early, or waits for longer than it may last.
func TestTimeOfAFormerOwnerIsTakenWithTheDifferenceOfClocks(t *testing.T) {
	g := NewWithT(t)
	wall, apart := time.Unix(1000, 0), 5*time.Second
	g.Expect(Until(wall, wall, apart, sent)).To(Equal(sent.Add(Lasts)))
	g.Expect(Until(wall.Add(-Lasts), wall, apart, sent)).To(Equal(sent.Add(apart)))
	g.Expect(Until(wall.Add(-Lasts-apart), wall, apart, sent)).To(BeZero())
	g.Expect(Until(time.Time{}, wall, apart, sent)).To(BeZero())
}

// Guards against ends that are noted beside one that is held, and so forgotten by the worker.
func TestEndsAreNotedUpToTheFirstThatIsHeld(t *testing.T) {
	g := NewWithT(t)
	var n Notes
	n.Hold(3, sent)
	n.Hold(5, sent.Add(time.Second))
	g.Expect(n.UpTo(7, sent-1)).To(Equal(int64(2)))
	g.Expect(n.UpTo(7, sent)).To(Equal(int64(4)))
	g.Expect(n.UpTo(7, sent.Add(time.Second))).To(Equal(int64(7)))
}

// Guards against a gang that waits though there is room: a member that is bound to none takes the room of one that is.
func TestBoundMembersGetTheirWorkersFirst(t *testing.T) {
	g := NewWithT(t)
	free, first := &Task{}, &Task{}
	first.Add(bound(1))
	g.Expect(AssignMembers([]*Task{free, first}, []string{"w1", "w2"}, []int{1, 1})).To(Equal([]int{1, 0}))
	g.Expect(AssignMembers([]*Task{free, free, first}, []string{"w1", "w2"}, []int{3, 3})).To(Equal([]int{0, 0, 0}), "they stay together")
	g.Expect(AssignMembers([]*Task{first}, []string{"w1", "w2"}, []int{0, 9})).To(BeNil())
}

// Guards against a repeated start that is held for one that can't come any more, or for one that can.
func TestRepeatedStartIsSettledByItsAnswerOrByTime(t *testing.T) {
	g := NewWithT(t)
	c := Call{OrderedAt: sent, Repeated: true}
	c.Over(true, sent+100)
	c.SettleRepeated(sent.Add(Lasts))
	g.Expect(c.Repeated).To(BeTrue(), "it may have waited to be sent")
	g.Expect(c.LateUntil(sent.Add(time.Hour))).To(Equal((sent + 100).Add(Lasts)))
	c.SettleRepeated((sent + 100).Add(Lasts))
	g.Expect(c.Repeated).To(BeFalse())
	c = Call{OrderedAt: sent, Repeated: true}
	c.Over(false, sent+100)
	g.Expect(c.Repeated).To(BeFalse())
}
