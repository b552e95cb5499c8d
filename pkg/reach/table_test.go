package reach

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

const silent = 4 * time.Second

// Checks each row of the table: who writes, and whether the host reports ready.
func TestTable(t *testing.T) {
	for name, c := range map[string]struct {
		observation View
		mode        Row
		open, ready bool
	}{
		"the store answers": {View{true, Owner{Heard: true}}, OwnWrite, true, true},
		"the store answers the host and not the owner": {
			View{true, Owner{Heard: true, StoreAge: silent, HallsLost: true}}, OwnWrite, true, true,
		},
		"the store answers, and there is no owner":    {View{true, Owner{}}, OwnWrite, true, true},
		"the store answers the owner":                 {View{false, Owner{Heard: true, StoreAge: 500 * time.Millisecond}}, OwnerWrites, true, true},
		"the owner itself, whose write got no answer": {View{false, Owner{Heard: true, Self: true, OtherHalls: 1}}, StoreUnavailable, false, true},
		"the owner has just lost other halls":         {View{false, Owner{Heard: true, HallsLost: true}}, OwnerWrites, true, true},
		"the store answers nobody":                    {View{false, Owner{Heard: true, StoreAge: silent, OtherHalls: 1}}, StoreUnavailable, false, true},
		"an owner that never had other halls":         {View{false, Owner{Heard: true, StoreAge: silent}}, StoreUnavailable, false, true},
		"a hall that is cut off with the owner":       {View{false, Owner{Heard: true, StoreAge: silent, HallsLost: true}}, HallCutOff, false, false},
		"neither the store nor the owner":             {View{false, Owner{}}, HostCutOff, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mode := Decide(c.observation)
			g.Expect(mode).To(Equal(c.mode))
			g.Expect(mode.Open()).To(Equal(c.open))
			g.Expect(mode.Ready()).To(Equal(c.ready))
			g.Expect(mode.Reason() == "").To(Equal(c.open), "a refusal has a reason")
		})
	}
}

// Guards against hosts that are repeatedly put into and out of service by the balancer because a link is
// unstable.
func TestHallThatWasCutOffStaysOutUntilContactIsSteady(t *testing.T) {
	g := NewWithT(t)
	lost := View{false, Owner{Heard: true, StoreAge: silent, HallsLost: true}}
	heard := View{false, Owner{Heard: true, StoreAge: silent, OtherHalls: 1}}
	var tracker Gate
	now := clock.Time(1000)
	g.Expect(tracker.Row(heard, now)).To(Equal(StoreUnavailable))
	g.Expect(tracker.Row(lost, now)).To(Equal(HallCutOff))
	g.Expect(tracker.Row(heard, now.Add(time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Row(lost, now.Add(2*time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Row(heard, now.Add(3*time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Row(heard, now.Add(5*time.Second))).To(Equal(StoreUnavailable), "stable for 2 s")
	g.Expect(tracker.Row(lost, now.Add(6*time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Row(View{true, lost.Owner}, now.Add(6*time.Second))).To(Equal(OwnWrite), "at once, since the store answers")
}

// Guards against halls that count as cut off although they are not, and against cut-off halls that are
// not recognized.
func TestHallsAreLostWithTheStoreOnly(t *testing.T) {
	g := NewWithT(t)
	now := clock.Time(100_000)
	var c Contact
	c.Count(0, now.Add(-time.Second))
	g.Expect(c.Lost(silent, now)).To(BeFalse(), "one hall, or no member has joined yet")
	c.HeardAt(now.Add(-4100 * time.Millisecond))
	c.HeardAt(now.Add(-9 * time.Second)) // another member, lost before
	g.Expect(c.Lost(silent, now)).To(BeTrue())
	g.Expect(c.Lost(silent+time.Minute, now.Add(time.Minute))).To(BeTrue(), "for as long as the store is silent")
	g.Expect(c.Lost(silent, now.Add(time.Minute))).To(BeFalse(), "the other halls left long before the store fell silent")
	c.Count(1, now)
	g.Expect(c.Lost(silent, now)).To(BeFalse(), "another hall is heard")
	c.Count(0, now)
	g.Expect(c.Lost(silent, now)).To(BeFalse(), "the owner has not read yet what was sent while it paused")
	c.Count(0, now.Add(lostFor))
	g.Expect(c.Lost(silent, now.Add(lostFor))).To(BeTrue())
}

func TestSideCountsAsSilentAfterAMissedHeartbeat(t *testing.T) {
	g := NewWithT(t)
	g.Expect(SilenceOf(250 * time.Millisecond)).To(Equal(900 * time.Millisecond))
	g.Expect(SilenceOf(time.Second)).To(Equal(1300 * time.Millisecond))
}
