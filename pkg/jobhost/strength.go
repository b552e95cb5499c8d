package jobhost

import (
	"time"

	"foldarch.dev/foldarch/platform"
)

// A host of this size can own a pool of the sizes that are planned for (docs/CAPACITY.md).
// Smaller ones leave it to others, if there are any.
const (
	ownerCores    = 0.4
	ownerLinkMbps = 100.0
	ownerMemory   = 256 << 20
	// fullStrength is the strength of a host that is large enough.
	fullStrength = 100
	// weakest waits for weakDelay before it takes over.
	weakDelay = 1500 * time.Millisecond
)

// strengthOf tells how well a host of a size can own a pool, in percent of what is enough.
// Sizes that are not told count as enough.
func strengthOf(s platform.Settings) int {
	share := 1.0
	if s.Cores > 0 {
		share = min(share, s.Cores/ownerCores)
	}
	if s.LinkMbps > 0 {
		share = min(share, s.LinkMbps/ownerLinkMbps)
	}
	share = min(share, float64(s.MemoryBytes)/ownerMemory)
	return int(share * fullStrength)
}

// takeoverDelay is how long a host of a strength leaves a takeover to stronger ones.
func takeoverDelay(strength int) time.Duration {
	return weakDelay * time.Duration(fullStrength-strength) / fullStrength
}
