package ownership

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	. "github.com/onsi/gomega"
)

var (
	alpha = Holder{ID: "a", Incarnation: "a1"}
	beta  = Holder{ID: "b", Incarnation: "b1"}
	gamma = Holder{ID: "c", Incarnation: "c1"}
)

// afterGrants returns the time that is the given number of grant durations after the origin of the
// clock.
func afterGrants(grants float64) clock.Time {
	return clock.Time(0).Add(time.Duration(grants * float64(DefaultTiming.GrantDuration)))
}

// firstRecord names alpha as owner and beta as its successor.
var firstRecord = Record{Epoch: 1, Owner: alpha, Successor: beta, WriteID: "1"}

// newPair returns the state machines of an owner and its successor that have both observed
// firstRecord.
func newPair() (owner, successor *StateMachine) {
	owner, successor = NewStateMachine(alpha, DefaultTiming), NewStateMachine(beta, DefaultTiming)
	owner.Observe(firstRecord, 1, 0)
	successor.Observe(firstRecord, 1, 0)
	return owner, successor
}

// exchangeGrant sends one grant request and its reply without delay.
func exchangeGrant(g *WithT, owner, successor *StateMachine, now clock.Time) {
	request, due := owner.NextGrantRequest(now)
	g.Expect(due).To(BeTrue())
	owner.HandleGrantReply(request, successor.Grant(request, now))
}

// A successor that is replaced, then named again, and observes only the second record must not keep
// the expiry of its old grant: it would take over from an owner that still has authority.
// spec/ownership.pml showed this failure.
func TestSuccessorNamedAgainWaitsAFullGrant(t *testing.T) {
	g := NewWithT(t)
	successor := NewStateMachine(beta, DefaultTiming)
	successor.Observe(Record{Epoch: 1, Owner: alpha, Successor: beta, WriteID: "1"}, 1, 0)
	now := afterGrants(5)
	g.Expect(successor.GrantExpired(now)).To(BeTrue())
	successor.Observe(Record{Epoch: 1, Owner: alpha, Successor: beta, WriteID: "3"}, 3, now)
	g.Expect(successor.GrantExpired(now)).To(BeFalse())
	g.Expect(successor.GrantExpired(now.Add(DefaultTiming.GrantDuration))).To(BeFalse())
}

func TestOwnerHasAuthorityForOneGrantFromItsRequest(t *testing.T) {
	g := NewWithT(t)
	owner, successor := newPair()
	g.Expect(owner.AuthorityUntil()).To(BeZero())
	request, due := owner.NextGrantRequest(10)
	g.Expect(due).To(BeTrue())
	owner.HandleGrantReply(request, successor.Grant(request, 400)) // the request was long under way
	g.Expect(owner.AuthorityUntil()).To(Equal(clock.Time(10).Add(DefaultTiming.GrantDuration)))
	g.Expect(successor.GrantExpired(clock.Time(400).Add(DefaultTiming.GrantDuration))).To(BeFalse())
}

func TestNothingIsGrantedWhileAClaimIsPending(t *testing.T) {
	g := NewWithT(t)
	_, successor := newPair()
	now := afterGrants(2)
	g.Expect(successor.GrantExpired(now)).To(BeTrue())
	claim, expect := successor.BeginWrite(WriteClaim, gamma, "2", now)
	g.Expect(claim.Epoch).To(BeEquivalentTo(2))
	g.Expect(expect).To(BeEquivalentTo(1))
	request := GrantRequest{Epoch: 1, Owner: alpha, Record: firstRecord, Revision: 1, SentAt: now}
	g.Expect(successor.Grant(request, now).Granted).To(BeFalse())
	successor.FinishWrite(WriteNotApplied, Record{}, 0, now)
	g.Expect(successor.Grant(request, now).Granted).To(BeTrue())
}

func TestSoleOwnerNamingASuccessorActsForOneGrantAtMost(t *testing.T) {
	g := NewWithT(t)
	owner := NewStateMachine(alpha, DefaultTiming)
	owner.Observe(Record{Epoch: 1, Owner: alpha, WriteID: "1"}, 1, 0)
	now := clock.Time(100)
	owner.Tick(now)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically(">", now))
	owner.BeginWrite(WriteSuccessor, beta, "2", now)
	for now < afterGrants(3) {
		now = now.Add(100 * time.Millisecond)
		owner.Tick(now)
	}
	g.Expect(owner.AuthorityUntil()).To(BeNumerically("<", now))
	owner.FinishWrite(WriteNotApplied, Record{}, 0, now)
	owner.Tick(now)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically(">", now))
}

func TestSoleOwnerConfirmsAfterAPause(t *testing.T) {
	g := NewWithT(t)
	owner := NewStateMachine(alpha, DefaultTiming)
	record := Record{Epoch: 1, Owner: alpha, WriteID: "1"}
	owner.Observe(record, 1, 0)
	owner.Tick(100)
	late := afterGrants(10)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically("<", late))
	g.Expect(owner.Tick(late)).To(BeTrue())
	g.Expect(owner.NeedsConfirmation()).To(BeTrue())
	g.Expect(owner.AuthorityUntil()).To(BeNumerically("<", late))
	owner.Confirm(record, 1, late)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically(">", late))
	owner.Tick(afterGrants(20))
	owner.Confirm(Record{Epoch: 2, Owner: gamma, WriteID: "9"}, 2, afterGrants(20))
	g.Expect(owner.Role()).To(Equal(RoleBystander))
}

func TestSuccessorTakesOverWithoutTheStoreOnlyWhileTheGrantIsProven(t *testing.T) {
	g := NewWithT(t)
	owner, successor := newPair()
	now := clock.Time(10)
	g.Expect(successor.OwnerGrantProven(now)).To(BeFalse())
	for range 3 {
		exchangeGrant(g, owner, successor, now)
		now = now.Add(DefaultTiming.RequestInterval)
	}
	g.Expect(successor.OwnerGrantProven(now)).To(BeTrue())
	g.Expect(successor.OwnerGrantProven(now.Add(DefaultTiming.GrantDuration))).To(BeFalse())
	successor.TakeOverUnrecorded("2", now)
	g.Expect(successor.Epoch()).To(BeEquivalentTo(2))
	g.Expect(successor.AuthorityUntil()).To(BeNumerically(">", now))
	g.Expect(successor.Unrecorded()).To(BeTrue())
}

func TestOwnerReplacesASilentSuccessorOnlyAfterItsGrantExpired(t *testing.T) {
	g := NewWithT(t)
	owner, successor := newPair()
	exchangeGrant(g, owner, successor, 10)
	var lastRequest, replacedAt clock.Time
	for now := clock.Time(20); replacedAt == 0 && now < afterGrants(10); now += 50 {
		if _, due := owner.NextGrantRequest(now); due {
			lastRequest = now
		}
		if owner.NeedsSuccessor(now) {
			replacedAt = now
		}
	}
	g.Expect(replacedAt.Sub(lastRequest)).To(BeNumerically(">", DefaultTiming.GrantDuration+DefaultTiming.ClockMargin))
	g.Expect(replacedAt).To(BeNumerically("<", afterGrants(4)))
}
