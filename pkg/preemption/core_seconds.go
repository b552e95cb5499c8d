package preemption

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
)

// acceleratorCores is how many processors an accelerator counts for in work, as the platform
// prices it.
const acceleratorCores = 8

// CoreSeconds is what resources do in a time, in core-seconds.
func CoreSeconds(need cell.Resources, d time.Duration) float64 {
	cores := float64(need.CPUMillis)/1000 + acceleratorCores*float64(need.Accelerators)
	return cores * d.Seconds()
}
