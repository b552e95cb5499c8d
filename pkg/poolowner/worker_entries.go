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
const maxInvalidEntries = 1000

// maxReasonBytes limits the text that is kept and logged of an error, which may quote the entry.
const maxReasonBytes = 300

// invalidEntry is an entry in the store that names no usable worker.
type invalidEntry struct {
	info   dispatch.WorkerInfo // without an ID when the entry can't be decoded
	reason string
}

// applyEntry applies an entry of the store; ok is false when it names no usable worker. The caller holds
// o.mu.
func (o *Owner) applyEntry(i platform.Item) (id dispatch.WorkerID, ok bool) {
	info, err := platform.ParseWorker(i)
	if err == nil && !o.pool.IsPoolConfigured(info.Pool) {
		err = errors.Newf("entry of worker %s: pool %s is not configured", info.ID, info.Pool)
	}
	if err != nil {
		reason := err.Error()
		o.markEntryInvalid(platform.WorkerName(i), invalidEntry{info, reason[:min(len(reason), maxReasonBytes)]})
		return "", false
	}
	o.upsertWorker(info)
	return info.ID, true
}

// upsertWorker adds or updates a worker that has a valid entry. The caller holds o.mu.
func (o *Owner) upsertWorker(info dispatch.WorkerInfo) {
	delete(o.invalidEntries, info.ID.Name())
	if o.pool.UpsertWorker(info, true, o.deps.Clock.Now()) {
		o.logWorker(info)
	}
}

// markEntryInvalid records that an entry names no usable worker. The reason is logged only when it
// changes, since the process that wrote the entry rewrites it with each heartbeat.
func (o *Owner) markEntryInvalid(name string, e invalidEntry) {
	o.pool.MarkEntryInvalid(name)
	metrics.GetOrRegisterCounter("pool.entries_unusable", o.deps.Metrics).Inc(1)
	previous, known := o.invalidEntries[name]
	if !known && len(o.invalidEntries) >= maxInvalidEntries {
		return
	}
	o.invalidEntries[name] = e
	if previous.reason != e.reason {
		o.deps.Log.WithFields(logrus.Fields{"worker": name, "error": e.reason}).Warn("entry_unusable")
	}
}

// applyConfiguredEntries applies entries that were invalid because their pool was not configured, and
// now is. The caller holds o.mu.
func (o *Owner) applyConfiguredEntries() {
	for _, e := range o.invalidEntries {
		if e.info.ID != "" && o.pool.IsPoolConfigured(e.info.Pool) {
			o.upsertWorker(e.info)
		}
	}
}
