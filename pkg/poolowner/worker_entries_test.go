package poolowner

import (
	"context"
	"strings"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform"
	"foldarch.dev/foldarch/platform/emulator"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// ownerWatchingEntries returns an owner that watches the entries of an emulated platform, and its log.
func ownerWatchingEntries(t *testing.T) (*Owner, *emulator.Platform, dispatch.WorkerInfo, *logtest.Hook) {
	o, p, info, hook, _ := ownerWithStoppableWatch(t)
	return o, p, info, hook
}

// ownerWithStoppableWatch is ownerWatchingEntries with a function that ends the watch and waits for its end.
func ownerWithStoppableWatch(t *testing.T) (*Owner, *emulator.Platform, dispatch.WorkerInfo, *logtest.Hook, func()) {
	o, p, info := newOwnerOnEmulator(t)
	o.deps.Log.Logger.SetLevel(logrus.InfoLevel)
	hook := logtest.NewLocal(o.deps.Log.Logger)
	ctx, cancel := context.WithCancel(t.Context())
	o.background.Go(func() { o.watchWorkers(ctx) })
	stop := func() { cancel(); o.background.Wait() }
	t.Cleanup(stop)
	NewWithT(t).Eventually(o.workerNames, "5s", "10ms").Should(ConsistOf(info.ID))
	return o, p, info, hook, stop
}

func (o *Owner) workerNames() []dispatch.WorkerID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []dispatch.WorkerID
	for _, w := range o.pool.Workers() {
		out = append(out, w.ID)
	}
	return out
}

// countLogLines returns the number of log lines of an event that name a worker.
func countLogLines(hook *logtest.Hook, event, worker string) int {
	n := 0
	for _, e := range hook.AllEntries() {
		if e.Message == event && strings.Contains(e.Data["worker"].(string), worker) {
			n++
		}
	}
	return n
}

// An invalid entry of another writer is rewritten with each of its heartbeats. Guards against logging it
// each time.
func TestInvalidEntryIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	o, p, info, hook := ownerWatchingEntries(t)
	for range 5 {
		p.Store.Put("servers/other", []byte(`{"service":"pool-1","address":"10.0.0.9:80","zone":"hall-a","state":"warming"}`))
		time.Sleep(400 * time.Millisecond)
	}
	g.Expect(countLogLines(hook, "entry_unusable", "other")).To(Equal(1))
	g.Expect(o.workerNames()).To(ConsistOf(info.ID), "the other worker is unaffected")
	p.Store.Put("servers/other", []byte("?"))
	g.Eventually(func() int { return countLogLines(hook, "entry_unusable", "other") }, "3s", "20ms").Should(Equal(2), "a new reason is logged")
}

// Such an entry must not be polled, and no takeover may wait for it, which would take 8 s each.
func TestEntryOfAnUnknownPoolIsInvalidUntilItIsConfigured(t *testing.T) {
	g := NewWithT(t)
	o, p, info, hook := ownerWatchingEntries(t)
	o.SetConfig(queue.NewConfig(1, nil, []queue.Pool{{Name: emulator.Pool}}))
	text := strings.Replace(string(p.Store.Value("servers/"+info.ID.Name())), emulator.Pool, "pool-9", 1)
	p.Store.Put("servers/other", []byte(text))
	g.Eventually(func() int { return countLogLines(hook, "entry_unusable", "other") }, "3s", "20ms").Should(Equal(1))
	g.Expect(o.workerNames()).To(ConsistOf(info.ID))
	o.SetConfig(queue.NewConfig(2, nil, []queue.Pool{{Name: emulator.Pool}, {Name: "pool-9"}}))
	g.Eventually(o.workerNames, "3s", "20ms").Should(ConsistOf(info.ID, dispatch.WorkerID("other")))
}

// When another writer replaces the entry of a worker, its runs go on, but it gets no new tasks until its
// entry is valid again.
func TestValidEntryReplacedByAnInvalidOne(t *testing.T) {
	g := NewWithT(t)
	o, p, info, hook := ownerWatchingEntries(t)
	key := platform.WorkersPrefix + info.ID.Name()
	valid := p.Store.Value(key)
	p.Store.Put(key, []byte(`{"service":7}`))
	g.Eventually(func() int { return countLogLines(hook, "entry_unusable", info.ID.Name()) }, "3s", "20ms").Should(Equal(1))
	g.Expect(o.workerNames()).To(ConsistOf(info.ID), "it is still polled")
	g.Expect(o.hasEntry(info.ID)).To(BeFalse())
	p.Store.Put(key, valid)
	g.Eventually(func() bool { return o.hasEntry(info.ID) }, "3s", "20ms").Should(BeTrue())
}

func (o *Owner) hasEntry(id dispatch.WorkerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.HasEntry(id)
}
