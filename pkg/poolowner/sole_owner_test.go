package poolowner

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/jobstore"
	. "github.com/onsi/gomega"
)

func TestSoleOwnerOutlastsPreviousAuthority(t *testing.T) {
	g := NewWithT(t)
	o, now := newOwnerWithMembers(t, 0, sufficientStrength)
	o.claim.First = false
	*now = now.Add(10 * maxPreviousAuthority)
	g.Expect(o.isSoleOwner(*now)).To(BeFalse(), "most workers may accept a previous owner")
	o.majorityFencedAt = *now
	*now = now.Add(maxPreviousAuthority - time.Millisecond)
	g.Expect(o.isSoleOwner(*now)).To(BeFalse(), "a previous owner may have authority")
	*now = now.Add(time.Millisecond)
	g.Expect(o.isSoleOwner(*now)).To(BeTrue())

	o, now = newOwnerWithMembers(t, 0, sufficientStrength)
	o.claim.PreviousAuthorityEnded = true
	g.Expect(o.isSoleOwner(*now)).To(BeTrue())
}

func TestSoleOwnerIsRecordedUnderItsOwnRecordOnly(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerOnEmulator(t)
	o.claim.PreviousAuthorityEnded = true
	o.recordSoleOwner(t.Context())
	g.Expect(p.Store.Value(jobstore.SoleOwnerKey)).To(Equal(jobstore.EncodeSoleOwner(o.claim.Revision)))

	p.Store.Remove(jobstore.SoleOwnerKey)
	p.Store.Put(jobstore.OwnerRecordKey, []byte("{}")) // by a later owner
	o.cancel = func(error) {}
	o.recordSoleOwner(t.Context())
	g.Expect(p.Store.Value(jobstore.SoleOwnerKey)).To(BeNil())
	g.Expect(o.deposed.Load()).To(BeTrue())
}

func TestAuthorityOfPreviousOwnersIsCountedUnlessItHasEnded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(previousAuthorityTerm(Claim{})).To(Equal(maxPreviousAuthority))
	g.Expect(previousAuthorityTerm(Claim{PreviousAuthorityEnded: true})).To(BeZero())
}
