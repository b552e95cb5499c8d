package platform_test

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// Evacuates a hall and kills two owners in turn, then evacuates a second hall and withdraws the first
// evacuation while the store rejects the hosts' calls. The platform checks the hall of each start.
func TestEvacuationAcrossTakeovers(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6, Halls: 3})
	c.runUnderLoad(14*time.Second, func() {
		c.p.Evacuate(emulator.Hall(0))
		time.Sleep(emulator.EvacuationBound)
		for range 2 {
			n := c.owner()
			c.kill(n)
			c.Eventually(c.owner, "10s", "20ms").ShouldNot(Equal(n))
			c.start(n)
			time.Sleep(500 * time.Millisecond)
		}
		c.p.Evacuate(emulator.Hall(1))
		c.p.Store.SetMode(emulator.StoreBusy)
		c.p.WithdrawEvacuation(emulator.Hall(0))
		time.Sleep(700 * time.Millisecond)
		c.p.Store.SetMode(emulator.StoreUp)
	})
	before := c.p.Checker.StartsIn(emulator.Hall(0))
	c.runUnderLoad(3*time.Second, func() {})
	c.Expect(c.p.Checker.StartsIn(emulator.Hall(0))).To(BeNumerically(">", before), "tasks start in the hall again after the evacuation was withdrawn")
	c.awaitJobs(40 * time.Second)
}
