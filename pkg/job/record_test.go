package job

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestHasOutcome(t *testing.T) {
	g := NewWithT(t)
	for r, want := range map[*Record]bool{
		{Outcome: Completed, Job: Job{ID: "a"}}: true,
		{Job: Job{ID: "a", Spec: "alloy"}}:      false,
	} {
		text, err := r.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(HasOutcome(text)).To(Equal(want))
	}
}
