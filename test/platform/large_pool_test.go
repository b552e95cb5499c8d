package platform_test

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// In a pool of 6,000 workers the list of all of them for a later owner was larger than a value that the store takes. From then on the owner read no entry
// any more, and gave tasks to workers that were leaving (DRAIN 88); after all hosts had lost power the next owner never got to use a worker at all:
// "pool_status workers=0 silent=0" until the end of the day, 1,714 jobs lost. Here the values are small in place of the pool large.
func TestPoolWhoseListOfWorkersIsLargerThanAValue(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 16, ValueBytes: 2000})
	c.during(5*time.Second, func() {
		c.p.Workers[0].Drain(2 * time.Second)
		time.Sleep(time.Second)
		for n := range c.hosts {
			c.kill(n)
		}
		for n := range c.hosts {
			c.start(n)
		}
		c.Eventually(c.owner, "10s", "20ms").Should(BeNumerically(">=", 0))
	})
	c.finish(30 * time.Second)
}
