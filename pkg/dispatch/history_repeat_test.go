package dispatch

import "testing"

// historyKinds are the kinds of random histories, by name.
var historyKinds = map[string]func(*world){
	"plain":                        func(*world) {},
	"relays":                       func(w *world) { w.slowRelays = true },
	"crashing tasks":               withCrashingTasks,
	"crashing tasks, relays":       func(w *world) { w.tasksCrash, w.slowRelays = true, true },
	"restarts":                     func(w *world) { w.workersRestart = true },
	"restarts, relays":             func(w *world) { w.workersRestart, w.slowRelays = true, true },
	"restarts, short downtime":     func(w *world) { w.workersRestart, w.shortDowntime = true, true },
	"restarts, crashing tasks":     withRestarts(withCrashingTasks),
	"quotas":                       withQuotas,
	"quotas, relays":               func(w *world) { withQuotas(w); w.slowRelays = true },
	"quotas, restarts":             withRestarts(withQuotas),
	"announced to previous owners": func(w *world) { w.announceToPrevious = true },
	"announced to previous owners, slow loading":   func(w *world) { w.announceToPrevious, w.slowLoading = true, true },
	"announced to previous owners, quotas":         func(w *world) { withQuotas(w); w.announceToPrevious = true },
	"early takeover":                               earlyTakeover(func(*world) {}),
	"early takeover, relays":                       earlyTakeover(func(w *world) { w.slowRelays = true }),
	"early takeover, restarts":                     earlyTakeover(func(w *world) { w.workersRestart = true }),
	"early takeover, quotas":                       earlyTakeover(withQuotas),
	"early takeover, quotas, relays":               earlyTakeover(func(w *world) { withQuotas(w); w.slowRelays = true }),
	"early takeover, quotas, restarts":             earlyTakeover(withRestarts(withQuotas)),
	"early takeover, crashing tasks":               earlyTakeover(withCrashingTasks),
	"informed previous owner":                      informedOwner(func(*world) {}),
	"informed previous owner, relays":              informedOwner(func(w *world) { w.slowRelays = true }),
	"informed previous owner, restarts":            informedOwner(func(w *world) { w.workersRestart = true }),
	"informed previous owner, quotas":              informedOwner(withQuotas),
	"informed previous owner, conditional accepts": informedOwner(func(w *world) { withQuotas(w); w.conditionalAccept = true }),
	"informed previous owner, crashing tasks":      informedOwner(withCrashingTasks),
	"informed previous owner, early takeover":      informedOwner(func(w *world) { w.earlyTakeover = true }),
}

// Guards against histories that differ between two simulations of one seed: a regression seed would then
// prove nothing.
func TestHistoriesAreDeterministic(t *testing.T) {
	const seeds = 20
	for name, change := range historyKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				first, second := historyLog(t, seed, change), historyLog(t, seed, change)
				if i := firstDifference(first, second); i >= 0 {
					t.Fatalf("seed %d differs from line %d on:\n%s\n%s", seed, i, logLine(first, i), logLine(second, i))
				}
			}
		})
	}
}

// historyLog simulates a history and returns its log.
func historyLog(t *testing.T, seed uint64, change func(*world)) []string {
	w := newWorld(t, seed)
	change(w)
	w.simulate()
	return w.log
}

// firstDifference returns the index of the first line that differs, or -1 if none does.
func firstDifference(a, b []string) int {
	for i := range max(len(a), len(b)) {
		if logLine(a, i) != logLine(b, i) {
			return i
		}
	}
	return -1
}

// logLine returns a line of a log, or an empty string past its end.
func logLine(log []string, i int) string {
	if i >= len(log) {
		return ""
	}
	return log[i]
}

// withQuotas gives jobs customers, whose quotas bind.
func withQuotas(w *world) {
	w.quotas = newModelQuotas()
}

// withRestarts has workers start again under the names that they had, beside what else a kind of history
// has.
func withRestarts(change func(*world)) func(*world) {
	return func(w *world) {
		w.workersRestart = true
		change(w)
	}
}
