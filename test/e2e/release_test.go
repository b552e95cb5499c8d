package e2e

import (
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a shard whose owner and successor are silent", func() {
	ginkgo.It("is left alone until an operator releases it", func() {
		c := newCell(ginkgo.GinkgoT(), []string{"north"}, 3, 3, "[times]\ntask_lease = \"3s\"\nreport_every = \"500ms\"\n")
		c.apply()
		c.awaitEndpoints(4)
		var owner, successor, third string
		Eventually(func() bool {
			s, err := c.readStatus("north-a")
			if err != nil || len(s.Shards) == 0 {
				return false
			}
			owner, successor = s.Shards[0].Owner, s.Shards[0].Successor
			return c.entries[owner] != nil && c.entries[successor] != nil
		}, maxWait).Should(BeTrue())
		for _, id := range c.entryIDs {
			if id != owner && id != successor {
				third = id
			}
		}
		c.entries[owner].signal(syscall.SIGSTOP)
		c.entries[successor].signal(syscall.SIGSTOP)
		ownerSeen := func() string {
			o, _ := c.ownerOf(third)
			return o
		}
		Consistently(ownerSeen, 6*time.Second).Should(Equal(owner))

		out, err := c.foldarch("release", "--store", c.store.String(), "north/0")
		Expect(err).To(HaveOccurred(), out)
		Expect(out).To(ContainSubstring("--hosts-gone"))
		out, err = c.foldarch("release", "--store", c.store.String(), "--hosts-gone", "north/0")
		Expect(err).NotTo(HaveOccurred(), out)
		Eventually(ownerSeen, maxWait).Should(Equal(third))
		Eventually(func() bool { return c.call(third, "scoring", "", "ms=1 x").ok() }, maxWait).Should(BeTrue())

		c.entries[owner].signal(syscall.SIGCONT)
		c.entries[successor].signal(syscall.SIGCONT)
		Eventually(func() string {
			o, _ := c.ownerOf(owner)
			return o
		}, maxWait).Should(Equal(third))
		c.expectNoViolations()
	})
})
