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

// followedEntries is an owner that follows the entries of an emulated platform, with the lines of its log.
func followedEntries(t *testing.T) (*Owner, *emulator.Platform, dispatch.WorkerInfo, *logtest.Hook) {
	o, p, info := ownerOfEmulated(t)
	o.deps.Log.Logger.SetLevel(logrus.InfoLevel)
	hook := logtest.NewLocal(o.deps.Log.Logger)
	ctx, cancel := context.WithCancel(t.Context())
	o.duties.Go(func() { o.watchWorkers(ctx) })
	t.Cleanup(func() { cancel(); o.duties.Wait() })
	NewWithT(t).Eventually(o.workerNames, "5s", "10ms").Should(ConsistOf(info.ID))
	return o, p, info, hook
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

// linesOf counts the lines of an event that name a worker.
func linesOf(hook *logtest.Hook, event, worker string) int {
	n := 0
	for _, e := range hook.AllEntries() {
		if e.Message == event && strings.Contains(e.Data["worker"].(string), worker) {
			n++
		}
	}
	return n
}

// An entry that another writer has made is written again with each of its heartbeats. It was told in the log each time.
func TestEntryThatNamesNoWorkerIsToldOnce(t *testing.T) {
	g := NewWithT(t)
	o, p, info, hook := followedEntries(t)
	for range 5 {
		p.Store.Put("servers/other", []byte(`{"service":"pool-1","address":"10.0.0.9:80","zone":"hall-a","state":"warming"}`))
		time.Sleep(400 * time.Millisecond)
	}
	g.Expect(linesOf(hook, "entry_unusable", "other")).To(Equal(1))
	g.Expect(o.workerNames()).To(ConsistOf(info.ID), "the others are left alone")
	p.Store.Put("servers/other", []byte("?"))
	g.Eventually(func() int { return linesOf(hook, "entry_unusable", "other") }, "3s", "20ms").Should(Equal(2), "another reason")
}

// Such an entry is asked by nobody, and no takeover waits for it: each would wait for 8 s.
func TestEntryOfAnUnknownPoolNamesNoWorkerUntilItIsConfigured(t *testing.T) {
	g := NewWithT(t)
	o, p, info, hook := followedEntries(t)
	o.SetConfig(queue.NewConfig(1, nil, []queue.Pool{{Name: emulator.Pool}}))
	text := strings.Replace(string(p.Store.Value("servers/"+info.ID.Name())), emulator.Pool, "pool-9", 1)
	p.Store.Put("servers/other", []byte(text))
	g.Eventually(func() int { return linesOf(hook, "entry_unusable", "other") }, "3s", "20ms").Should(Equal(1))
	g.Expect(o.workerNames()).To(ConsistOf(info.ID))
	o.SetConfig(queue.NewConfig(2, nil, []queue.Pool{{Name: emulator.Pool}, {Name: "pool-9"}}))
	g.Eventually(o.workerNames, "3s", "20ms").Should(ConsistOf(info.ID, dispatch.WorkerID("other")))
}

// What runs on a worker goes on when another writer replaces its entry, and it gets no more until the entry is good again.
func TestGoodEntryThatABadOneReplaces(t *testing.T) {
	g := NewWithT(t)
	o, p, info, hook := followedEntries(t)
	key := platform.WorkersPrefix + info.ID.Name()
	good := p.Store.Value(key)
	p.Store.Put(key, []byte(`{"service":7}`))
	g.Eventually(func() int { return linesOf(hook, "entry_unusable", info.ID.Name()) }, "3s", "20ms").Should(Equal(1))
	g.Expect(o.workerNames()).To(ConsistOf(info.ID), "it is asked on")
	g.Expect(o.listed(info.ID)).To(BeFalse())
	p.Store.Put(key, good)
	g.Eventually(func() bool { return o.listed(info.ID) }, "3s", "20ms").Should(BeTrue())
}

func (o *Owner) listed(id dispatch.WorkerID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.HasEntry(id)
}
