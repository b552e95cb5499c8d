package takeover

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against recorded workers that outgrow a value of the store.
func TestRecordedWorkersAreBounded(t *testing.T) {
	g := NewWithT(t)
	const maxBytes = 64 << 10
	var r RecordedWorkers
	added := 0
	for n := range 40_000 {
		if r.Add(fmt.Sprintf("%016d", n), maxBytes) {
			added++
		}
	}
	g.Expect(added).To(Equal(maxBytes / 16))
	g.Expect(r.Retain(func(worker string) bool { return worker != fmt.Sprintf("%016d", 7) })).To(HaveLen(added - 1))
	g.Expect(r.Add("w-new", maxBytes)).To(BeTrue(), "a worker that has ended makes room")
	r.MarkStored([]string{"w-new"})
	g.Expect(r.IsStored("w-new")).To(BeTrue())
}
