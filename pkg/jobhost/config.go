package jobhost

import (
	"time"

	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform"
	"github.com/sirupsen/logrus"
)

const (
	// configWatchWait is how long a watch on the operator's keys waits if changes must be applied soon.
	// Together with the 0.4 s after which a watch times out, and one read, it stays within the shortest
	// known limit of 2 s.
	configWatchWait = time.Second
	// maxConfigWatchWait is the longest wait of a watch. It bounds the load on the store: each of
	// hundreds of hosts calls the store once per wait even if nothing changes.
	maxConfigWatchWait = 2 * time.Second
	// configWatchMargin is the part of the limit that is left for a watch that times out and for two
	// reads.
	configWatchMargin = 3 * time.Second
)

// newOperatorWatcher returns a watcher of the keys that the operator writes.
func (h *Host) newOperatorWatcher() *keyWatcher {
	return h.newKeyWatcher(platform.OperatorPrefix, func() time.Duration { return operatorWatchWait(h.cfg.Load().Bounds) }, h.applyOperatorList, h.applyOperatorItems)
}

// operatorWatchWait returns how long a watch on the operator's keys waits.
func operatorWatchWait(b platform.Bounds) time.Duration {
	bound := b.ConfigApply
	if b.StrictRevocation && b.RevocationLimit > 0 {
		bound = min(bound, b.RevocationLimit)
	}
	return max(min(configWatchWait, bound/2), min(bound-configWatchMargin, maxConfigWatchWait))
}

// applyOperatorItems applies keys that the operator has written.
func (h *Host) applyOperatorItems(items []platform.Item) {
	for _, i := range items {
		h.applyOperatorItem(i)
	}
}

// applyOperatorItem applies one key that the operator has written.
func (h *Host) applyOperatorItem(i platform.Item) {
	if i.Key == platform.ConfigKey && !i.Removed {
		h.applyConfig(i)
		return
	}
	if hall, ok := platform.EvacuatedHall(i); ok {
		h.applyEvacuation(hall, i)
		return
	}
	h.applyWave(i)
}

// applyConfig puts a configuration in force if its version is higher than the current one's.
func (h *Host) applyConfig(item platform.Item) {
	cfg, err := platform.ParseConfig(item.Value)
	if err != nil {
		h.log.WithField("error", err).Error("config_unreadable")
		return
	}
	if !h.replaceConfig(cfg) {
		return
	}
	h.log.WithFields(logrus.Fields{
		"version": cfg.Version, "revision": item.Revision, "queues": len(cfg.Queues), "customers": len(cfg.Customers.Names()),
	}).Info("config_in_force")
	for _, fault := range cfg.Faults {
		h.log.WithFields(logrus.Fields{"version": cfg.Version, "fault": fault}).Warn("config_faulty")
	}
	if o := h.owner.Load(); o != nil {
		o.SetConfig(cfg)
	}
}

// replaceConfig stores a configuration and returns true if its version is higher than the current one's.
func (h *Host) replaceConfig(cfg *queue.Config) bool {
	for {
		old := h.config.Load()
		if old != nil && old.Version >= cfg.Version {
			return false
		}
		if h.config.CompareAndSwap(old, cfg) {
			return true
		}
	}
}
