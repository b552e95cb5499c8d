package preemption

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
)

// acceleratorCores is how many cores an accelerator counts for, as in the platform's prices.
const acceleratorCores = 8

// CoreSeconds returns the work that resources do in a time, in core-seconds.
func CoreSeconds(need cell.Resources, d time.Duration) float64 {
	cores := float64(need.CPUMillis)/1000 + acceleratorCores*float64(need.Accelerators)
	return cores * d.Seconds()
}
