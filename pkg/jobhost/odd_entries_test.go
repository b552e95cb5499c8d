package jobhost

import (
	"math"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

// Guards against odd keys of another writer that keep a host from following the operator's keys.
func TestOddOperatorKeysAffectNoOther(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := startPlatform(t)
	deep := strings.Repeat("[", 200_000)
	put := func() {
		for key, value := range map[string]string{
			"op/config": deep, "op/config/x": "7", "op/": "", "op/other": deep, "op/\xff": "\xff",
			"op/wave/1": deep, "op/wave/2": `{"rolloutWave":2,"maxTasks":1e400}`, "op/wave/+3": "{}", "op/wave/9223372036854775808": "{}",
			"op/wave/4": `{"rolloutWave":4,"durationS":-1e300,"maxTasks":1}`, "op/evacuate/": deep, "op/evacuate/hall-a": deep,
		} {
			p.Store.Put(key, []byte(value))
		}
	}
	put()
	p.Store.Put("op/wave/3", []byte(`{"rolloutWave":3,"machineFailures":["m1"],"durationS":9,"maxTasks":1}`))
	p.Store.Remove("op/config")
	h, hook := newConfiguredHost(t, p) // lists them
	waves := func() (numbers []int64) {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, w := range h.waves.Waves() {
			numbers = append(numbers, w.Number)
		}
		return numbers
	}
	g.Eventually(waves, "2s", "5ms").Should(ConsistOf(int64(3)))
	g.Eventually(h.evacuatedHallNames, "2s", "5ms").Should(ConsistOf("hall-a"))

	put()
	p.Store.Remove("op/wave/+3")
	p.PutConfig(7)
	g.Eventually(func() int64 { return h.config.Load().Version }, "2s", "5ms").Should(Equal(int64(7)), "the watch goes on")
	g.Expect(waves()).To(ConsistOf(int64(3)))
	g.Expect(logLines(hook, "keys_lost")).To(BeEmpty())
}

// Guards against an owner's record that no host can decode, or whose term is out of range: no host could become the
// owner any more, or each new one ended at once.
func TestOddOwnerRecordIsReplaced(t *testing.T) {
	for _, odd := range []string{
		strings.Repeat("[", 200_000), `{"name":"x","address":"10.0.0.1:70000","term":4}`, `{"name":"x","term":9223372036854775807}`, `{"name":"x","term":-3}`, "\xff",
	} {
		g := NewWithT(t)
		p := startPlatform(t)
		putOwnerRecord(t, p, "first", 1)
		h, _ := newTestHost(t, p)
		p.PutConfig(1)
		h.applyOperatorItems(listKeys(t, h, "op/"))
		h.applyOwnerList(listKeys(t, h, jobstore.OwnerPrefix), 0)
		p.Store.Put(jobstore.OwnerRecordKey, []byte(odd))
		items := listKeys(t, h, jobstore.OwnerPrefix)
		h.applyOwnerList(items, 0)
		revision, term := h.knownOwner()
		g.Expect(revision).To(Equal(items[0].Revision), odd[:min(len(odd), 60)])
		g.Expect(term).To(And(BeNumerically(">=", 1), BeNumerically("<", math.MaxInt32)), "the next term is above all previous ones")
		h.election.lastHeardAt = -1 << 40
		may, _, _, _ := h.mayTakeOver()
		g.Expect(may).To(BeTrue())
		text, err := jobstore.OwnerRecord{Name: "next", Incarnation: "n", Term: term + 1}.Encode()
		g.Expect(err).NotTo(HaveOccurred())
		next, _, err := h.store.Commit(t.Context(), platform.Txn{
			Conditions: []platform.Condition{{Key: jobstore.OwnerRecordKey, Revision: revision}}, Put: []platform.Put{{Key: jobstore.OwnerRecordKey, Value: text}},
		})
		g.Expect(err).NotTo(HaveOccurred())
		h.applyOwnerList(listKeys(t, h, jobstore.OwnerPrefix), 0)
		known, term := h.knownOwner()
		g.Expect(known).To(Equal(next))
		g.Expect(term).To(BeNumerically(">", 1))
	}
}
