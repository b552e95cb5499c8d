package jobhost

import (
	"foldarch.dev/foldarch/pkg/poolowner"
	"foldarch.dev/foldarch/platform"
)

// applyWave applies that the operator has written or withdrawn a wave. Other items are ignored.
func (h *Host) applyWave(i platform.Item) {
	if number, ok := platform.WaveNumber(i.Key); ok && i.Removed {
		h.withdrawWave(number, i.Revision)
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
	defer h.mu.Unlock()
	if o := h.owner.Load(); h.waves.Put(w) && o != nil {
		o.PutWave(w)
	}
}

func (h *Host) withdrawWave(number, revision int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o := h.owner.Load(); h.waves.Withdraw(number, revision) && o != nil {
		o.RemoveWave(number)
	}
}

// withdrawOtherWaves withdraws the waves that a complete list of the operator's keys as of a revision lacks.
func (h *Host) withdrawOtherWaves(listed map[int64]bool, at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := h.owner.Load()
	for _, number := range h.waves.WithdrawOthers(listed, at) {
		if o != nil {
			o.RemoveWave(number)
		}
	}
}

// sendWaves passes the requested waves to a new owner.
func (h *Host) sendWaves(o *poolowner.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.waves.Waves() {
		o.PutWave(w)
	}
}
