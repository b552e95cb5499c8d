package settings

import (
	"fmt"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

// DocumentChange describes a file that differs between two sets of documents.
type DocumentChange struct {
	File       string
	ChangeType string // "added", "removed" or "changed"
}

// WorkloadChange describes a workload whose effective settings differ between two trees.
type WorkloadChange struct {
	Workload   string
	ChangeType string   // "added", "removed" or "changed"
	Details    []string // only if changed: "key: old -> new" for each key
}

// Difference is the set of changes between two sets of settings.
type Difference struct {
	Documents []DocumentChange
	Workloads []WorkloadChange
}

// CompareDocuments lists the files that differ, ordered by name.
func CompareDocuments(old, new map[string]string) []DocumentChange {
	var changes []DocumentChange
	for _, file := range unionOfKeys(old, new) {
		before, had := old[file]
		after, has := new[file]
		if kind := changeType(had, has, before == after); kind != "" {
			changes = append(changes, DocumentChange{file, kind})
		}
	}
	return changes
}

// CompareTrees lists the workloads that were added, removed or changed, ordered by name.
func CompareTrees(old, new *Tree) []WorkloadChange {
	var changes []WorkloadChange
	for _, name := range unionOfKeys(old.Workloads, new.Workloads) {
		before, had := old.Workloads[name]
		after, has := new.Workloads[name]
		details := compareWorkloads(before, after)
		kind := changeType(had, has, len(details) == 0)
		if kind == "" {
			continue
		}
		if kind != "changed" {
			details = nil
		}
		changes = append(changes, WorkloadChange{name, kind, details})
	}
	return changes
}

// CheckLayout returns an error if the set of shards differs between two layouts, since that would move
// keys to another home shard. The first layout of a cell is always accepted.
func CheckLayout(old, new cell.Layout) error {
	if slices.Equal(old.Shards(), new.Shards()) || len(old.Halls) == 0 {
		return nil
	}
	return fmt.Errorf("%s: hall: halls and their shards determine the home shard of each key and can't be changed in a running cell", rootFile)
}

// changeType returns "added", "removed" or "changed", or "" if nothing changed.
func changeType(had, has, same bool) string {
	switch {
	case !had && has:
		return "added"
	case had && !has:
		return "removed"
	case !same:
		return "changed"
	}
	return ""
}

func unionOfKeys[V any](a, b map[string]V) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]V{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// Values lists the effective value of each key of a workload, in a fixed order.
func (w Workload) Values() []KeyValue {
	return []KeyValue{
		{"kind", string(w.Kind)}, {"team", w.Team},
		{"instances", fmt.Sprint(w.Instances)}, {"slots", fmt.Sprint(w.Slots)}, {"tasks", fmt.Sprint(w.Tasks)},
		{"rules.class", string(w.Class)}, {"rules.policy", string(w.Policy)},
		{"rules.repeatable", fmt.Sprint(w.Repeatable)}, {"rules.window", w.Window.String()},
		{"rules.time_limit", w.TimeLimit.String()}, {"rules.drain", w.Drain.String()},
		{"rules.retries", fmt.Sprint(w.Retries)}, {"rules.max_body_kb", fmt.Sprint(w.MaxBody >> 10)},
		{"rules.queue", fmt.Sprint(w.Queue)}, {"rules.place", w.Place.String()},
		{"rules.resources", w.Resources.String()},
	}
}

// KeyValue is a key of a workload and its effective value.
type KeyValue struct {
	Key   string
	Value string
}

func compareWorkloads(before, after Workload) []string {
	var details []string
	newValues := after.Values()
	for i, old := range before.Values() {
		if old.Value != newValues[i].Value {
			details = append(details, fmt.Sprintf("%s: %s -> %s", old.Key, old.Value, newValues[i].Value))
		}
	}
	return details
}
