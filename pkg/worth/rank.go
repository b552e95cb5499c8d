package worth

import (
	"cmp"

	"foldarch.dev/foldarch/pkg/clock"
)

// Place is what decides when a step has its turn.
type Place struct {
	Standing Standing
	Priority int // of its queue; a lower one goes first
	Latest   clock.Time
	Number   int64 // rises with each step that is made; it decides among steps that are alike
}

// Compare is below 0 when the step of a place goes before that of another: what is still worth most first, then by priority, then by
// the latest moment at which the step may begin.
func (p Place) Compare(o Place) int {
	return cmp.Or(cmp.Compare(p.Standing, o.Standing), cmp.Compare(p.Priority, o.Priority),
		cmp.Compare(p.Latest, o.Latest), cmp.Compare(p.Number, o.Number))
}
