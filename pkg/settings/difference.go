package settings

import (
	"fmt"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

// DocumentChange is one file that differs between two sets of documents.
type DocumentChange struct {
	File string
	What string // "added", "removed" or "changed"
}

// WorkloadChange is one workload that a change reaches.
type WorkloadChange struct {
	Workload string
	What     string   // "added", "removed" or "changed"
	Details  []string // for a changed one, "key: old -> new"
}

// Difference is what lies between two sets of settings.
type Difference struct {
	Documents []DocumentChange
	Workloads []WorkloadChange
}

// CompareDocuments lists the files that differ, by name.
func CompareDocuments(old, new map[string]string) []DocumentChange {
	var changes []DocumentChange
	for _, file := range unionOfKeys(old, new) {
		before, had := old[file]
		after, has := new[file]
		if what := whatHappened(had, has, before == after); what != "" {
			changes = append(changes, DocumentChange{file, what})
		}
	}
	return changes
}

// CompareTrees lists the workloads that a change reaches, by name.
func CompareTrees(old, new *Tree) []WorkloadChange {
	var changes []WorkloadChange
	for _, name := range unionOfKeys(old.Workloads, new.Workloads) {
		before, had := old.Workloads[name]
		after, has := new.Workloads[name]
		details := compareWorkloads(before, after)
		what := whatHappened(had, has, len(details) == 0)
		if what == "" {
			continue
		}
		if what != "changed" {
			details = nil
		}
		changes = append(changes, WorkloadChange{name, what, details})
	}
	return changes
}

// CheckLayout refuses a change of the cell's shape that would move the home of keys.
func CheckLayout(old, new cell.Layout) error {
	if slices.Equal(old.Shards(), new.Shards()) || len(old.Halls) == 0 {
		return nil
	}
	return fmt.Errorf("%s: hall: the halls and their shards decide where keys are at home and can't be changed in a cell that runs", rootFile)
}

func whatHappened(had, has, same bool) string {
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

// Values lists the effective value of every key of a workload, in a fixed order.
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

// KeyValue is one key of a workload and its effective value.
type KeyValue struct {
	Key   string
	Value string
}

func compareWorkloads(before, after Workload) []string {
	var details []string
	new := after.Values()
	for i, old := range before.Values() {
		if old.Value != new[i].Value {
			details = append(details, fmt.Sprintf("%s: %s -> %s", old.Key, old.Value, new[i].Value))
		}
	}
	return details
}
