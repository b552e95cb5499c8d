package pace

// Change is how the fillers on a worker change their paces.
type Change int

// The changes.
const (
	Keep         Change = iota
	SlowDown            // slower at once
	CapAtInitial        // no faster than one that has just started
	SpeedUp             // faster by a step
	ResetToFull         // nothing is served there
)

// Apply is the next pace of a filler with a present one, in percent.
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

// Initial is the pace of a filler that was given none yet, in percent: it goes at full pace, or begins slowly when it has to be slowed down.
func (c Change) Initial() int {
	if next := c.Apply(Full); next < Full {
		return min(next, initialPace)
	}
	return Full
}
