package pace

// Change is how the fillers on a worker change their paces.
type Change int

// The changes.
const (
	Keep     Change = iota
	Down            // slower at once
	NoFaster        // no faster than one that has just started
	Up              // faster by a step
	ToFull          // nothing is served there
)

// Of is the next pace of a filler with a present one, in percent.
func (c Change) Of(present int) int {
	switch c {
	case Down:
		return int(float64(present) * downTo)
	case NoFaster:
		return min(present, start)
	case Up:
		return min(present+upBy, Full)
	case ToFull:
		return Full
	}
	return present
}

// First is the pace of a filler that was given none yet, in percent: it goes at full pace, or begins slowly when it has to be slowed down.
func (c Change) First() int {
	if next := c.Of(Full); next < Full {
		return min(next, start)
	}
	return Full
}
