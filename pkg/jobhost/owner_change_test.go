package jobhost

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// putOwnerRecord writes an owner's record, which a host receives only when it reads the store.
func putOwnerRecord(t *testing.T, p *emulator.Platform, name string, term int64) {
	text, err := jobstore.OwnerRecord{Name: name, Incarnation: "incarnation of " + name, Term: term}.Encode()
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.OwnerRecordKey, text)
}

// newHostUnderOwner returns a host that has read the owner's record once and does not watch it.
func newHostUnderOwner(t *testing.T, p *emulator.Platform) *Host {
	putOwnerRecord(t, p, "first", 1)
	h, _ := newTestHost(t, p)
	p.PutConfig(1)
	h.applyOperatorItems(listKeys(t, h, "op/"))
	h.applyOwnerList(listKeys(t, h, jobstore.OwnerPrefix), 0)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go h.writer.run(ctx)
	return h
}

func listKeys(t *testing.T, h *Host, prefix string) []platform.Item {
	items, _, err := h.store.List(t.Context(), prefix)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return items
}

// Guards against a job that is started by a previous owner and unknown to the new one. A host whose watch
// on the owner's record is silent accepts a job after a new owner has listed the jobs. If the host
// notified only the previous owner, that one would start the job. So each write requires that the owner's
// record is unchanged.
func TestJobIsStoredUnderTheLatestOwner(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h := newHostUnderOwner(t, p)
	g.Expect(h.knownTerm()).To(Equal(int64(1)))
	putOwnerRecord(t, p, "second", 2)
	submitJob(t, h, "00000000000000a1")
	g.Expect(h.knownTerm()).To(Equal(int64(2)))
	record, err := job.DecodeRecord(p.Store.Value(jobstore.JobKey("00000000000000a1")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(record.Term).To(Equal(int64(2)), "a previous owner that is notified of the job stops")
}

// Writes continue when the owner changes, also several at once and for keys that exist already.
func TestWritesContinueWhenTheOwnerChanges(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	h := newHostUnderOwner(t, p)
	for term := int64(2); term < 6; term++ {
		submitJob(t, h, "00000000000000b1")
		putOwnerRecord(t, p, "other", term)
		for _, id := range []string{"00000000000000b1", "00000000000000b2", fmt.Sprintf("%016x", term)} {
			submitJob(t, h, id)
		}
		g.Expect(h.knownTerm()).To(Equal(term))
	}
}

// submitJob submits a job to a host, which must accept it.
func submitJob(t *testing.T, h *Host, id string) {
	t.Helper()
	NewWithT(t).Expect(postJob(t, h, id).Code).To(Equal(http.StatusOK))
}
