package e2e

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// settingsApplyLimit is the longest time from the acceptance of settings until all processes use them.
const settingsApplyLimit = 5 * time.Second

// Guards against accepted settings that no process uses for up to 21 s. The open connections of all hosts to
// the store go silent, and then an operator applies settings. A watch waits for 20 s. If only its timeout
// reveals that its connection is silent, no host gets the settings before, since no other host has them
// either.
var _ = ginkgo.Describe("open connections to the store that go silent", func() {
	ginkgo.It("hold up settings for a few seconds at most", func() {
		c := newCell(ginkgo.GinkgoT(), []string{"north", "south"}, 3, 1, "")
		c.apply()
		c.awaitEndpoints(4)
		for ends, r := range c.relays {
			if ends[1] == storeName {
				r.silence()
			}
		}
		c.writeDeclaration("scoring.toml", "kind = \"service\"\nteam = \"t\"\ninstances = 2\n")
		out, err := c.foldarch("apply", "--store", c.store.String(), c.declDir)
		Expect(err).NotTo(HaveOccurred(), out)
		for _, id := range c.entryIDs {
			Eventually(func() (int64, error) {
				s, err := c.readStatus(id)
				if err != nil {
					return 0, err
				}
				return s.Revision, nil
			}, settingsApplyLimit, "20ms").Should(Equal(int64(2)), id)
		}
	})
})
