package poolowner

import (
	"testing"

	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	. "github.com/onsi/gomega"
)

// One value that can't be read kept a new owner from serving anything: it read all progress again and again.
func TestProgressThatIsUnreadableHoldsUpItsJobOnly(t *testing.T) {
	g := NewWithT(t)
	o, p, _ := ownerOfEmulated(t)
	for _, id := range []job.ID{"00000000000000a1", "00000000000000a2"} {
		putJob(t, p, id)
	}
	p.Store.Put(jobstore.ProgressKey("00000000000000a1"), []byte(`{"tasks":`))
	g.Expect(o.listJobs(t.Context())).To(Succeed())
	explained := func(id job.ID) bool {
		_, ok := o.Explain(id)
		return ok
	}
	g.Expect(explained("00000000000000a1")).To(BeFalse(), "what it has done is not known")
	g.Expect(explained("00000000000000a2")).To(BeTrue())
}
