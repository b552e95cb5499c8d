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

// settingsCheckInterval is how often the settings file is checked for changes, in addition to SIGHUP.
const settingsCheckInterval = 2 * time.Second

// watchSettings applies changes of the settings file without a restart. It runs until ctx ends.
func (h *Host) watchSettings(ctx context.Context, path string) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	platform.WatchSettings(ctx, path, settingsCheckInterval, hangups, h.applySettings, func(err error) {
		h.log.WithField("error", err).Error("settings_refused")
	})
}

// applySettings puts settings in force. The addresses on which the process listens change only after a
// restart.
func (h *Host) applySettings(s platform.Settings) {
	old := h.cfg.Swap(&s)
	h.store.SetAddress(s.Store.Address)
	if s.AdviceAddress != old.AdviceAddress {
		h.setAdvice(s.AdviceAddress)
	}
	debug.SetMemoryLimit(h.memoryLimit(s))
	h.log.WithFields(logrus.Fields{
		"restart_needed": s.CallerAddress != old.CallerAddress || s.ReadyAddress != old.ReadyAddress || s.PeerAddress != old.PeerAddress || s.Name != old.Name,
	}).Info("settings_reloaded")
	h.logWarnings(s)
}

// logWarnings logs which keys are missing in the settings, and what is used instead.
func (h *Host) logWarnings(s platform.Settings) {
	for _, warning := range s.Warnings {
		h.log.WithField("warning", warning).Warn("settings_incomplete")
	}
}

// memoryLimit returns Go's soft memory limit. It leaves room for memory that the runtime does not count.
func (h *Host) memoryLimit(s platform.Settings) int64 {
	counted := s.MemoryBytes - uncountedBytes - h.clients.UnreadBytes()
	return max(min(int64(float64(s.MemoryBytes)*memoryLimitShare), counted), s.MemoryBytes/2)
}
