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

// handIn hands a job in at one host and returns the status and how long the answer took.
func (c *cell) handIn(n int, id string) (status int, took time.Duration) {
	r, err := http.NewRequest(http.MethodPost, "http://"+c.hosts[n].host.Door+emulator.Prefix+id, strings.NewReader(`{"spec":"ms=10","steps":[{"count":1}]}`))
	c.Expect(err).NotTo(HaveOccurred())
	r.Host = emulator.QueueHost
	r.Header.Set("X-Deadline-Ms", "3000")
	began := time.Now()
	res, err := http.DefaultClient.Do(r)
	c.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	return res.StatusCode, time.Since(began)
}

// awaitLinks waits until all hosts are in touch with the owner.
func (c *cell) awaitLinks() {
	for _, p := range c.hosts {
		c.Eventually(func() string { _, figures := get("http://" + p.host.Figures + "/metrics"); return figures }, "3s", "20ms").Should(ContainSubstring("owner.linked 1"))
	}
}

// inHall lists the hosts of a hall by turns, and the others.
func (c *cell) inHall(hall, halls int) (inside, outside []int) {
	for n := range c.hosts {
		if n%halls == hall {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	return inside, outside
}

// Guards against hosts of a hall that is cut off with the owner and that count as connected since they hear it: they reported ready and refused each attempt,
// while callers would have been served in other halls. The hosts of the other hall are frozen, which is what the hall that is cut off sees of them.
func TestHallThatIsCutOffWithTheOwnerIsNotReady(t *testing.T) {
	const halls = 2
	c := newCell(t, 4, emulator.Options{Workers: 2, HostHalls: halls})
	c.awaitLinks()
	inside, outside := c.inHall(c.owner()%halls, halls)
	for _, n := range inside {
		c.storeLinks[n].set(linkFault{holdsOrders: true, holdsAnswers: true})
	}
	for _, n := range outside {
		c.signal(n, syscall.SIGSTOP)
	}
	for _, n := range inside {
		c.Eventually(func() bool { return c.ready(n) }, "2500ms", "20ms").Should(BeFalse(), "host %d", n)
		status, took := c.handIn(n, "5c0e7a21d94b36f8")
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
	c.Expect(c.p.Store.Values("foldarch/jobs/5c0e7a21d94b36f8")).To(BeEmpty(), "it was refused, so it never runs")
	c.finish(10 * time.Second)
}

// Guards against hosts that are taken out while the store is unavailable to all: nobody could do better, and each is back a second late.
func TestHostsStayReadyWhileTheStoreIsUnavailableToAll(t *testing.T) {
	c := newCell(t, 4, emulator.Options{Workers: 2, HostHalls: 2})
	c.p.Store.SetMode(emulator.StoreSilent)
	began := time.Now()
	for time.Since(began) < 4*time.Second {
		for n := range c.hosts {
			c.Expect(c.ready(n)).To(BeTrue(), "host %d after %v", n, time.Since(began))
		}
	}
	for n := range c.hosts {
		status, took := c.handIn(n, "5c0e7a21d94b36f9")
		c.Expect(status).To(Equal(http.StatusServiceUnavailable))
		c.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
	}
	c.p.Store.SetMode(emulator.StoreUp)
	c.Eventually(func() int { status, _ := c.handIn(0, "5c0e7a21d94b36fa"); return status }, "2s", "10ms").Should(Equal(http.StatusOK))
	c.finish(10 * time.Second)
}
