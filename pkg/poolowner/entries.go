package poolowner

import (
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// mostUnusable bounds the entries that are remembered for naming no worker, with their texts: half a MB of usual ones. Others
// are counted only (pool.entries_unusable).
const mostUnusable = 1000

// errNotConfigured says that an entry is of a pool that the configuration does not name.
var errNotConfigured = errors.New("its pool is not configured")

// unusableEntry is an entry that names no worker to use.
type unusableEntry struct {
	item   platform.Item
	reason string
}

// putEntry takes in an entry that stands in the store; ok is false when it names no worker. The caller holds o.mu.
func (o *Owner) putEntry(i platform.Item) (id dispatch.WorkerID, ok bool) {
	info, err := platform.ParseWorker(i)
	if err == nil && !o.pool.Configured(info.Pool) {
		err = errors.Wrapf(errNotConfigured, "entry of worker %s: %s", info.ID, info.Pool)
	}
	if err != nil {
		o.leaveOut(i, err)
		return "", false
	}
	delete(o.unusable, info.ID.Name())
	if o.pool.PutWorker(info, true, o.deps.Clock.Now()) {
		o.logWorker(info)
	}
	return info.ID, true
}

// leaveOut takes in that an entry names no worker. It is told once, since it is written again with each heartbeat of who wrote it.
func (o *Owner) leaveOut(i platform.Item, why error) {
	name := platform.WorkerName(i)
	o.pool.EntryUnusable(name)
	metrics.GetOrRegisterCounter("pool.entries_unusable", o.deps.Figures).Inc(1)
	former, known := o.unusable[name]
	if !known && len(o.unusable) >= mostUnusable {
		return
	}
	o.unusable[name] = unusableEntry{i, why.Error()}
	if former.reason != why.Error() {
		o.deps.Log.WithFields(logrus.Fields{"worker": name, "error": why}).Warn("entry_unusable")
	}
}

// putConfigured takes in entries that were left out for a pool that is configured now. The caller holds o.mu.
func (o *Owner) putConfigured() {
	for _, e := range o.unusable {
		info, err := platform.ParseWorker(e.item)
		if err == nil && o.pool.Configured(info.Pool) {
			o.putEntry(e.item)
		}
	}
}
