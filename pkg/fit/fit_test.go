package fit

import (
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
	. "github.com/onsi/gomega"
)

// Guards against more tasks than the scarcest resource allows, also when free resources are negative.
func TestScarcestResourceLimitsTheTasks(t *testing.T) {
	free := cell.Resources{CPUMillis: 7000, MemoryMB: 100, Accelerators: 2}
	for name, c := range map[string]struct {
		need cell.Resources
		want int
	}{
		"processors":   {cell.Resources{CPUMillis: 2000, MemoryMB: 1}, 3},
		"memory":       {cell.Resources{CPUMillis: 1000, MemoryMB: 50}, 2},
		"accelerators": {cell.Resources{CPUMillis: 1000, Accelerators: 2}, 1},
		"nothing":      {cell.Resources{}, 9},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(MaxTasks(c.need, free, 9)).To(Equal(c.want))
			g.Expect(MaxTasks(c.need, free, 1)).To(Equal(1))
		})
	}
	NewWithT(t).Expect(MaxTasks(cell.Resources{CPUMillis: 1}, cell.Resources{CPUMillis: -5}, 9)).To(BeZero())
}

// Guards against starting a task where it failed, on a worker with recent failures, or far from its data
// for the sake of a better fit.
func TestCostOrdersWorkers(t *testing.T) {
	g := NewWithT(t)
	capacity := cell.Resources{CPUMillis: 16_000, MemoryMB: 1000, Accelerators: 4}
	need := cell.Resources{CPUMillis: 1000, MemoryMB: 10}
	full := cell.Resources{CPUMillis: 1000, MemoryMB: 10}
	ordered := []Candidate{
		{Free: full, Capacity: capacity},
		{Free: cell.Resources{CPUMillis: 1000, MemoryMB: 1000}, Capacity: capacity},
		{Free: capacity, Capacity: capacity},
		{Free: full, Capacity: capacity, FarFromData: true},
		{Free: full, Capacity: capacity, RecentFailures: true},
		{Free: capacity, Capacity: capacity, RecentFailures: true, FarFromData: true},
		{Free: full, Capacity: capacity, FailedHere: true},
	}
	for n := 1; n < len(ordered); n++ {
		g.Expect(ordered[n-1].Cost(need)).To(BeNumerically("<", ordered[n].Cost(need)), "worker %d", n)
	}
}
