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
func after(grants float64) clock.Time {
	return clock.Time(0).Add(time.Duration(grants * float64(DefaultTerms.Grant)))
}

// firstRecord names alpha as owner and beta as its successor.
var firstRecord = Record{Epoch: 1, Owner: alpha, Successor: beta, WriteID: "1"}

// newPair returns the state machines of an owner and its successor that have both observed
// firstRecord.
func newPair() (owner, successor *Machine) {
	owner, successor = NewMachine(alpha, DefaultTerms), NewMachine(beta, DefaultTerms)
	owner.Observe(firstRecord, 1, 0)
	successor.Observe(firstRecord, 1, 0)
	return owner, successor
}

// exchangeGrant sends one grant request and its reply without delay.
func granted(g *WithT, owner, successor *Machine, now clock.Time) {
	request, due := owner.NextAsk(now)
	g.Expect(due).To(BeTrue())
	owner.Answered(request, successor.Grant(request, now))
}

// A successor that is replaced, then named again, and observes only the second record must not keep
// the expiry of its old grant: it would take over from an owner that still has authority.
// spec/ownership.pml showed this failure.
func TestSuccessorNamedAgainWaitsAnew(t *testing.T) {
	g := NewWithT(t)
	successor := NewMachine(beta, DefaultTerms)
	successor.Observe(Record{Epoch: 1, Owner: alpha, Successor: beta, WriteID: "1"}, 1, 0)
	now := after(5)
	g.Expect(successor.GrantLapsed(now)).To(BeTrue())
	successor.Observe(Record{Epoch: 1, Owner: alpha, Successor: beta, WriteID: "3"}, 3, now)
	g.Expect(successor.GrantLapsed(now)).To(BeFalse())
	g.Expect(successor.GrantLapsed(now.Add(DefaultTerms.Grant))).To(BeFalse())
}

func TestOwnerHasAuthorityForOneTermFromItsAsk(t *testing.T) {
	g := NewWithT(t)
	owner, successor := newPair()
	g.Expect(owner.AuthorityUntil()).To(BeZero())
	request, due := owner.NextAsk(10)
	g.Expect(due).To(BeTrue())
	owner.Answered(request, successor.Grant(request, 400)) // the request was long under way
	g.Expect(owner.AuthorityUntil()).To(Equal(clock.Time(10).Add(DefaultTerms.Grant)))
	g.Expect(successor.GrantLapsed(clock.Time(400).Add(DefaultTerms.Grant))).To(BeFalse())
}

func TestNothingIsGrantedWhileAClaimIsNotSettled(t *testing.T) {
	g := NewWithT(t)
	_, successor := newPair()
	now := after(2)
	g.Expect(successor.GrantLapsed(now)).To(BeTrue())
	claim, expect := successor.BeginWrite(WriteClaim, gamma, "2", now)
	g.Expect(claim.Epoch).To(BeEquivalentTo(2))
	g.Expect(expect).To(BeEquivalentTo(1))
	request := Ask{Epoch: 1, Owner: alpha, Record: firstRecord, Revision: 1, Sent: now}
	g.Expect(successor.Grant(request, now).Granted).To(BeFalse())
	successor.Settle(NoEffect, Record{}, 0, now)
	g.Expect(successor.Grant(request, now).Granted).To(BeTrue())
}

func TestSoleOwnerThatNamesASuccessorActsForOneTermAtMost(t *testing.T) {
	g := NewWithT(t)
	owner := NewMachine(alpha, DefaultTerms)
	owner.Observe(Record{Epoch: 1, Owner: alpha, WriteID: "1"}, 1, 0)
	now := clock.Time(100)
	owner.Tick(now)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically(">", now))
	owner.BeginWrite(WriteSuccessor, beta, "2", now)
	for now < after(3) {
		now = now.Add(100 * time.Millisecond)
		owner.Tick(now)
	}
	g.Expect(owner.AuthorityUntil()).To(BeNumerically("<", now))
	owner.Settle(NoEffect, Record{}, 0, now)
	owner.Tick(now)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically(">", now))
}

func TestSoleOwnerConfirmsAfterAPause(t *testing.T) {
	g := NewWithT(t)
	owner := NewMachine(alpha, DefaultTerms)
	record := Record{Epoch: 1, Owner: alpha, WriteID: "1"}
	owner.Observe(record, 1, 0)
	owner.Tick(100)
	late := after(10)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically("<", late))
	g.Expect(owner.Tick(late)).To(BeTrue())
	g.Expect(owner.Doubtful()).To(BeTrue())
	g.Expect(owner.AuthorityUntil()).To(BeNumerically("<", late))
	owner.Confirm(record, 1, late)
	g.Expect(owner.AuthorityUntil()).To(BeNumerically(">", late))
	owner.Tick(after(20))
	owner.Confirm(Record{Epoch: 2, Owner: gamma, WriteID: "9"}, 2, after(20))
	g.Expect(owner.Role()).To(Equal(Bystander))
}

func TestSuccessorFollowsWithoutTheStoreOnlyWhileTheGrantIsKnownToHold(t *testing.T) {
	g := NewWithT(t)
	owner, successor := newPair()
	now := clock.Time(10)
	g.Expect(successor.OwnerProvenHeld(now)).To(BeFalse())
	for range 3 {
		granted(g, owner, successor, now)
		now = now.Add(DefaultTerms.AskEvery)
	}
	g.Expect(successor.OwnerProvenHeld(now)).To(BeTrue())
	g.Expect(successor.OwnerProvenHeld(now.Add(DefaultTerms.Grant))).To(BeFalse())
	successor.FollowUnrecorded("2", now)
	g.Expect(successor.Epoch()).To(BeEquivalentTo(2))
	g.Expect(successor.AuthorityUntil()).To(BeNumerically(">", now))
	g.Expect(successor.Unrecorded()).To(BeTrue())
}

func TestOwnerReplacesASilentSuccessorOnlyAfterTheSilence(t *testing.T) {
	g := NewWithT(t)
	owner, successor := newPair()
	granted(g, owner, successor, 10)
	var lastRequest, replacedAt clock.Time
	for now := clock.Time(20); replacedAt == 0 && now < after(10); now += 50 {
		if _, due := owner.NextAsk(now); due {
			lastRequest = now
		}
		if owner.WantsSuccessor(now) {
			replacedAt = now
		}
	}
	g.Expect(replacedAt.Sub(lastRequest)).To(BeNumerically(">", DefaultTerms.Grant+DefaultTerms.Margin))
	g.Expect(replacedAt).To(BeNumerically("<", after(4)))
}
