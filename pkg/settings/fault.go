package settings

import (
	"cmp"
	"fmt"
	"slices"
)

// Fault is one error in the declarations.
type Fault struct {
	File string
	Line int // from 1; 0 if the fault belongs to no line
	Key  string
	Text string
}

// String returns the form "file:line: key: text".
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

func sortFaults(faults []Fault) {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
}
