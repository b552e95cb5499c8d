package worth

import (
	"cmp"

	"foldarch.dev/foldarch/pkg/clock"
)

// Rank is a step's place in the order in which waiting steps are considered.
type Rank struct {
	ValueClass  ValueClass
	Priority    int // priority of its queue; a lower number goes first
	LatestStart clock.Time
	Seq         int64 // creation number, which decides between steps that are equal otherwise
}

// Compare returns less than 0 when the step of rank r goes before that of o: ordered by value class, then
// by priority, then by the latest moment at which the step may start.
func (r Rank) Compare(o Rank) int {
	return cmp.Or(cmp.Compare(r.ValueClass, o.ValueClass), cmp.Compare(r.Priority, o.Priority),
		cmp.Compare(r.LatestStart, o.LatestStart), cmp.Compare(r.Seq, o.Seq))
}
