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
	northKey, northNext, southKey = "north-key-5f21", "north-key-77aa", "south-key-0c9d"
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
func (c *cell) ask(n int, method, path, body string, keys ...string) int {
	r, err := http.NewRequestWithContext(c.t.Context(), method, "http://"+c.hosts[n].host.Door+path, strings.NewReader(body))
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

func TestCallsNeedTheKeyOfACustomer(t *testing.T) {
	c := newCell(t, 1, emulator.Options{Workers: 1, Customers: twoCustomers(), JudgeKeys: true})
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
		path := emulator.Prefix + id
		c.Expect(c.ask(0, http.MethodPost, path, job, test.keys...)).To(Equal(test.want), test.name)
		stored := c.p.Store.Value("foldarch/jobs/"+id) != nil
		c.Expect(stored).To(Equal(test.want == http.StatusOK), test.name)
		c.Expect(c.ask(0, http.MethodGet, emulator.Prefix, "", test.keys...)).To(Equal(test.want), "pending, %s", test.name)
	}
	c.Expect(c.ask(0, http.MethodPost, emulator.Prefix+"00000000000000f1?key="+northKey, job)).To(Equal(http.StatusUnauthorized), "in the query")
	c.Expect(c.ask(0, http.MethodPost, "/none/00000000000000f2", job)).To(Equal(http.StatusNotFound))
	c.Expect(c.ready(0)).To(BeTrue())
}

func TestJobsBelongToTheirCustomers(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 1, Customers: twoCustomers(), JudgeKeys: true})
	north, south := c.callers.As(northKey), c.callers.As(southKey)
	id, accepted := north.Submit(c.t.Context(), "ms=60000", []emulator.Step{{Count: 1, CPU: 100, MemoryMB: 10}})
	c.Expect(accepted).To(BeTrue())
	for n := range c.hosts {
		c.Expect(c.ask(n, http.MethodGet, emulator.Prefix+id, "", southKey)).To(Equal(http.StatusForbidden))
		c.Expect(c.ask(n, http.MethodDelete, emulator.Prefix+id, "", southKey)).To(Equal(http.StatusForbidden))
		c.Expect(c.ask(n, http.MethodPost, emulator.Prefix+id, `{"steps":[{"count":1}]}`, southKey)).To(Equal(http.StatusForbidden), "the ID belongs to another customer's job")
		c.Expect(c.ask(n, http.MethodGet, emulator.Prefix+id, "", northKey)).To(Equal(http.StatusOK))
	}
	c.Eventually(func() string { return run("job", "--host", c.hosts[0].host.Figures, id) }, "5s", "50ms").Should(ContainSubstring("of customer north"))
	changed := twoCustomers()
	changed[0].Keys = []string{northNext}
	c.p.PutCustomers(2, changed)
	c.awaitKey(northKey, http.StatusUnauthorized)
	c.awaitKey(northNext, http.StatusOK)
	c.Expect(c.ask(0, http.MethodGet, emulator.Prefix+id, "", northNext)).To(Equal(http.StatusOK), "the new key gives access to jobs submitted with the old one")
	c.Expect(c.callers.As(northNext).Cancel(c.t.Context(), id)).To(Equal(http.StatusOK))
	c.Expect(south.Cancel(c.t.Context(), id)).To(Equal(http.StatusForbidden), "also after the job has ended")
	c.Expect(c.p.Ledger.Faults()).To(BeEmpty())
}

// awaitKeyStatus waits until all hosts answer calls that carry the key with the given status.
func (c *cell) awaitKey(key string, status int) {
	for n := range c.hosts {
		c.Eventually(func() int { return c.ask(n, http.MethodGet, emulator.Prefix, "", key) }, configBound, "20ms").Should(Equal(status), "host %d", n)
	}
}

// A host that may have missed a newer configuration must not reject an unknown key, but answer that it is
// unavailable. It continues to serve the keys that it knows.
func TestHostThatMayMissChangesDeniesNoKey(t *testing.T) {
	c := newCell(t, 2, emulator.Options{Workers: 1, Customers: twoCustomers()})
	// The owner's record is in the store before each host has learned of it, and only the owner knows what is
	// pending.
	c.awaitKey(northKey, http.StatusOK)
	host := (c.owner() + 1) % len(c.hosts)
	c.storeLinks[host].set(silenced)
	c.Eventually(func() int { return c.ask(host, http.MethodGet, emulator.Prefix, "", northNext) }, "6s", "20ms").Should(Equal(http.StatusServiceUnavailable))
	c.Expect(c.ask(host, http.MethodGet, emulator.Prefix, "")).To(Equal(http.StatusServiceUnavailable))
	c.Expect(c.ask(host, http.MethodGet, emulator.Prefix, "", northKey)).To(Equal(http.StatusOK))
	c.storeLinks[host].set(linkFault{})
	c.awaitKey(northNext, http.StatusUnauthorized)
}

// Jobs of a customer with a quota wait for each other, also when the owner changes, while another customer's
// jobs continue. The platform checks the quota.
func TestQuotaHoldsOverAChangeOfTheOwner(t *testing.T) {
	c := newCell(t, 3, emulator.Options{Workers: 3, Customers: twoCustomers()})
	north, south := c.callers.As(northKey), c.callers.As(southKey)
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
	for _, callers := range []*emulator.Callers{north, south} {
		c.Expect(callers.Await(ctx)).To(BeEmpty())
	}
	c.Expect(c.p.Ledger.Faults()).To(BeEmpty())
	c.Expect(c.p.Ledger.Ends("done")).To(BeNumerically(">=", 24))
}

// A job with a step that can never fit its customer's quota is refused at once.
func TestJobThatNeverFitsItsQuotaIsRefused(t *testing.T) {
	c := newCell(t, 1, emulator.Options{Workers: 1, Customers: twoCustomers()})
	const gang = `{"steps":[{"count":4,"cpu":1000,"memMb":10,"gang":true}]}`
	c.Expect(c.ask(0, http.MethodPost, emulator.Prefix+"00000000000000a1", gang, northKey)).To(Equal(http.StatusServiceUnavailable))
	c.Expect(c.ask(0, http.MethodPost, emulator.Prefix+"00000000000000a2", gang, southKey)).To(Equal(http.StatusOK))
}

// API keys must not appear in what hosts log, show operators or write to the store.
func TestKeysStandNowhere(t *testing.T) {
	faulty := append(twoCustomers(), emulator.Customer{Name: "west", Keys: []string{northKey, ""}})
	c := newCell(t, 2, emulator.Options{Workers: 1, Customers: faulty})
	id, _ := c.callers.As(northKey).Submit(c.t.Context(), "ms=50", quickJob.steps)
	c.ask(0, http.MethodPost, emulator.Prefix+"00000000000000f1", "not a job", southKey)
	c.ask(0, http.MethodGet, emulator.Prefix, "", northNext)
	c.Eventually(func() string { return c.callers.As(northKey).State(c.t.Context(), id) }, "10s", "20ms").Should(Equal("completed"))
	text := strings.Join(c.p.Store.Values("foldarch/"), "\n")
	for n := range c.hosts {
		res, err := http.Get("http://" + c.hosts[n].host.Figures + "/metrics")
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
	for _, key := range []string{northKey, northNext, southKey} {
		c.Expect(text).NotTo(ContainSubstring(key))
	}
}
