package jobhost

import (
	"context"
	"encoding/json"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// runElectableHost runs a host that may become the owner, until stop is called or the test ends.
func runElectableHost(t *testing.T, p *emulator.Platform) (h *Host, hook *logtest.Hook, stop func()) {
	h, hook = newTestHost(t, p)
	cfg := *h.cfg.Load()
	cfg.Bounds.MaxHold = 6 * time.Second
	h.cfg.Store(&cfg)
	ctx, cancel := context.WithCancel(t.Context())
	for _, run := range []func(context.Context){h.operatorKeys.run, h.writer.run, h.newOwnerWatcher().run, h.campaign} {
		h.background.Go(func() { run(ctx) })
	}
	stop = func() {
		cancel()
		h.background.Wait()
	}
	t.Cleanup(stop)
	return h, hook, stop
}

// putSilentWorker adds a worker to the roster that can't be reached.
func putSilentWorker(t *testing.T, p *emulator.Platform) {
	text, err := json.Marshal([]dispatch.WorkerInfo{{ID: "silent", Address: netip.MustParseAddrPort("127.0.0.1:1"), Capacity: cell.Resources{CPUMillis: 1000}}})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	p.Store.Put(jobstore.RosterKey("silent"), text)
}

// Guards against tasks that run twice. The previous process of a host, which has ended, may have replaced another owner
// so shortly before that this one still extends the leases of a worker that does not answer.
func TestOwnerBeforeThePreviousProcessMayStillExtendLeases(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPlatform(t)
	p.PutConfig(1)
	putSilentWorker(t, p)
	putOwnerRecord(t, p, "host-1", 2) // by the previous process
	_, hook, _ := runElectableHost(t, p)
	settled := func() int { return len(logLines(hook, "takeover_settled")) }
	g.Eventually(settled, "20s", "10ms").Should(Equal(1))
	elected := logLines(hook, "owner_elected")
	g.Expect(elected).To(HaveLen(1))
	const maxLease = 5700 * time.Millisecond
	waited := logLines(hook, "takeover_settled")[0].Time.Sub(elected[0].Time)
	g.Expect(waited).To(BeNumerically(">=", poolowner.AuthorityTerm+maxLease), "the authority of the owner before the previous process, and a lease given at its end")
}

// The previous process is known to have outlasted the authority of those before it only by a value that names its own
// record: an older owner writes none, and other values may be those of another writer.
func TestPreviousAuthorityEndsOnlyUnderTheRecordOfThePreviousProcess(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	putOwnerRecord(t, p, "host-1", 1)
	h, _ := newTestHost(t, p)
	revision := listKeys(t, h, jobstore.OwnerRecordKey)[0].Revision
	expect := func(want bool, why string) {
		t.Helper()
		h.applyOwnerList(listKeys(t, h, jobstore.OwnerPrefix), 0)
		known, _ := h.knownOwner()
		g.Expect(h.hasAllAuthorityEnded(known)).To(Equal(want), why)
	}
	expect(false, "no value")
	for _, odd := range []string{"", "0", "x", string(jobstore.EncodeSoleOwner(revision)) + "x", strings.Repeat("[", 200_000), "9223372036854775808"} {
		p.Store.Put(jobstore.SoleOwnerKey, []byte(odd))
		expect(false, "odd value")
	}
	for _, other := range []int64{revision - 1, revision + 1, math.MaxInt64} {
		p.Store.Put(jobstore.SoleOwnerKey, jobstore.EncodeSoleOwner(other))
		expect(false, "record of another owner")
	}
	p.Store.Put(jobstore.SoleOwnerKey, jobstore.EncodeSoleOwner(revision))
	expect(true, "record of the previous process")
	g.Expect(h.hasAllAuthorityEnded(revision-1)).To(BeFalse(), "the takeover replaces another record")
	p.Store.Remove(jobstore.SoleOwnerKey)
	expect(false, "removed")
	p.Store.Put(jobstore.SoleOwnerKey, jobstore.EncodeSoleOwner(revision))
	putOwnerRecord(t, p, "host-1", 2)
	expect(false, "a later record")
	putOwnerRecord(t, p, "host-2", 3)
	p.Store.Put(jobstore.SoleOwnerKey, jobstore.EncodeSoleOwner(listKeys(t, h, jobstore.OwnerRecordKey)[0].Revision))
	expect(false, "the owner was another host and may go on")
}

// A host whose processes follow each other waits for nobody's authority once one of them has outlasted it.
func TestPreviousAuthorityHasEndedAfterALongTerm(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p, err := emulator.Start(emulator.Options{Workers: 1})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(p.Close)
	p.PutConfig(1)
	putOwnerRecord(t, p, "host-1", 2)
	for n, want := range []bool{false, true, true} {
		h, hook, stop := runElectableHost(t, p)
		g.Eventually(func() int { return len(logLines(hook, "owner_elected")) }, "20s", "10ms").Should(Equal(1))
		g.Expect(logLines(hook, "owner_elected")[0].Data["previous_authority_ended"]).To(Equal(want), "process %d", n)
		recorded := func() string {
			revision, _ := h.knownOwner()
			if string(p.Store.Value(jobstore.SoleOwnerKey)) == string(jobstore.EncodeSoleOwner(revision)) {
				return "by this process"
			}
			return ""
		}
		g.Eventually(recorded, "20s", "10ms").Should(Equal("by this process"))
		stop()
	}
}
