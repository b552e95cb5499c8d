package platform_test

import (
	"context"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// maxSilenceDelay is the longest time that silent connections may delay jobs. It is the platform's limit for
// hosts to reconnect on the smallest deployments.
const maxSilenceDelay = 3 * time.Second

func TestSilentConnectionsAreDetected(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 12, Advice: true})
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	load := c.startLoad(ctx, 20, quickJob, gangJob)
	for range 3 {
		time.Sleep(time.Second)
		for _, k := range append(c.storeLinks, c.workerLinks...) {
			k.silence()
		}
	}
	start := time.Now()
	_, accepted := c.callers.Submit(t.Context(), quickJob.spec, quickJob.steps)
	c.Expect(accepted).To(BeTrue())
	c.Expect(time.Since(start)).To(BeNumerically("<", maxSilenceDelay))
	load.Wait()
	c.awaitJobs(maxSilenceDelay + 2*time.Second)
}
