package jobhost

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// configWait is how long a watch waits. A watch may have gone silent without a sign, so
	// that none is trusted for longer.
	configWait  = time.Second
	configRetry = 100 * time.Millisecond
)

// watchConfig is the duty that follows the operator's configuration.
func (h *Host) watchConfig(ctx context.Context) {
	after := int64(-1)
	for ctx.Err() == nil {
		if after < 0 {
			after = h.readConfig(ctx)
			continue
		}
		items, at, err := h.store.Watch(ctx, platform.OperatorPrefix, after, configWait)
		if errors.Is(err, platform.ErrHistoryIsGone) {
			after = -1
			continue
		}
		if err != nil {
			after = h.readConfig(ctx)
			continue
		}
		for _, i := range items {
			h.takeOperatorItem(i)
		}
		after = at
	}
}

// readConfig reads what the operator has written and returns the revision from which to watch on, or
// -1 when it could not be read.
func (h *Host) readConfig(ctx context.Context) int64 {
	items, at, err := h.store.List(ctx, platform.OperatorPrefix)
	if err != nil {
		clock.Sleep(ctx, configRetry)
		return -1
	}
	for _, i := range items {
		h.takeOperatorItem(i)
	}
	return at
}

// takeOperatorItem takes in a key that the operator has written.
func (h *Host) takeOperatorItem(i platform.Item) {
	if i.Key == platform.ConfigKey && !i.Gone {
		h.takeConfig(i)
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
	h.log.WithFields(logrus.Fields{"version": cfg.Version, "revision": item.Revision, "queues": len(cfg.Queues)}).Info("config_in_force")
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
