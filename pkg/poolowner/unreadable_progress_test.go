package poolowner

import (
	"testing"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	. "github.com/onsi/gomega"
)

// Guards against one unreadable value that keeps a new owner from loading anything, as it repeats
// reading all progress.
func TestUnreadableProgressAffectsOnlyItsJob(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := newOwnerOnEmulator(t)
	for _, id := range []job.ID{"00000000000000a1", "00000000000000a2"} {
		putJob(t, p, id)
	}
	p.Store.Put(jobstore.ProgressKey("00000000000000a1"), []byte(`{"tasks":`))
	g.Expect(o.listJobs(t.Context())).To(Succeed())
	explained := func(id job.ID) bool {
		_, ok := o.Explain(id)
		return ok
	}
	g.Expect(explained("00000000000000a1")).To(BeFalse(), "its progress is unknown")
	g.Expect(explained("00000000000000a2")).To(BeTrue())
}
