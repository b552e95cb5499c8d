package jobhost

import (
	"time"

	"foldarch.dev/foldarch/platform"
)

// Hosts of at least these sizes can own a pool of any planned size (docs/CAPACITY.md). Smaller hosts
// leave that to larger ones, if there are any.
const (
	sufficientCores       = 0.4
	sufficientLinkMbps    = 100.0
	sufficientMemoryBytes = 256 << 20
	// fullStrength is the strength of a host that is large enough to own a pool.
	fullStrength = 100
	// maxTakeoverDelay is how long a host of strength 0 waits before it takes over.
	maxTakeoverDelay = 1500 * time.Millisecond
)

// hostStrength returns how well a host of a given size can own a pool, in percent of a sufficient size.
// Sizes that are missing in the settings count as sufficient.
func hostStrength(s platform.Settings) int {
	share := 1.0
	if s.Cores > 0 {
		share = min(share, s.Cores/sufficientCores)
	}
	if s.LinkMbps > 0 {
		share = min(share, s.LinkMbps/sufficientLinkMbps)
	}
	share = min(share, float64(s.MemoryBytes)/sufficientMemoryBytes)
	return int(share * fullStrength)
}

// takeoverDelay returns how long a host of the given strength waits with a takeover, to leave it to
// stronger hosts.
func takeoverDelay(strength int) time.Duration {
	return maxTakeoverDelay * time.Duration(fullStrength-strength) / fullStrength
}
