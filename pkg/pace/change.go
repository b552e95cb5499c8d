package pace

// Change is a change of the paces of the fillers on a worker.
type Change int

// The kinds of changes.
const (
	Keep         Change = iota
	SlowDown            // slower at once
	CapAtInitial        // no faster than a filler that has just started
	SpeedUp             // faster by a step
	ResetToFull         // no task on the worker serves
)

// Apply returns the next pace of a filler from its present pace, both in percent.
func (c Change) Apply(present int) int {
	switch c {
	case SlowDown:
		return int(float64(present) * slowDownFactor)
	case CapAtInitial:
		return min(present, initialPace)
	case SpeedUp:
		return min(present+speedUpStep, Full)
	case ResetToFull:
		return Full
	}
	return present
}

// Initial returns the pace, in percent, of a filler that has none yet: the full pace, or a low one when
// the change would slow it down.
func (c Change) Initial() int {
	if next := c.Apply(Full); next < Full {
		return min(next, initialPace)
	}
	return Full
}
