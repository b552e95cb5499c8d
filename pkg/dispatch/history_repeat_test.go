package dispatch

import "testing"

// historyKinds are the kinds of random histories.
var historyKinds = map[string]func(*world){
	"on their own":                      func(*world) {},
	"relays":                            func(w *world) { w.relayed = true },
	"crashing tasks":                    crashingWorld,
	"crashing tasks, relays":            func(w *world) { w.crashing, w.relayed = true, true },
	"reborn":                            func(w *world) { w.reborn = true },
	"reborn, relays":                    func(w *world) { w.reborn, w.relayed = true, true },
	"reborn, brief":                     func(w *world) { w.reborn, w.brief = true, true },
	"reborn, crashing tasks":            rebornAnd(crashingWorld),
	"quotas":                            withQuotas,
	"quotas, relays":                    func(w *world) { withQuotas(w); w.relayed = true },
	"quotas, reborn":                    rebornAnd(withQuotas),
	"former owners are told":            func(w *world) { w.tellsFormer = true },
	"former owners are told, slow":      func(w *world) { w.tellsFormer, w.slow = true, true },
	"former owners are told, quotas":    func(w *world) { withQuotas(w); w.tellsFormer = true },
	"soon":                              soon(func(*world) {}),
	"soon, relays":                      soon(func(w *world) { w.relayed = true }),
	"soon, reborn":                      soon(func(w *world) { w.reborn = true }),
	"soon, quotas":                      soon(withQuotas),
	"soon, quotas, relays":              soon(func(w *world) { withQuotas(w); w.relayed = true }),
	"soon, quotas, reborn":              soon(rebornAnd(withQuotas)),
	"soon, crashing tasks":              soon(crashingWorld),
	"former owner is told":              told(func(*world) {}),
	"former owner is told, relays":      told(func(w *world) { w.relayed = true }),
	"former owner is told, reborn":      told(func(w *world) { w.reborn = true }),
	"former owner is told, quotas":      told(withQuotas),
	"former owner is told, conditional": told(func(w *world) { withQuotas(w); w.conditional = true }),
	"former owner is told, crashing":    told(crashingWorld),
	"former owner is told, soon":        told(func(w *world) { w.soon = true }),
}

// Guards against histories that differ between two plays of one seed, of which no kept seed proves anything.
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

// logOf plays a history and returns its log.
func logOf(t *testing.T, seed uint64, change func(*world)) []string {
	w := newWorld(t, seed)
	change(w)
	w.play()
	return w.log
}

// firstDifference is the index of the first line that differs, -1 if none does.
func firstDifference(a, b []string) int {
	for i := range max(len(a), len(b)) {
		if lineOf(a, i) != lineOf(b, i) {
			return i
		}
	}
	return -1
}

// lineOf is a line of a log, empty past its end.
func lineOf(log []string, i int) string {
	if i >= len(log) {
		return ""
	}
	return log[i]
}

// withQuotas gives customers quotas that bind.
func withQuotas(w *world) {
	w.quotas = newModelQuotas()
}

// rebornAnd has workers start again under the ids that they had, beside what else a kind of history is about.
func rebornAnd(change func(*world)) func(*world) {
	return func(w *world) {
		w.reborn = true
		change(w)
	}
}
