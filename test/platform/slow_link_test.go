package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// setLinkMbps restarts all hosts with settings that give the capacity of their links.
func (c *cell) setLinkMbps(mbps int) {
	for n, p := range c.hosts {
		c.kill(n)
		text, err := os.ReadFile(p.host.Settings)
		c.Expect(err).NotTo(HaveOccurred())
		text = bytes.Replace(text, []byte("[limits]\n"), fmt.Appendf(nil, "[limits]\nlinkMbps = %d\n", mbps), 1)
		c.Expect(os.WriteFile(p.host.Settings, text, 0o600)).To(Succeed())
	}
	for n := range c.hosts {
		c.start(n)
	}
	for n := range c.hosts {
		c.awaitReady(n)
	}
	c.Eventually(c.owner, "10s", "20ms").Should(BeNumerically(">=", 0))
}

// term returns the term of the recorded owner.
func (c *cell) term() int64 {
	holder, ok := storedOwnerRecord(c.p.Store)
	c.Expect(ok).To(BeTrue())
	return holder.Term
}

// acceptLargeJobs submits jobs with a spec of a number of bytes that run once, after a time.
func (c *cell) acceptLargeJobs(jobs, specBytes int, startAfter time.Duration) {
	const callers = 10
	const millis = 100
	spec := fmt.Sprintf("ms=%d %s=0", millis, strings.Repeat("x", specBytes))
	step := emulator.Step{Count: 1, CPU: 200, MemoryMB: 10, Estimate: millis}
	schedule := startIn(startAfter, 1, time.Second)
	var submissions sync.WaitGroup
	for range callers {
		submissions.Go(func() {
			for range jobs / callers {
				c.callers.SubmitScheduled(context.Background(), spec, []emulator.Step{step}, schedule)
			}
		})
	}
	submissions.Wait()
	c.Expect(c.callers.Counts().Accepted).To(Equal(jobs))
}

// slowLinkMbps is the capacity of a link on which the list of the jobs of takeOverOnSlowLinks takes over 4 s.
const slowLinkMbps = 2

// takeOverOnSlowLinks kills the owner of many large jobs when all links to the store are slow, and requires that the
// next owner completes the jobs.
func (c *cell) takeOverOnSlowLinks() {
	const (
		jobs      = 600
		specBytes = 1200
		maxTerms  = 2 // how many owners may be needed
	)
	c.acceptLargeJobs(jobs, specBytes, 15*time.Second)
	for _, k := range c.storeLinks {
		k.limit(slowLinkMbps * 1e6 / 8)
	}
	before := c.term()
	c.kill(c.owner())
	counts := c.awaitJobs(60 * time.Second)
	c.Expect(counts.Completed).To(Equal(jobs))
	c.Expect(c.term()).To(BeNumerically("<=", before+maxTerms))
}

// Guards against owners that never finish a takeover while the records of the jobs take seconds on their links.
func TestOwnerFinishesItsTakeoverOnASlowLink(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 6})
	c.setLinkMbps(slowLinkMbps)
	c.takeOverOnSlowLinks()
}

// Guards against the same where the capacity of the links is not known, so that no limit can allow for it.
func TestOwnerFinishesItsTakeoverOnASlowLinkOfUnknownCapacity(t *testing.T) {
	newCell(t, 3, emulator.Options{Workers: 6}).takeOverOnSlowLinks()
}
