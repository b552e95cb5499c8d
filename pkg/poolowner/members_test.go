package poolowner

import (
	"fmt"
	"io"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// newOwnerWithMembers returns an owner with members of the given strength, and its clock, which the test
// sets.
func newOwnerWithMembers(t *testing.T, members int, strength int64) (*Owner, *clock.Time) {
	now := clock.Time(100_000)
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := New(Deps{
		Name: "self", Clock: clock.Clock{Now: func() clock.Time { return now }, Wall: time.Now}, Log: logrus.NewEntry(log),
		StoreAge: func() time.Duration { return 0 }, Metrics: metrics.NewRegistry(),
	}, Claim{Term: 1, First: true})
	for n := range members {
		join(o, fmt.Sprintf("m%03d", n), &poolpb.MemberStatus{Strength: strength, Hall: "h"}, now)
	}
	return o, &now
}

func join(o *Owner, name string, status *poolpb.MemberStatus, now clock.Time) *poolrpc.Session {
	s := poolrpc.NewSession(now)
	s.SetName(name)
	status.Name = name
	s.SetStatus(status, now)
	o.memberJoined(s)
	return s
}

// relayedWorkerCount is the number of workers from which relays are used.
const relayedWorkerCount = 400

func workerName(n int) dispatch.WorkerID {
	return dispatch.WorkerID(fmt.Sprintf("w%d", n))
}

func addWorkers(o *Owner) {
	for n := range relayedWorkerCount {
		o.relays.AddWorker(workerName(n), "h")
	}
}

// countFastMembers returns the number of members that have the fast heartbeat.
func countFastMembers(o *Owner) int {
	n := 0
	for _, m := range o.members {
		if o.memberStatus(m.Session).HeartbeatMs == poolrpc.HeartbeatInterval.Milliseconds() {
			n++
		}
	}
	return n
}

func TestFewMembersAllHaveTheFastHeartbeat(t *testing.T) {
	g := NewWithT(t)
	o, _ := newOwnerWithMembers(t, maxAllFastMembers, 20)
	g.Expect(countFastMembers(o)).To(Equal(maxAllFastMembers))
}

func TestSomeStrongMembersOfManyHaveTheFastHeartbeat(t *testing.T) {
	g := NewWithT(t)
	weak, _ := newOwnerWithMembers(t, maxAllFastMembers+1, 20)
	g.Expect(countFastMembers(weak)).To(Equal(0))
	strong, now := newOwnerWithMembers(t, maxAllFastMembers+10, sufficientStrength)
	g.Expect(countFastMembers(strong)).To(Equal(fastMemberCount))
	for name := range strong.fastMembers {
		strong.memberLeft(strong.members[name].Session)
		break
	}
	g.Expect(countFastMembers(strong)).To(Equal(fastMemberCount), "another member takes its place")
	join(strong, "stops", &poolpb.MemberStatus{Strength: sufficientStrength, Stopping: true}, *now)
	g.Expect(strong.fastMembers).NotTo(HaveKey("stops"))
}

func TestRelaysHaveTheFastHeartbeat(t *testing.T) {
	g := NewWithT(t)
	o, now := newOwnerWithMembers(t, maxAllFastMembers+1, 20)
	addWorkers(o)
	for n := range relayedWorkerCount {
		o.relays.Assign(workerName(n), *now)
	}
	g.Expect(o.RelayedWorkers()).To(Equal(relayedWorkerCount))
	g.Expect(countFastMembers(o)).To(Equal(5), "each relay serves 96 workers")
}

func TestStoreAgeOfAMemberIncludesTheAgeOfItsStatus(t *testing.T) {
	g := NewWithT(t)
	o, now := newOwnerWithMembers(t, 0, sufficientStrength)
	s := join(o, "a", &poolpb.MemberStatus{StoreAgeMs: 100, Strength: sufficientStrength}, *now)
	o.deps.StoreAge = func() time.Duration { return time.Second }
	g.Expect(o.reachesStoreBetter(o.members["a"])).To(BeTrue())
	*now = now.Add(500 * time.Millisecond)
	g.Expect(o.reachesStoreBetter(o.members["a"])).To(BeFalse())
	s.SetStatus(&poolpb.MemberStatus{Name: "a", StoreAgeMs: 100}, *now)
	g.Expect(o.reachesStoreBetter(o.members["a"])).To(BeTrue())
}

func TestOrdersAreNotRelayedByAMemberThatReachesTheStoreBetter(t *testing.T) {
	g := NewWithT(t)
	o, now := newOwnerWithMembers(t, 1, sufficientStrength)
	addWorkers(o)
	s := &workerSession{owner: o, id: "w0"}
	raise := false
	g.Expect(s.pollPath(&raise)).To(Equal(o.members["m000"]))
	g.Expect(raise).To(BeTrue())
	g.Expect(s.orderPath()).To(Equal(o.members["m000"]))
	o.deps.StoreAge = func() time.Duration { return minYieldGain + time.Millisecond }
	g.Expect(s.orderPath()).To(BeNil())
	*now = now.Add(2 * time.Millisecond)
	g.Expect(s.orderPath()).To(Equal(o.members["m000"]), "with its status this old, the member is not clearly ahead")
	raise = true
	g.Expect(s.pollPath(&raise)).To(BeNil(), "this host fences workers itself")
}

// Guards the two conditions that tell a cut-off of the owner's hall from a store outage for all: which
// halls are heard, and whether contact with the others ended when the store stopped answering.
func TestOwnerStatusReportsOtherHalls(t *testing.T) {
	g := NewWithT(t)
	o, now := newOwnerWithMembers(t, 2, sufficientStrength)
	storeAge := time.Duration(0)
	o.deps.Hall, o.deps.StoreAge = "h", func() time.Duration { return storeAge }
	own := o.members["m000"].Session
	reported := func() *poolpb.OwnerStatus {
		own.SetStatus(own.Status(), *now)
		return o.memberStatus(own)
	}
	g.Expect(reported().OtherHalls).To(BeZero())
	g.Expect(reported().HallsLost).To(BeFalse(), "it never had contact with another hall")
	other := join(o, "x", &poolpb.MemberStatus{Hall: "i"}, *now)
	join(o, "y", &poolpb.MemberStatus{}, *now)
	*now = now.Add(hallCountInterval)
	g.Expect(reported().OtherHalls).To(Equal(int32(1)), "a member without a hall does not count")
	storeAge = 900 * time.Millisecond
	*now = now.Add(storeAge)
	g.Expect(reported()).To(And(HaveField("OtherHalls", BeZero()), HaveField("HallsLost", false)), "its messages may not have been read yet")
	storeAge += 200 * time.Millisecond
	*now = now.Add(200 * time.Millisecond)
	g.Expect(reported()).To(And(HaveField("OtherHalls", BeZero()), HaveField("HallsLost", true), HaveField("StoreAgeMs", int64(1100))), "it fell silent together with the store")
	o.memberLeft(other)
	storeAge += time.Minute
	*now = now.Add(time.Minute)
	g.Expect(reported().HallsLost).To(BeTrue(), "its stream has ended, and the store still does not answer")
	storeAge = 0
	g.Expect(reported().HallsLost).To(BeFalse(), "the store answers although the other hall is lost")
}
