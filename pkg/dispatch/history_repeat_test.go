package dispatch

import "testing"

// historyKinds are the kinds of random histories, by name.
var historyKinds = map[string]func(*world){
	"plain":                        func(*world) {},
	"relays":                       func(w *world) { w.relayed = true },
	"crashing tasks":               crashingWorld,
	"crashing tasks, relays":       func(w *world) { w.crashing, w.relayed = true, true },
	"restarts":                     func(w *world) { w.reborn = true },
	"restarts, relays":             func(w *world) { w.reborn, w.relayed = true, true },
	"restarts, short downtime":     func(w *world) { w.reborn, w.brief = true, true },
	"restarts, crashing tasks":     rebornAnd(crashingWorld),
	"quotas":                       withQuotas,
	"quotas, relays":               func(w *world) { withQuotas(w); w.relayed = true },
	"quotas, restarts":             rebornAnd(withQuotas),
	"announced to previous owners": func(w *world) { w.tellsFormer = true },
	"announced to previous owners, slow loading":   func(w *world) { w.tellsFormer, w.slow = true, true },
	"announced to previous owners, quotas":         func(w *world) { withQuotas(w); w.tellsFormer = true },
	"early takeover":                               soon(func(*world) {}),
	"early takeover, relays":                       soon(func(w *world) { w.relayed = true }),
	"early takeover, restarts":                     soon(func(w *world) { w.reborn = true }),
	"early takeover, quotas":                       soon(withQuotas),
	"early takeover, quotas, relays":               soon(func(w *world) { withQuotas(w); w.relayed = true }),
	"early takeover, quotas, restarts":             soon(rebornAnd(withQuotas)),
	"early takeover, crashing tasks":               soon(crashingWorld),
	"informed previous owner":                      told(func(*world) {}),
	"informed previous owner, relays":              told(func(w *world) { w.relayed = true }),
	"informed previous owner, restarts":            told(func(w *world) { w.reborn = true }),
	"informed previous owner, quotas":              told(withQuotas),
	"informed previous owner, conditional accepts": told(func(w *world) { withQuotas(w); w.conditional = true }),
	"informed previous owner, crashing tasks":      told(crashingWorld),
	"informed previous owner, early takeover":      told(func(w *world) { w.soon = true }),
}

// Guards against histories that differ between two simulations of one seed: a regression seed would then
// prove nothing.
func TestHistoriesOfOneSeedAreTheSame(t *testing.T) {
	const seeds = 20
	for name, change := range historyKinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				first, second := logOf(t, seed, change), logOf(t, seed, change)
				if i := firstDifference(first, second); i >= 0 {
					t.Fatalf("seed %d differs from line %d on:\n%s\n%s", seed, i, lineOf(first, i), lineOf(second, i))
				}
			}
		})
	}
}

// historyLog simulates a history and returns its log.
func logOf(t *testing.T, seed uint64, change func(*world)) []string {
	w := newWorld(t, seed)
	change(w)
	w.play()
	return w.log
}

// firstDifference returns the index of the first line that differs, or -1 if none does.
func firstDifference(a, b []string) int {
	for i := range max(len(a), len(b)) {
		if lineOf(a, i) != lineOf(b, i) {
			return i
		}
	}
	return -1
}

// logLine returns a line of a log, or an empty string past its end.
func lineOf(log []string, i int) string {
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
func rebornAnd(change func(*world)) func(*world) {
	return func(w *world) {
		w.reborn = true
		change(w)
	}
}
