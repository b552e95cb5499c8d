package jobhost

import (
	"math"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

// Guards against an owner's record that no host can decode, or whose term is out of range: no host could become the
// owner any more, or each new one ended at once.
func TestOddOwnerRecordIsReplaced(t *testing.T) {
	for _, odd := range []string{
		strings.Repeat("[", 200_000), `{"name":"x","address":"10.0.0.1:70000","term":4}`, `{"name":"x","term":9223372036854775807}`, `{"name":"x","term":-3}`, "\xff",
	} {
		g := NewWithT(t)
		p := startPlatform(t)
		putOwnerRecord(t, p, "first", 1)
		h, _ := newTestHost(t, p)
		p.PutConfig(1)
		h.applyOperatorItems(listKeys(t, h, "op/"))
		h.applyOwnerList(listKeys(t, h, jobstore.OwnerPrefix), 0)
		p.Store.Put(jobstore.OwnerRecordKey, []byte(odd))
		items := listKeys(t, h, jobstore.OwnerPrefix)
		h.applyOwnerList(items, 0)
		revision, term := h.knownOwner()
		g.Expect(revision).To(Equal(items[0].Revision), odd[:min(len(odd), 60)])
		g.Expect(term).To(And(BeNumerically(">=", 1), BeNumerically("<", math.MaxInt32)), "the next term is above all previous ones")
		h.election.lastHeardAt = -1 << 40
		may, _, _, _ := h.mayTakeOver()
		g.Expect(may).To(BeTrue())
		text, err := jobstore.OwnerRecord{Name: "next", Incarnation: "n", Term: term + 1}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		next, _, err := h.store.Commit(t.Context(), platform.Txn{
			Conditions: []platform.Condition{{Key: jobstore.OwnerRecordKey, Revision: revision}}, Put: []platform.Put{{Key: jobstore.OwnerRecordKey, Value: text}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		h.applyOwnerList(listKeys(t, h, jobstore.OwnerPrefix), 0)
		known, term := h.knownOwner()
		g.Expect(known).To(Equal(next))
		g.Expect(term).To(BeNumerically(">", 1))
	}
}
