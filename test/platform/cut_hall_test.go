package platform_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

// submitAt submits a job to one host and returns the status of the answer and how long it took.
func (c *cell) submitAt(n int, id string) (status int, took time.Duration) {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.hosts[n].host.Frontend+emulator.PathPrefix+id, strings.NewReader(`{"spec":"ms=10","steps":[{"count":1}]}`))
	c.Expect(err).NotTo(HaveOccurred())
	r.Host = emulator.QueueHost
	r.Header.Set("X-Deadline-Ms", "3000")
	start := time.Now()
	res, err := http.DefaultClient.Do(r)
	c.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	return res.StatusCode, time.Since(start)
}

// awaitOwnerLinks waits until all hosts are connected to the owner.
func (c *cell) awaitOwnerLinks() {
	for _, p := range c.hosts {
		c.Eventually(func() string { _, metrics := httpGet("http://" + p.host.Operator + "/metrics"); return metrics }, "3s", "20ms").Should(ContainSubstring("owner.linked 1"))
	}
}

// hostsOfHall returns the hosts inside and outside a hall. Hosts are assigned to halls round robin.
func (c *cell) hostsOfHall(hall, halls int) (inside, outside []int) {
	for n := range c.hosts {
		if n%halls == hall {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	return inside, outside
}

// Guards against hosts that count as connected because the owner is cut off together with them, in their own
// hall: they reported ready and refused each job, while hosts of other halls would have accepted it. The
// hosts of the other hall are frozen, since to the hall that is cut off they look unreachable.
func TestHallCutOffWithTheOwnerIsNotReady(t *testing.T) {
	const halls = 2
	c := newCell(t, 4, emulator.Options{Workers: 2, HostHalls: halls})
	c.awaitOwnerLinks()
	inside, outside := c.hostsOfHall(c.owner()%halls, halls)
	for _, n := range inside {
		c.storeLinks[n].set(linkFault{holdsRequests: true, holdsAnswers: true})
	}
	for _, n := range outside {
		c.signal(n, syscall.SIGSTOP)
	}
	for _, n := range inside {
		c.Eventually(func() bool { return c.ready(n) }, "2500ms", "20ms").Should(BeFalse(), "host %d", n)
		status, took := c.submitAt(n, "5c0e7a21d94b36f8")
		c.Expect(status).To(Equal(http.StatusServiceUnavailable))
		c.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
	}
	c.Consistently(func() bool { return c.ready(inside[0]) || c.ready(inside[1]) }, "1500ms", "50ms").Should(BeFalse())
	for _, n := range inside {
		c.storeLinks[n].set(linkFault{})
	}
	for _, n := range outside {
		c.signal(n, syscall.SIGCONT)
	}
	for n := range c.hosts {
		c.awaitReady(n)
	}
	c.Expect(c.p.Store.Values("foldarch/jobs/5c0e7a21d94b36f8")).To(BeEmpty(), "a refused job is not stored")
	c.awaitJobs(10 * time.Second)
}

// Guards against hosts that report not ready while the store is unavailable to all: no other host could serve
// callers instead, and each host would be ready again a second late.
func TestHostsStayReadyWhileTheStoreIsUnavailableToAll(t *testing.T) {
	c := newCell(t, 4, emulator.Options{Workers: 2, HostHalls: 2})
	c.p.Store.SetMode(emulator.StoreSilent)
	start := time.Now()
	for time.Since(start) < 4*time.Second {
		for n := range c.hosts {
			c.Expect(c.ready(n)).To(BeTrue(), "host %d after %v", n, time.Since(start))
		}
	}
	for n := range c.hosts {
		status, took := c.submitAt(n, "5c0e7a21d94b36f9")
		c.Expect(status).To(Equal(http.StatusServiceUnavailable))
		c.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
	}
	c.p.Store.SetMode(emulator.StoreUp)
	c.Eventually(func() int { status, _ := c.submitAt(0, "5c0e7a21d94b36fa"); return status }, "2s", "10ms").Should(Equal(http.StatusOK))
	c.awaitJobs(10 * time.Second)
}
