package platform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
)

const (
	// API keys of the customers in these tests.
	northKey, northNewKey, southKey = "north-key-5f21", "north-key-77aa", "south-key-0c9d"
	// smallQuota is a CPU quota in thousandths of a core, small enough to hold jobs back.
	smallQuota = 3000
)

func twoCustomers() []emulator.Customer {
	return []emulator.Customer{
		{Name: "north", Keys: []string{northKey}, Weight: 5, CPU: smallQuota, MemoryMB: 1 << 20},
		{Name: "south", Keys: []string{southKey}, Weight: 5},
	}
}

// request sends a request with the given X-Api-Key headers to a host and returns the status of the answer.
func (c *cell) request(n int, method, path, body string, keys ...string) int {
	r, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.hosts[n].host.Frontend+path, strings.NewReader(body))
	c.Expect(err).NotTo(HaveOccurred())
	r.Host = emulator.QueueHost
	for _, k := range keys {
		r.Header.Add("X-Api-Key", k)
	}
	res, err := http.DefaultClient.Do(r)
	c.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

func TestCallsRequireACustomerKey(t *testing.T) {
	c := newCell(t, 1, emulator.Options{Workers: 1, Customers: twoCustomers(), CheckKeys: true})
	const job = `{"spec":"ms=100","steps":[{"count":1,"cpu":100,"memMb":10}]}`
	for n, test := range []struct {
		name string
		keys []string
		want int
	}{
		{"none", nil, http.StatusUnauthorized},
		{"unknown", []string{"north-key"}, http.StatusUnauthorized},
		{"empty", []string{""}, http.StatusUnauthorized},
		{"two of one customer", []string{northKey, northKey}, http.StatusUnauthorized},
		{"two customers'", []string{northKey, southKey}, http.StatusUnauthorized},
		{"long", []string{strings.Repeat("k", 10_000)}, http.StatusUnauthorized},
		{"not text", []string{"\xff\xfe"}, http.StatusUnauthorized},
		{"known", []string{southKey}, http.StatusOK},
	} {
		id := fmt.Sprintf("%016x", n+1)
		path := emulator.PathPrefix + id
		c.Expect(c.request(0, http.MethodPost, path, job, test.keys...)).To(Equal(test.want), test.name)
		stored := c.p.Store.Value("foldarch/jobs/"+id) != nil
		c.Expect(stored).To(Equal(test.want == http.StatusOK), test.name)
		c.Expect(c.request(0, http.MethodGet, emulator.PathPrefix, "", test.keys...)).To(Equal(test.want), "pending, %s", test.name)
	}
	c.Expect(c.request(0, http.MethodPost, emulator.PathPrefix+"00000000000000f1?key="+northKey, job)).To(Equal(http.StatusUnauthorized), "in the query")
	c.Expect(c.request(0, http.MethodPost, "/none/00000000000000f2", job)).To(Equal(http.StatusNotFound))
	c.Expect(c.ready(0)).To(BeTrue())
}

func TestJobsBelongToTheirCustomers(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 1, Customers: twoCustomers(), CheckKeys: true})
	north, south := c.callers.ForKey(northKey), c.callers.ForKey(southKey)
	id, accepted := north.Submit(c.t.Context(), "ms=60000", []emulator.Step{{Count: 1, CPU: 100, MemoryMB: 10}})
	c.Expect(accepted).To(BeTrue())
	for n := range c.hosts {
		c.Expect(c.request(n, http.MethodGet, emulator.PathPrefix+id, "", southKey)).To(Equal(http.StatusForbidden))
		c.Expect(c.request(n, http.MethodDelete, emulator.PathPrefix+id, "", southKey)).To(Equal(http.StatusForbidden))
		c.Expect(c.request(n, http.MethodPost, emulator.PathPrefix+id, `{"steps":[{"count":1}]}`, southKey)).To(Equal(http.StatusForbidden), "the ID belongs to another customer's job")
		c.Expect(c.request(n, http.MethodGet, emulator.PathPrefix+id, "", northKey)).To(Equal(http.StatusOK))
	}
	c.Eventually(func() string { return runCommand("job", "--host", c.hosts[0].host.Operator, id) }, "5s", "50ms").Should(ContainSubstring("of customer north"))
	changed := twoCustomers()
	changed[0].Keys = []string{northNewKey}
	c.p.PutCustomers(2, changed)
	c.awaitKeyStatus(northKey, http.StatusUnauthorized)
	c.awaitKeyStatus(northNewKey, http.StatusOK)
	c.Expect(c.request(0, http.MethodGet, emulator.PathPrefix+id, "", northNewKey)).To(Equal(http.StatusOK), "the new key gives access to jobs submitted with the old one")
	c.Expect(c.callers.ForKey(northNewKey).Cancel(c.t.Context(), id)).To(Equal(http.StatusOK))
	c.Expect(south.Cancel(c.t.Context(), id)).To(Equal(http.StatusForbidden), "also after the job has ended")
	c.Expect(c.p.Checker.Violations()).To(BeEmpty())
}

// awaitKeyStatus waits until all hosts answer calls that carry the key with the given status.
func (c *cell) awaitKeyStatus(key string, status int) {
	for n := range c.hosts {
		c.Eventually(func() int { return c.request(n, http.MethodGet, emulator.PathPrefix, "", key) }, configApplyLimit, "20ms").Should(Equal(status), "host %d", n)
	}
}

// A host that may have missed a newer configuration must not reject an unknown key, but answer that it is
// unavailable. It continues to serve the keys that it knows.
func TestHostWithoutCurrentConfigurationRejectsNoKey(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 1, Customers: twoCustomers()})
	// The owner's record is in the store before each host has learned of it, and only the owner knows what is
	// pending.
	c.awaitKeyStatus(northKey, http.StatusOK)
	host := (c.owner() + 1) % len(c.hosts)
	c.storeLinks[host].set(silenceFault)
	c.Eventually(func() int { return c.request(host, http.MethodGet, emulator.PathPrefix, "", northNewKey) }, "6s", "20ms").Should(Equal(http.StatusServiceUnavailable))
	c.Expect(c.request(host, http.MethodGet, emulator.PathPrefix, "")).To(Equal(http.StatusServiceUnavailable))
	c.Expect(c.request(host, http.MethodGet, emulator.PathPrefix, "", northKey)).To(Equal(http.StatusOK))
	c.storeLinks[host].set(linkFault{})
	c.awaitKeyStatus(northNewKey, http.StatusUnauthorized)
}

// Jobs of a customer with a quota wait for each other, also when the owner changes, while another customer's
// jobs continue. The platform checks the quota.
func TestQuotaHoldsWhenTheOwnerChanges(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 3, Customers: twoCustomers()})
	north, south := c.callers.ForKey(northKey), c.callers.ForKey(southKey)
	wide := []emulator.Step{{Count: 6, CPU: 1000, MemoryMB: 100, Estimate: 400}}
	for range 4 {
		_, accepted := north.Submit(c.t.Context(), "ms=400", wide)
		c.Expect(accepted).To(BeTrue())
	}
	time.Sleep(600 * time.Millisecond)
	c.kill(c.owner())
	_, _ = south.Submit(c.t.Context(), "ms=100", wide)
	ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
	defer cancel()
	for _, callers := range []*emulator.LoadGenerator{north, south} {
		c.Expect(callers.AwaitJobs(ctx)).To(BeEmpty())
	}
	c.Expect(c.p.Checker.Violations()).To(BeEmpty())
	c.Expect(c.p.Checker.Ends("done")).To(BeNumerically(">=", 24))
}

// A job with a step that can never fit its customer's quota is refused at once.
func TestJobThatNeverFitsItsQuotaIsRefused(t *testing.T) {
	c := newCell(t, 1, emulator.Options{Workers: 1, Customers: twoCustomers()})
	const gang = `{"steps":[{"count":4,"cpu":1000,"memMb":10,"gang":true}]}`
	c.Expect(c.request(0, http.MethodPost, emulator.PathPrefix+"00000000000000a1", gang, northKey)).To(Equal(http.StatusServiceUnavailable))
	c.Expect(c.request(0, http.MethodPost, emulator.PathPrefix+"00000000000000a2", gang, southKey)).To(Equal(http.StatusOK))
}

// API keys must not appear in what hosts log, show operators or write to the store.
func TestKeysAreNotDisclosed(t *testing.T) {
	faulty := append(twoCustomers(), emulator.Customer{Name: "west", Keys: []string{northKey, ""}})
	c := newCell(t, 2, emulator.Options{Workers: 1, Customers: faulty})
	id, _ := c.callers.ForKey(northKey).Submit(c.t.Context(), "ms=50", quickJob.steps)
	c.request(0, http.MethodPost, emulator.PathPrefix+"00000000000000f1", "not a job", southKey)
	c.request(0, http.MethodGet, emulator.PathPrefix, "", northNewKey)
	c.Eventually(func() string { return c.callers.ForKey(northKey).State(c.t.Context(), id) }, "10s", "20ms").Should(Equal("completed"))
	text := strings.Join(c.p.Store.Values("foldarch/"), "\n")
	for n := range c.hosts {
		res, err := http.Get("http://" + c.hosts[n].host.Operator + "/metrics")
		c.Expect(err).NotTo(HaveOccurred())
		metrics, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		text += string(metrics)
	}
	c.stopAll()
	for _, log := range c.logs {
		text += log.String()
	}
	c.Expect(text).To(ContainSubstring("north"))
	c.Expect(text).To(ContainSubstring("config_faulty"))
	for _, key := range []string{northKey, northNewKey, southKey} {
		c.Expect(text).NotTo(ContainSubstring(key))
	}
}
