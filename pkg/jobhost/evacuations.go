package jobhost

import (
	"context"
	"strings"

	"foldarch.dev/foldarch/platform"
	"github.com/sirupsen/logrus"
)

// applyOperatorList applies a complete list of the operator's keys as of a revision.
func (h *Host) applyOperatorList(items []platform.Item, at int64) {
	evacuated := map[string]int64{}
	waves := map[int64]bool{}
	for _, i := range items {
		if number, ok := platform.WaveNumber(i.Key); ok {
			waves[number] = true
		}
		if hall, ok := platform.EvacuatedHall(i); ok {
			evacuated[hall] = i.Revision
			continue
		}
		h.applyOperatorItem(i)
	}
	h.withdrawOtherWaves(waves, at)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated.List(evacuated, at) {
		h.publishEvacuations()
	}
}

// applyEvacuation applies that an evacuation was requested or withdrawn.
func (h *Host) applyEvacuation(hall string, i platform.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	apply := h.evacuated.Put
	if i.Removed {
		apply = h.evacuated.Remove
	}
	if apply(hall, i.Revision) {
		h.publishEvacuations()
	}
}

// publishEvacuations passes the evacuated halls to the owner if it runs on this host. The caller holds
// h.mu.
func (h *Host) publishEvacuations() {
	halls := h.evacuated.Names()
	h.log.WithFields(logrus.Fields{"halls": strings.Join(halls, ","), "keys_age_ms": h.operatorKeys.Age().Milliseconds()}).Info("evacuations")
	if o := h.owner.Load(); o != nil {
		o.SetEvacuatedHalls(halls)
	}
}

// sendEvacuations passes the evacuated halls to a new owner.
func (h *Host) sendEvacuations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o := h.owner.Load(); o != nil {
		o.SetEvacuatedHalls(h.evacuated.Names())
	}
}

// readOperatorKeys lists the operator's keys again, so that a new owner does not start with values that
// this host may have read long ago.
func (h *Host) readOperatorKeys(ctx context.Context) error {
	_, err := h.operatorKeys.list(ctx)
	return err
}
