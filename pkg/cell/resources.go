package cell

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// MillisPerCPU is the number of CPU millis in one processor.
const MillisPerCPU = 1000

// Resources is an amount of each resource that workers provide and tasks need.
type Resources struct {
	CPUMillis    int64 // thousandths of a processor
	MemoryMB     int64
	Accelerators int64
}

// MaxPerWorker is the largest amount of a resource that a worker may offer or a task may need. No machine has
// as much.
const MaxPerWorker = 1 << 40

// Validate returns an error if an amount is negative or above MaxPerWorker.
func (r Resources) Validate() error {
	if min(r.CPUMillis, r.MemoryMB, r.Accelerators) < 0 || max(r.CPUMillis, r.MemoryMB, r.Accelerators) > MaxPerWorker {
		return errors.Newf("resources %s: want 0 to %d of each", r, int64(MaxPerWorker))
	}
	return nil
}

// maxAmount is the largest amount that Add and Times return. Estimates for jobs of any size are summed up.
const maxAmount = 1 << 61

// Add returns the sum of two amounts, at most maxAmount of each.
func (r Resources) Add(o Resources) Resources {
	return Resources{add(r.CPUMillis, o.CPUMillis), add(r.MemoryMB, o.MemoryMB), add(r.Accelerators, o.Accelerators)}
}

func add(a, b int64) int64 {
	if a > 0 && b > maxAmount-a {
		return maxAmount
	}
	return a + b
}

// Sub returns the difference r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMillis - o.CPUMillis, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n, at most maxAmount of each resource.
func (r Resources) Times(n int64) Resources {
	return Resources{times(r.CPUMillis, n), times(r.MemoryMB, n), times(r.Accelerators, n)}
}

func times(amount, n int64) int64 {
	if amount > 0 && n > maxAmount/amount {
		return maxAmount
	}
	return amount * n
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.CPUMillis, o.CPUMillis), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// Min returns the smaller amount of each resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.CPUMillis, o.CPUMillis), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators)}
}

// Fits reports whether r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMillis <= free.CPUMillis && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Kind identifies a resource.
type Kind int

// Resource kinds.
const (
	CPU Kind = iota
	Memory
	Accelerator
)

// Dominant returns the resource of which r takes the largest share of total.
func (r Resources) Dominant(total Resources) Kind {
	kind, share := CPU, ratio(r.CPUMillis, total.CPUMillis)
	if s := ratio(r.MemoryMB, total.MemoryMB); s > share {
		kind, share = Memory, s
	}
	if s := ratio(r.Accelerators, total.Accelerators); s > share {
		kind = Accelerator
	}
	return kind
}

// ShareOf returns the share of total that r takes of one resource. It is 0 if total has none of it.
func (r Resources) ShareOf(kind Kind, total Resources) float64 {
	switch kind {
	case Memory:
		return ratio(r.MemoryMB, total.MemoryMB)
	case Accelerator:
		return ratio(r.Accelerators, total.Accelerators)
	default:
		return ratio(r.CPUMillis, total.CPUMillis)
	}
}

// DominantShare returns the largest share of total that r takes of any resource. It is the measure of
// dominant resource fairness (Ghodsi et al., NSDI 2011).
func (r Resources) DominantShare(total Resources) float64 {
	share := ratio(r.CPUMillis, total.CPUMillis)
	share = max(share, ratio(r.MemoryMB, total.MemoryMB))
	return max(share, ratio(r.Accelerators, total.Accelerators))
}

// String returns a text for logs and error messages, such as "cpu=2000m mem=4096MB acc=0".
func (r Resources) String() string {
	return fmt.Sprintf("cpu=%dm mem=%dMB acc=%d", r.CPUMillis, r.MemoryMB, r.Accelerators)
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
