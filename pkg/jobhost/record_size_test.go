package jobhost

import (
	"bytes"
	"testing"

	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

const emulatedValueBytes = 1 << 20

// Guards against a record that the store never takes and that refuses the jobs of other callers, which share
// its transaction. The client does not know the limit here.
func TestRefusedRecordDoesNotAffectOtherWrites(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newTestHost(t, p)
	var group []*write
	for n := range 10 {
		w := &write{ctx: t.Context(), key: jobstore.JobsPrefix + string(rune('a'+n)), value: []byte("x"), done: make(chan writeResult, 1)}
		group = append(group, w)
	}
	group[6].value = bytes.Repeat([]byte("x"), emulatedValueBytes+1)
	h.writer.commit(t.Context(), group)
	for n, w := range group {
		r := <-w.done
		if n == 6 {
			g.Expect(errors.Is(r.err, platform.ErrRefused)).To(BeTrue())
			continue
		}
		g.Expect(r.err).NotTo(HaveOccurred(), "write %d", n)
		g.Expect(r.created).To(BeTrue())
	}
	g.Expect(p.Store.Values(jobstore.JobsPrefix)).To(HaveLen(9))
	g.Expect(h.writer.isStoreUnresponsive()).To(BeFalse())
}

// Guards against a record that is sent, refused and sent again, and against an answer that tells the caller to
// try again.
func TestTooLargeRecordIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h, _ := newTestHost(t, p)
	h.store = platform.NewStore(platform.StoreSettings{Address: h.cfg.Load().Store.Address, MaxValueBytes: 1000}, platform.StoreOptions{}, h.clk)
	_, err := h.writeIfAbsent(t.Context(), "foldarch/jobs/a", func(int64) ([]byte, error) { return make([]byte, 1001), nil })
	g.Expect(errors.Is(err, platform.ErrInvalid)).To(BeTrue())
	g.Expect(errors.Is(err, platform.ErrRefused)).To(BeFalse())
	g.Expect(err).To(MatchError(ContainSubstring("key foldarch/jobs/a: the record of the job has 1001 bytes, and the store takes at most 1000")))
	g.Expect(h.metrics.tooLarge.Count()).To(BeEquivalentTo(1))
}
