package platform_test

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// Guards against a gang that never starts because smaller jobs keep using the quota it waits for. The gang
// needs most of its customer's quota and is overdue when a new owner takes over. Smaller jobs that are on
// time use part of the quota.
func TestOverdueGangCompletesDespiteSmallerJobsAfterTakeover(t *testing.T) {
	const quota = 10_000
	c := newCell(t, 3, emulator.Options{Workers: 9, Advice: true, Customers: []emulator.Customer{
		{Name: "north", Keys: []string{northKey}, Weight: 100, CPU: quota, MemoryMB: 1 << 20},
	}})
	north := c.callers.WithKeys(func() string { return northKey })
	_, accepted := north.Submit(t.Context(), "ms=3000", []emulator.Step{{Count: 6, CPU: 1000, MemoryMB: 100, Estimate: 3000}})
	c.Expect(accepted).To(BeTrue())
	time.Sleep(300 * time.Millisecond)
	gang, accepted := north.Submit(t.Context(), "ms=300 gang=19", []emulator.Step{{Count: 19, CPU: 500, MemoryMB: 100, Estimate: 300, Gang: true}})
	c.Expect(accepted).To(BeTrue())
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	small := jobKind{"ms=400", []emulator.Step{{Count: 2, CPU: 500, MemoryMB: 100, Estimate: 400}}}
	load := c.startLoad(ctx, 12, small)
	time.Sleep(time.Second)
	c.kill(c.owner())
	c.Eventually(func() string { return north.State(ctx, gang) }, "15s", "50ms").Should(Equal("completed"))
	cancel()
	load.Wait()
	ctx, cancel = context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	c.Expect(north.AwaitJobs(ctx)).To(BeEmpty())
	c.Expect(c.p.Checker.Violations()).To(BeEmpty())
}
