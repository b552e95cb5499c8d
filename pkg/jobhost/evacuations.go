package jobhost

import (
	"context"
	"strings"

	"foldarch.dev/foldarch/platform"
	"github.com/sirupsen/logrus"
)

// takeOperatorList takes in all keys of the operator as they stood at a revision.
func (h *Host) takeOperatorList(items []platform.Item, at int64) {
	evacuated := map[string]int64{}
	for _, i := range items {
		if hall, ok := platform.EvacuatedHall(i); ok {
			evacuated[hall] = i.Revision
			continue
		}
		h.takeOperatorItem(i)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated.List(evacuated, at) {
		h.evacuationsChanged()
	}
}

// takeEvacuation takes in that an evacuation was asked for or withdrawn.
func (h *Host) takeEvacuation(hall string, i platform.Item) {
	h.mu.Lock()
	defer h.mu.Unlock()
	take := h.evacuated.Put
	if i.Gone {
		take = h.evacuated.Remove
	}
	if take(hall, i.Revision) {
		h.evacuationsChanged()
	}
}

// evacuationsChanged tells the owner, if it is here, which halls are being evacuated. The caller holds h.mu.
func (h *Host) evacuationsChanged() {
	halls := h.evacuated.Names()
	h.log.WithFields(logrus.Fields{"halls": strings.Join(halls, ","), "keys_age_ms": h.operatorKeys.Age().Milliseconds()}).Info("evacuations")
	if o := h.owner.Load(); o != nil {
		o.SetEvacuated(halls)
	}
}

// tellEvacuations tells a new owner which halls are being evacuated.
func (h *Host) tellEvacuations() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o := h.owner.Load(); o != nil {
		o.SetEvacuated(h.evacuated.Names())
	}
}

// readOperatorKeys reads what the operator has written once more, so that a new owner doesn't start with what this host read long ago.
func (h *Host) readOperatorKeys(ctx context.Context) error {
	_, err := h.operatorKeys.list(ctx)
	return err
}
