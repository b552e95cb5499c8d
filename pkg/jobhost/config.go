package jobhost

import (
	"time"

	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform"
	"github.com/sirupsen/logrus"
)

const (
	// configWait is how long a watch on the operator's keys waits where they have to be in force soon. Together with the 0.4 s after which it
	// is given up and a read, it keeps to the shortest known bound, 2 s.
	configWait = time.Second
	// longConfigWait is the longest wait: each host of hundreds asks the store that often though nothing changes.
	longConfigWait = 2 * time.Second
	// configSlack is left of the bound for giving up a silent watch and for two reads.
	configSlack = 3 * time.Second
)

// newConfigFollower follows what the operator writes.
func (h *Host) newConfigFollower() *follower {
	return h.newFollower(platform.OperatorPrefix, func() time.Duration { return operatorWait(h.cfg.Load().Bounds) }, h.takeOperatorList, h.takeOperatorItems)
}

// operatorWait is how long a watch on the operator's keys waits.
func operatorWait(b platform.Bounds) time.Duration {
	bound := b.ConfigApply
	if b.StrictKeys && b.Revoke > 0 {
		bound = min(bound, b.Revoke)
	}
	return max(min(configWait, bound/2), min(bound-configSlack, longConfigWait))
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
