package jobhost

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// newTestHost returns a host that uses an emulated store and does not run yet, with its log.
func newTestHost(t *testing.T, p *emulator.Platform) (*Host, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	cfg := platform.Settings{
		Name: "host-1", HeartbeatInterval: time.Second, Bounds: platform.Bounds{ConfigApply: 2 * time.Second},
		Store: platform.StoreSettings{
			Address: netip.MustParseAddrPort(p.StoreAddress()), WritesPerSecond: 400, ReadsPerSecond: 2000,
		},
	}
	return New(cfg, clientlimit.DefaultOptions(), logrus.NewEntry(log)), hook
}

func startPlatform(t *testing.T) *emulator.Platform {
	t.Helper()
	p, err := emulator.Start(emulator.Options{})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	return p
}

// runWatcher runs a watcher until the test ends.
func runWatcher(t *testing.T, w *keyWatcher) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// newConfiguredHost returns a host that has a configuration in force and watches it, with its log.
func newConfiguredHost(t *testing.T, p *emulator.Platform) (*Host, *logtest.Hook) {
	t.Helper()
	p.PutConfig(1)
	h, hook := newTestHost(t, p)
	runWatcher(t, h.operatorKeys)
	NewWithT(t).Eventually(h.config.Load, "2s", "5ms").ShouldNot(BeNil())
	return h, hook
}

// logLines returns the log entries with the given message.
func logLines(hook *logtest.Hook, message string) []*logrus.Entry {
	var found []*logrus.Entry
	for _, e := range hook.AllEntries() {
		if e.Message == message {
			found = append(found, e)
		}
	}
	return found
}

func TestLossOfTheConfigurationWatchIsLoggedOnce(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPlatform(t)
	h, hook := newConfiguredHost(t, p)
	g.Expect(h.operatorKeys.Age()).To(BeNumerically("<", time.Second))

	p.Store.SetMode(emulator.StoreBusy)
	g.Eventually(h.operatorKeys.Age, "4s", "10ms").Should(BeNumerically(">", 1500*time.Millisecond))
	g.Expect(logLines(hook, "keys_lost")).To(HaveLen(1), "one line, however many attempts fail")
	g.Expect(logLines(hook, "keys_regained")).To(BeEmpty())

	p.Store.SetMode(emulator.StoreUp)
	g.Eventually(func() int { return len(logLines(hook, "keys_regained")) }, "2s", "5ms").Should(Equal(1))
	g.Expect(logLines(hook, "keys_regained")[0].Data["age_ms"]).To(BeNumerically(">", 1500))
	g.Eventually(h.operatorKeys.Age, "2s", "1ms").Should(BeNumerically("<", time.Second))
}

func TestAgeOfUnreadConfigurationStartsWithItsWatcher(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPlatform(t)
	p.Store.SetMode(emulator.StoreBusy)
	h, _ := newTestHost(t, p)
	runWatcher(t, h.operatorKeys)
	g.Consistently(h.operatorKeys.Age, "400ms", "20ms").Should(BeNumerically("<", time.Second))
	g.Expect(h.config.Load()).To(BeNil())
}

// Guards against answering a caller that an existing queue does not exist. The host loses the store,
// the operator adds the queue, and the caller asks this host. A host whose configuration may be outdated
// must answer 503 instead of 404.
func TestHostWithStaleConfigurationDeniesNoQueue(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPlatform(t)
	h, hook := newConfiguredHost(t, p)
	get := func() int {
		r := httptest.NewRequest(http.MethodGet, "http://jobs.example/added-later/", nil)
		w := httptest.NewRecorder()
		h.jobHandler().ServeHTTP(w, r)
		return w.Code
	}
	g.Expect(get()).To(Equal(http.StatusNotFound))

	p.Store.SetMode(emulator.StoreSilent)
	g.Eventually(get, "4s", "20ms").Should(Equal(http.StatusServiceUnavailable))
	found := logLines(hook, "queue_unknown")
	g.Expect(found[len(found)-1].Data["config_age_ms"]).To(BeNumerically(">=", 2000))

	p.Store.SetMode(emulator.StoreUp)
	g.Eventually(get, "2s", "20ms").Should(Equal(http.StatusNotFound))
}
