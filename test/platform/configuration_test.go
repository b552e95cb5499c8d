package platform_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// configApplyLimit is the longest time from the acknowledgement of a configuration until all hosts apply it.
// It is the shortest limit of the known deployments.
const configApplyLimit = 2 * time.Second

// awaitStatusOnAllHosts waits until each host answers requests for the queue with the given HTTP status.
func (c *cell) awaitStatusOnAllHosts(status int, within time.Duration) {
	start := time.Now()
	deadline := start.Add(within)
	for n := range c.hosts {
		probe := emulator.NewLoadGenerator(c.p, []string{c.hosts[n].host.Frontend}).Probe
		remaining := max(time.Until(deadline), time.Millisecond)
		c.Eventually(func() int { return probe(c.t.Context()) }, remaining, "10ms").Should(Equal(status), "host %d", n)
	}
	c.t.Logf("applied by all hosts after %v", time.Since(start).Round(time.Millisecond))
}

// openStoreConnections makes a host open several connections to the store: it submits jobs while the store is
// slow, so that the host's writes overlap.
func (c *cell) openStoreConnections(n int) {
	const (
		jobs     = 8
		interval = 12 * time.Millisecond // longer than a host waits to combine jobs into one write
		delay    = 60 * time.Millisecond
	)
	callers := emulator.NewLoadGenerator(c.p, []string{c.hosts[n].host.Frontend})
	c.p.Store.SetDelay(delay)
	var submissions sync.WaitGroup
	for range jobs {
		submissions.Go(func() { callers.Submit(c.t.Context(), quickJob.spec, quickJob.steps) })
		time.Sleep(interval)
	}
	submissions.Wait()
	c.p.Store.SetDelay(0)
	c.Expect(callers.Counts().Accepted).To(Equal(jobs))
}

// Guards against hosts that apply a configuration too late after a store outage: for up to 3.3 s they
// answered 404 for queues that had been added and accepted jobs for a removed queue. Each host's watch times
// out during the outage, and the host reads the configuration again. That read may be lost in the outage,
// too. With a timeout of 4 s (that of a page of a list), a read sent just before the end of the outage
// delayed the configuration beyond the limit.
func TestConfigurationIsAppliedAfterAnOutage(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 2})
	c.p.Store.SetMode(emulator.StoreSilent)
	// Open watches are still answered, up to 1 s later. The next watches time out after 1.4 s, and the reads
	// that follow them get no answer.
	time.Sleep(2600 * time.Millisecond)
	c.p.Store.SetMode(emulator.StoreUp)
	c.p.PutEmptyConfig(2)
	c.awaitStatusOnAllHosts(http.StatusNotFound, configApplyLimit)
}

// Guards against a host that applies a new configuration only after 2.5 to 5.8 s because all its open
// connections have gone silent. The watch times out. The read that follows uses an idle connection that is
// silent as well, times out after 1 s and uses the next one. If a call without an answer casts no doubt on
// the other open connections, each of them costs a call its whole timeout.
func TestConfigurationIsAppliedWhenOpenConnectionsGoSilent(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 2})
	host := (c.owner() + 1) % len(c.hosts) // not the owner, whose many calls would detect the silent connections
	c.openStoreConnections(host)
	c.storeLinks[host].silence()
	c.p.PutEmptyConfig(2)
	c.awaitStatusOnAllHosts(http.StatusNotFound, configApplyLimit)
}
