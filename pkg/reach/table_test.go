package reach

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

const silentStoreAge = 4 * time.Second

// Checks each row of the table: who writes, and whether the host reports ready.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		observation    Observation
		mode           Mode
		accepts, ready bool
	}{
		"the store answers": {Observation{true, OwnerView{Responsive: true}}, HostWrites, true, true},
		"the store answers the host and not the owner": {
			Observation{true, OwnerView{Responsive: true, StoreAge: silentStoreAge, HallsLost: true}}, HostWrites, true, true,
		},
		"the store answers, and there is no owner":    {Observation{true, OwnerView{}}, HostWrites, true, true},
		"the store answers the owner":                 {Observation{false, OwnerView{Responsive: true, StoreAge: 500 * time.Millisecond}}, OwnerWrites, true, true},
		"the owner itself, whose write got no answer": {Observation{false, OwnerView{Responsive: true, IsThisHost: true, OtherHalls: 1}}, StoreUnavailable, false, true},
		"the owner has just lost other halls":         {Observation{false, OwnerView{Responsive: true, HallsLost: true}}, OwnerWrites, true, true},
		"the store answers nobody":                    {Observation{false, OwnerView{Responsive: true, StoreAge: silentStoreAge, OtherHalls: 1}}, StoreUnavailable, false, true},
		"an owner that never had other halls":         {Observation{false, OwnerView{Responsive: true, StoreAge: silentStoreAge}}, StoreUnavailable, false, true},
		"a hall that is cut off with the owner":       {Observation{false, OwnerView{Responsive: true, StoreAge: silentStoreAge, HallsLost: true}}, HallCutOff, false, false},
		"neither the store nor the owner":             {Observation{false, OwnerView{}}, HostCutOff, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			mode := Decide(c.observation)
			g.Expect(mode).To(Equal(c.mode))
			g.Expect(mode.AcceptsJobs()).To(Equal(c.accepts))
			g.Expect(mode.IsReady()).To(Equal(c.ready))
			g.Expect(mode.Reason() == "").To(Equal(c.accepts), "a refusal has a reason")
		})
	}
}

// Guards against hosts that are repeatedly put into and out of service by the balancer because a link is
// unstable.
func TestCutOffHallStaysUnreadyUntilContactIsStable(t *testing.T) {
	g := NewWithT(t)
	lost := Observation{false, OwnerView{Responsive: true, StoreAge: silentStoreAge, HallsLost: true}}
	heard := Observation{false, OwnerView{Responsive: true, StoreAge: silentStoreAge, OtherHalls: 1}}
	var tracker ModeTracker
	now := clock.Time(1000)
	g.Expect(tracker.Update(heard, now)).To(Equal(StoreUnavailable))
	g.Expect(tracker.Update(lost, now)).To(Equal(HallCutOff))
	g.Expect(tracker.Update(heard, now.Add(time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Update(lost, now.Add(2*time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Update(heard, now.Add(3*time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Update(heard, now.Add(5*time.Second))).To(Equal(StoreUnavailable), "stable for 2 s")
	g.Expect(tracker.Update(lost, now.Add(6*time.Second))).To(Equal(HallCutOff))
	g.Expect(tracker.Update(Observation{true, lost.Owner}, now.Add(6*time.Second))).To(Equal(HostWrites), "at once, since the store answers")
}

// Guards against halls that count as cut off although they are not, and against cut-off halls that are
// not recognized.
func TestHallsCountAsLostOnlyWithTheStore(t *testing.T) {
	g := NewWithT(t)
	now := clock.Time(100_000)
	var c HallContact
	c.RecordHallCount(0, now.Add(-time.Second))
	g.Expect(c.HasLostHalls(silentStoreAge, now)).To(BeFalse(), "one hall, or no member has joined yet")
	c.RecordHeard(now.Add(-4100 * time.Millisecond))
	c.RecordHeard(now.Add(-9 * time.Second)) // another member, lost before
	g.Expect(c.HasLostHalls(silentStoreAge, now)).To(BeTrue())
	g.Expect(c.HasLostHalls(silentStoreAge+time.Minute, now.Add(time.Minute))).To(BeTrue(), "for as long as the store is silent")
	g.Expect(c.HasLostHalls(silentStoreAge, now.Add(time.Minute))).To(BeFalse(), "the other halls left long before the store fell silent")
	c.RecordHallCount(1, now)
	g.Expect(c.HasLostHalls(silentStoreAge, now)).To(BeFalse(), "another hall is heard")
	c.RecordHallCount(0, now)
	g.Expect(c.HasLostHalls(silentStoreAge, now)).To(BeFalse(), "the owner has not read yet what was sent while it paused")
	c.RecordHallCount(0, now.Add(minLostTime))
	g.Expect(c.HasLostHalls(silentStoreAge, now.Add(minLostTime))).To(BeTrue())
}

func TestSilenceTimeoutAllowsOneHeartbeat(t *testing.T) {
	g := NewWithT(t)
	g.Expect(SilenceTimeout(250 * time.Millisecond)).To(Equal(900 * time.Millisecond))
	g.Expect(SilenceTimeout(time.Second)).To(Equal(1300 * time.Millisecond))
}
