package worth

import (
	"cmp"

	"foldarch.dev/foldarch/pkg/clock"
)

// Rank is what decides when a step has its turn.
type Rank struct {
	ValueClass  ValueClass
	Priority    int // of its queue; a lower one goes first
	LatestStart clock.Time
	Seq         int64 // rises with each step that is made; it decides among steps that are alike
}

// Compare is below 0 when the step of a place goes before that of another: what is still worth most first, then by priority, then by
// the latest moment at which the step may begin.
func (p Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(p.ValueClass, o.ValueClass), cmp.Compare(p.Priority, o.Priority),
		cmp.Compare(p.LatestStart, o.LatestStart), cmp.Compare(p.Seq, o.Seq))
}
