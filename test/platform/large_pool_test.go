package platform_test

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// Guards against a list of workers that exceeds the largest value that the store accepts, as in a pool of
// 6,000 workers. The owner keeps the list for its successors. When the store refused it, the owner read no
// more worker entries and gave tasks to workers that were draining (DRAIN 88). After all hosts had lost
// power, the next owner never used any worker ("pool_status workers=0 silent=0"), and 1,714 jobs were lost.
// This test lowers the limit of a value instead of using a large pool.
func TestWorkerListLargerThanMaxValue(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 16, MaxValueBytes: 2000})
	c.runUnderLoad(5*time.Second, func() {
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
	c.awaitJobs(30 * time.Second)
}
