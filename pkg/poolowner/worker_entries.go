package poolowner

import (
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// maxInvalidEntries is the maximum number of invalid entries that are remembered. Further ones are only
// counted (pool.entries_unusable).
const mostUnusable = 1000

// invalidEntry is an entry in the store that names no usable worker.
type unusableEntry struct {
	info   dispatch.WorkerInfo // without an ID when the entry can't be decoded
	reason string
}

// applyEntry applies an entry of the store; ok is false when it names no usable worker. The caller holds
// o.mu.
func (o *Owner) putEntry(i platform.Item) (id dispatch.WorkerID, ok bool) {
	info, err := platform.ParseWorker(i)
	if err == nil && !o.pool.IsPoolConfigured(info.Pool) {
		err = errors.Newf("entry of worker %s: pool %s is not configured", info.ID, info.Pool)
	}
	if err != nil {
		o.leaveOut(platform.WorkerName(i), unusableEntry{info, err.Error()})
		return "", false
	}
	o.putWorker(info)
	return info.ID, true
}

// upsertWorker adds or updates a worker that has a valid entry. The caller holds o.mu.
func (o *Owner) putWorker(info dispatch.WorkerInfo) {
	delete(o.unusable, info.ID.Name())
	if o.pool.UpsertWorker(info, true, o.deps.Clock.Now()) {
		o.logWorker(info)
	}
}

// markEntryInvalid records that an entry names no usable worker. The reason is logged only when it
// changes, since the process that wrote the entry rewrites it with each heartbeat.
func (o *Owner) leaveOut(name string, e unusableEntry) {
	o.pool.MarkEntryInvalid(name)
	metrics.GetOrRegisterCounter("pool.entries_unusable", o.deps.Figures).Inc(1)
	previous, known := o.unusable[name]
	if !known && len(o.unusable) >= mostUnusable {
		return
	}
	o.unusable[name] = e
	if previous.reason != e.reason {
		o.deps.Log.WithFields(logrus.Fields{"worker": name, "error": e.reason}).Warn("entry_unusable")
	}
}

// applyConfiguredEntries applies entries that were invalid because their pool was not configured, and
// now is. The caller holds o.mu.
func (o *Owner) putConfigured() {
	for _, e := range o.unusable {
		if e.info.ID != "" && o.pool.IsPoolConfigured(e.info.Pool) {
			o.putWorker(e.info)
		}
	}
}
