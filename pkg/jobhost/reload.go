package jobhost

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"foldarch.dev/foldarch/platform"
	"github.com/sirupsen/logrus"
)

// settingsEvery is how often the settings file is looked at, beside signals.
const settingsEvery = 2 * time.Second

// watchSettings is the duty that puts changed settings in force without a restart.
func (h *Host) watchSettings(ctx context.Context, path string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	platform.WatchSettings(ctx, path, settingsEvery, hangups, h.applySettings, func(err error) {
		h.log.WithField("error", err).Error("settings_refused")
	})
}

// applySettings puts settings in force. The addresses on which the process listens stay as
// they are until it starts again.
func (h *Host) applySettings(s platform.Settings) {
	old := h.cfg.Swap(&s)
	h.store.SetAddress(s.Store.Address)
	if s.Advice != old.Advice {
		h.setAdvice(s.Advice)
	}
	debug.SetMemoryLimit(memoryLimit(s))
	h.log.WithFields(logrus.Fields{
		"restart_needed": s.Callers != old.Callers || s.Ready != old.Ready || s.Peers != old.Peers || s.Name != old.Name,
	}).Info("settings_reloaded")
	h.logWarnings(s)
}

// logWarnings tells which keys the settings do not have, and what is taken in their place.
func (h *Host) logWarnings(s platform.Settings) {
	for _, warning := range s.Warnings {
		h.log.WithField("warning", warning).Warn("settings_incomplete")
	}
}

func memoryLimit(s platform.Settings) int64 {
	return int64(float64(s.MemoryBytes) * memoryShare)
}
