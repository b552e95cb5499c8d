package takeover

import (
	"maps"
	"slices"
)

// RecordedWorkers are the workers of a job as its owner names them in the store. A start goes only to one that the store is known to have. The zero value
// has none.
type RecordedWorkers struct {
	stored map[string]bool // false while the store is not known to have the name
}

// Add names a worker. It says whether the store has to be told.
func (n *RecordedWorkers) Add(worker string) bool {
	if _, named := n.stored[worker]; named {
		return false
	}
	if n.stored == nil {
		n.stored = map[string]bool{}
	}
	n.stored[worker] = false
	return true
}

// Stored takes in that the store has names.
func (n *RecordedWorkers) MarkStored(workers []string) {
	if n.stored == nil {
		n.stored = make(map[string]bool, len(workers))
	}
	for _, w := range workers {
		n.stored[w] = true
	}
}

// IsStored says that the store has a worker's name.
func (n *RecordedWorkers) IsStored(worker string) bool {
	return n.stored[worker]
}

// Retain returns the workers that a condition keeps, sorted, whether the store has them or not. The others are forgotten.
func (n *RecordedWorkers) Retain(keep func(worker string) bool) []string {
	maps.DeleteFunc(n.stored, func(w string, _ bool) bool { return !keep(w) })
	return slices.Sorted(maps.Keys(n.stored))
}

// StoredWorkers returns the workers that the store has, sorted.
func (n *RecordedWorkers) StoredWorkers() []string {
	var out []string
	for _, w := range slices.Sorted(maps.Keys(n.stored)) {
		if n.stored[w] {
			out = append(out, w)
		}
	}
	return out
}
