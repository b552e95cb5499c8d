package settings

import (
	"fmt"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

const maxRetries = 5

// checkNarrowing adds a fault for each hall that the Allow list of a clause admits although a final clause
// of a higher level excludes it.
func (b *builder) checkNarrowing(w Workload, c Clause) {
	for _, upper := range w.Place.Clauses {
		if !upper.Final {
			continue
		}
		for _, h := range b.tree.Layout.Halls {
			site := Site{Region: h.Region, Hall: h.Name}
			allowed := len(c.Allow) > 0 && c.rejection(site, true) == ""
			if reason := upper.rejection(site, true); allowed && reason != "" {
				b.addFaultOnce(c.Level, "rules.place.allow",
					fmt.Sprintf("hall %s widens a final place rule: %s", h.Name, reason))
			}
		}
	}
}

// workloadCheck is a condition that each workload must satisfy.
type workloadCheck struct {
	key  string
	ok   func(Workload) bool
	text string
}

var workloadChecks = []workloadCheck{
	{"kind", func(w Workload) bool { return w.Kind == KindService || w.Kind == KindBatch }, `must be "service" or "batch"`},
	{"team", func(w Workload) bool { return w.Team != "" }, "is required"},
	{"instances", func(w Workload) bool { return (w.Kind == KindService) == (w.Instances > 0) }, "a service needs one or more, a batch workload none"},
	{"slots", func(w Workload) bool { return w.Slots > 0 }, "must be above zero"},
	{"tasks", func(w Workload) bool { return w.Tasks > 0 && (w.Kind == KindBatch || w.Tasks == 1) }, "must be above zero, and is for batch workloads only"},
	{"rules.class", func(w Workload) bool { return slices.Contains(classes, w.Class) }, `must be "urgent", "service", "batch" or "best-effort"`},
	{"rules.policy", func(w Workload) bool { return w.Policy == PolicyPack || w.Policy == PolicySpread }, `must be "pack" or "spread"`},
	{"rules.retries", func(w Workload) bool { return w.Retries >= 0 && w.Retries <= maxRetries }, "must be from 0 to 5"},
	{"rules.retries", func(w Workload) bool { return w.Repeatable || w.Retries == 0 }, "a workload that is not repeatable has no retries"},
	{"rules.queue", func(w Workload) bool { return w.Queue > 0 }, "must be above zero"},
	{"rules.max_body_kb", func(w Workload) bool { return w.MaxBody > 0 }, "must be above zero"},
	{"rules.resources", func(w Workload) bool { return w.Resources.CPUMillis > 0 && w.Resources.MemoryMB > 0 }, "cpu_millis and memory_mb must be above zero"},
}

func (b *builder) checkWorkload(w Workload) {
	for _, c := range workloadChecks {
		if !c.ok(w) {
			b.addFaultOnce(sourceFile(w, c.key), c.key, c.text)
		}
	}
	if _, ok := b.root.Teams[w.Team]; w.Team != "" && !ok {
		b.addFault(w.File, "team", "the cell has no team "+w.Team)
	}
	b.checkPlace(w)
	if b.tree.LargestWorker != (cell.Resources{}) && !w.Resources.Fits(b.tree.LargestWorker) {
		b.addFault(sourceFile(w, "rules.resources"), "rules.resources",
			fmt.Sprintf("%s: %s is larger than the largest worker (%s)", w.Name, w.Resources, b.tree.LargestWorker))
	}
}

// sourceFile returns the file that sets the value of a key, or the workload's own file for a default.
func sourceFile(w Workload, key string) string {
	if level, ok := w.SourceFiles[key]; ok {
		return level
	}
	return w.File
}

// checkPlace adds a fault if no hall satisfies the place rule of a workload.
func (b *builder) checkPlace(w Workload) {
	for _, h := range b.tree.Layout.Halls {
		if ok, _ := w.Place.AllowsHall(h); ok {
			return
		}
	}
	if len(b.tree.Layout.Halls) > 0 {
		b.addFault(sourceFile(w, "rules.place"), "rules.place", w.Name+": no hall satisfies "+w.Place.String())
	}
}

// checkQuotas adds a fault for each team whose services together need more resources than its quota. Batch
// workloads are not counted, since they don't run all the time.
func (b *builder) checkQuotas() {
	used := map[string]cell.Resources{}
	for _, w := range b.tree.Sorted() {
		for range w.Instances {
			used[w.Team] = used[w.Team].Add(w.Resources)
		}
	}
	for _, team := range slices.Sorted(maps.Keys(used)) {
		quota, limited := b.tree.Quotas[team]
		if limited && !used[team].Fits(quota) {
			b.addFault(rootFile, "team."+team+".quota",
				fmt.Sprintf("the services of team %s need %s, over its quota %s", team, used[team], quota))
		}
	}
}
