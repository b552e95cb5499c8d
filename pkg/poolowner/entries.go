package poolowner

import (
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// mostUnusable bounds the entries that are remembered for naming no worker. Others are counted only (pool.entries_unusable).
const mostUnusable = 1000

// unusableEntry is an entry that names no worker to use.
type unusableEntry struct {
	info   dispatch.WorkerInfo // without an ID when it can't be read
	reason string
}

// putEntry takes in an entry that stands in the store; ok is false when it names no worker. The caller holds o.mu.
func (o *Owner) putEntry(i platform.Item) (id dispatch.WorkerID, ok bool) {
	info, err := platform.ParseWorker(i)
	if err == nil && !o.pool.IsPoolConfigured(info.Pool) {
		err = errors.Newf("entry of worker %s: %s: its pool is not configured", info.ID, info.Pool)
	}
	if err != nil {
		o.leaveOut(platform.WorkerName(i), unusableEntry{info, err.Error()})
		return "", false
	}
	o.putWorker(info)
	return info.ID, true
}

// putWorker takes in a worker whose entry is usable. The caller holds o.mu.
func (o *Owner) putWorker(info dispatch.WorkerInfo) {
	delete(o.unusable, info.ID.Name())
	if o.pool.UpsertWorker(info, true, o.deps.Clock.Now()) {
		o.logWorker(info)
	}
}

// leaveOut takes in that an entry names no worker. It is told once, since it is written again with each heartbeat of who wrote it.
func (o *Owner) leaveOut(name string, e unusableEntry) {
	o.pool.MarkEntryInvalid(name)
	metrics.GetOrRegisterCounter("pool.entries_unusable", o.deps.Figures).Inc(1)
	former, known := o.unusable[name]
	if !known && len(o.unusable) >= mostUnusable {
		return
	}
	o.unusable[name] = e
	if former.reason != e.reason {
		o.deps.Log.WithFields(logrus.Fields{"worker": name, "error": e.reason}).Warn("entry_unusable")
	}
}

// putConfigured takes in entries that were left out for a pool that is configured now. The caller holds o.mu.
func (o *Owner) putConfigured() {
	for _, e := range o.unusable {
		if e.info.ID != "" && o.pool.IsPoolConfigured(e.info.Pool) {
			o.putWorker(e.info)
		}
	}
}
