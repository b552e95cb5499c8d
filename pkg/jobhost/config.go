package jobhost

import (
	"time"

	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform"
	"github.com/sirupsen/logrus"
)

// configWait is the longest that a watch on the configuration waits. Together with the 0.4 s after which it is given up
// and a read, it keeps to the shortest known bound for putting a configuration in force, 2 s.
const configWait = time.Second

// newConfigFollower follows what the operator writes.
func (h *Host) newConfigFollower() *follower {
	return h.newFollower(platform.OperatorPrefix, min(configWait, h.cfg.Load().Bounds.ConfigApply/2), h.takeOperatorList, h.takeOperatorItems)
}

func (h *Host) takeOperatorItems(items []platform.Item) {
	for _, i := range items {
		h.takeOperatorItem(i)
	}
}

// takeOperatorItem takes in a key that the operator has written.
func (h *Host) takeOperatorItem(i platform.Item) {
	if i.Key == platform.ConfigKey && !i.Gone {
		h.takeConfig(i)
		return
	}
	if hall, ok := platform.EvacuatedHall(i); ok {
		h.takeEvacuation(hall, i)
		return
	}
	w, ok, err := platform.ParseWave(i)
	if err != nil {
		h.log.WithField("error", err).Error("wave_unreadable")
		return
	}
	if !ok {
		return
	}
	h.mu.Lock()
	h.waves[w.Number] = w
	h.mu.Unlock()
	if o := h.owner.Load(); o != nil {
		o.PutWave(w)
	}
}

// tellWaves tells a new owner the waves that are known.
func (h *Host) tellWaves(o *poolowner.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.waves {
		o.PutWave(w)
	}
}

// takeConfig puts a configuration in force if it is newer than the present one.
func (h *Host) takeConfig(item platform.Item) {
	cfg, err := platform.ParseConfig(item.Value)
	if err != nil {
		h.log.WithField("error", err).Error("config_unreadable")
		return
	}
	if !h.raiseConfig(cfg) {
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

func (h *Host) raiseConfig(cfg *queue.Config) bool {
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
