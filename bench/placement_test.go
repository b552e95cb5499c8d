package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/settings"
)

var workerSize = cell.Resources{CPUMillis: 16000, MemoryMB: 65536}

func newWorkers(n int, accelerators int64) []placement.Worker {
	list := make([]placement.Worker, 0, n)
	for i := range n {
		size := workerSize
		if i%8 == 0 {
			size.Accelerators = accelerators
		}
		list = append(list, placement.Worker{
			ID: fmt.Sprintf("w%04d", i), Capacity: size,
			Site: settings.Site{Region: "r", Hall: "h", Rack: fmt.Sprintf("k%03d", i/8)},
		})
	}
	return list
}

func newPlacer(list []placement.Worker) *placement.Placer {
	p := placement.New(placement.DefaultConfig)
	for _, w := range list {
		p.PutWorker(w)
	}
	return p
}

// taskMix draws the resources of a random task from one kind of load.
type taskMix func(rng *rand.Rand) cell.Resources

var taskMixes = map[string]taskMix{
	"even": func(rng *rand.Rand) cell.Resources {
		return cell.Resources{CPUMillis: int64(500 + 250*rng.IntN(15)), MemoryMB: int64(1024 + 1024*rng.IntN(16))}
	},
	"lopsided": func(rng *rand.Rand) cell.Resources {
		if rng.IntN(2) == 0 {
			return cell.Resources{CPUMillis: int64(2000 + 500*rng.IntN(5)), MemoryMB: int64(512 * (1 + rng.IntN(4)))}
		}
		return cell.Resources{CPUMillis: int64(250 * (1 + rng.IntN(3))), MemoryMB: int64(6144 + 2048*rng.IntN(5))}
	},
	"large": func(rng *rand.Rand) cell.Resources {
		if rng.IntN(6) == 0 {
			return cell.Resources{CPUMillis: 8000, MemoryMB: 32768}
		}
		return cell.Resources{CPUMillis: int64(250 + 250*rng.IntN(4)), MemoryMB: int64(1024 + 512*rng.IntN(6))}
	},
}

func newTask(id int, need cell.Resources, policy settings.Policy) placement.Task {
	return placement.Task{
		ID: fmt.Sprintf("t%06d", id), Workload: fmt.Sprintf("w%02d", id%40), Team: fmt.Sprintf("team%03d", id%150),
		Class: settings.ClassBatch, Policy: policy, Resources: need, Repeatable: true,
	}
}

// newFilledPlacer places tasks until n run and returns the placer and the IDs of the running tasks.
func newFilledPlacer(list []placement.Worker, n int, rng *rand.Rand) (*placement.Placer, []string) {
	p := newPlacer(list)
	var running []string
	for i := 0; len(running) < n; i++ {
		t := newTask(i, cell.Resources{CPUMillis: int64(500 + 250*rng.IntN(12)), MemoryMB: int64(1024 + 1024*rng.IntN(12))}, settings.PolicyPack)
		p.Submit(t, 1)
		if d := p.Next(1, 1); len(d) == 1 {
			running = append(running, t.ID)
		}
	}
	return p, running
}

// churn ends a random running task and places a new one, n times. It returns the duration of each placement
// in microseconds.
func churn(p *placement.Placer, running []string, n int, policy settings.Policy, rng *rand.Rand) []float64 {
	times := make([]float64, 0, n)
	for i := range n {
		ended := rng.IntN(len(running))
		p.End(running[ended])
		t := newTask(1000000+i, cell.Resources{CPUMillis: 750, MemoryMB: 2048}, policy)
		begin := time.Now()
		p.Submit(t, clock.Time(i))
		p.Next(clock.Time(i), 1)
		times = append(times, float64(time.Since(begin).Nanoseconds())/1000)
		running[ended] = t.ID
	}
	return times
}

// BenchmarkPlace measures single placements among 1,100 workers with 4,100 tasks.
func BenchmarkPlace(b *testing.B) {
	for b.Loop() {
		rng := rand.New(rand.NewPCG(3, 3))
		const n = 20000
		measure := func(workerCount, tasks int, policy settings.Policy) (p99, perSecond, median float64) {
			p, running := newFilledPlacer(newWorkers(workerCount, 0), tasks, rng)
			times := churn(p, running, n, policy, rng)
			var sum float64
			for _, t := range times {
				sum += t
			}
			return quantile(times, 0.99), n / sum * 1e6, quantile(times, 0.5)
		}
		p99, perSecond, large := measure(1100, 4100, settings.PolicyPack)
		_, _, small := measure(110, 410, settings.PolicyPack)
		recordFigure(b, "place_p99_us", p99, "us")
		recordFigure(b, "place_per_s", perSecond, "1/s")
		recordFigure(b, "place_growth", large/small, "x")
		p99, _, large = measure(1100, 4100, settings.PolicySpread)
		_, _, small = measure(110, 410, settings.PolicySpread)
		recordFigure(b, "place_spread_p99_us", p99, "us")
		recordFigure(b, "place_spread_growth", large/small, "x")
	}
}

// packedShare places tasks until one does not fit and returns the used share of the total resources. Of the
// shares of CPU and memory the larger one counts, since no placement could exceed that of the scarcer
// resource.
func packedShare(m taskMix, place func(need cell.Resources) bool, total cell.Resources, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 9))
	var used cell.Resources
	for {
		need := m(rng)
		if !place(need) {
			break
		}
		used = used.Add(need)
	}
	return math.Max(float64(used.CPUMillis)/float64(total.CPUMillis), float64(used.MemoryMB)/float64(total.MemoryMB))
}

// scanPlacer is a baseline that checks every worker for each task.
type scanPlacer struct {
	free   []cell.Resources
	better func(a, b cell.Resources) bool // nil means the first worker that fits
}

func newScanPlacer(n int, better func(a, b cell.Resources) bool) *scanPlacer {
	s := &scanPlacer{better: better}
	for range n {
		s.free = append(s.free, workerSize)
	}
	return s
}

func (s *scanPlacer) place(need cell.Resources) bool {
	best := -1
	for i, f := range s.free {
		if !need.Fits(f) {
			continue
		}
		if best < 0 || (s.better != nil && s.better(f.Sub(need), s.free[best].Sub(need))) {
			best = i
		}
		if s.better == nil {
			break
		}
	}
	if best < 0 {
		return false
	}
	s.free[best] = s.free[best].Sub(need)
	return true
}

func bestFitCPU(a, b cell.Resources) bool { return a.CPUMillis < b.CPUMillis }
func bestFitDominant(a, b cell.Resources) bool {
	return a.DominantShare(workerSize) < b.DominantShare(workerSize)
}

// BenchmarkPacking fills 110 workers with tasks of each mix until one does not fit.
func BenchmarkPacking(b *testing.B) {
	const n = 110
	total := cell.Resources{CPUMillis: workerSize.CPUMillis * n, MemoryMB: workerSize.MemoryMB * n}
	for b.Loop() {
		worst := 1.0
		for _, name := range []string{"even", "lopsided", "large"} {
			m := taskMixes[name]
			p := newPlacer(newWorkers(n, 0))
			id := 0
			ours := packedShare(m, func(need cell.Resources) bool {
				id++
				p.Submit(newTask(id, need, settings.PolicyPack), 1)
				return len(p.Next(1, 1)) == 1
			}, total, 4)
			worst = min(worst, ours)
			recordFigure(b, "packing_vs_bound_"+name, ours, "part")
			recordFigure(b, "packing_vs_bound_"+name+"_first_fit", packedShare(m, newScanPlacer(n, nil).place, total, 4), "part")
			recordFigure(b, "packing_vs_bound_"+name+"_best_fit_cpu", packedShare(m, newScanPlacer(n, bestFitCPU).place, total, 4), "part")
			recordFigure(b, "packing_vs_bound_"+name+"_best_fit_dominant", packedShare(m, newScanPlacer(n, bestFitDominant).place, total, 4), "part")
		}
		recordFigure(b, "packing_vs_bound", worst, "part")
	}
}

// BenchmarkFairness submits tasks of 150 teams with different needs, more than fit in total, and compares the
// largest dominant share of a team with the smallest.
func BenchmarkFairness(b *testing.B) {
	for b.Loop() {
		const teams, n = 150, 110
		rng := rand.New(rand.NewPCG(6, 6))
		p := newPlacer(newWorkers(n, 0))
		needs := make([]cell.Resources, teams)
		for i := range needs {
			needs[i] = cell.Resources{CPUMillis: int64(250 * (1 + rng.IntN(4))), MemoryMB: int64(1024 * (1 + rng.IntN(4)))}
		}
		total := cell.Resources{CPUMillis: workerSize.CPUMillis * n, MemoryMB: workerSize.MemoryMB * n}
		for i := range teams * 60 {
			t := newTask(i, needs[i%teams], settings.PolicyPack)
			t.Team, t.Workload = fmt.Sprintf("team%03d", i%teams), fmt.Sprintf("team%03d", i%teams)
			p.Submit(t, 1)
		}
		used := map[string]cell.Resources{}
		for _, d := range p.Next(1, 1<<30) {
			used[d.Task.Team] = used[d.Task.Team].Add(d.Task.Resources)
		}
		lowest, highest := math.Inf(1), 0.0
		for i := range teams {
			share := used[fmt.Sprintf("team%03d", i)].DominantShare(total)
			lowest, highest = min(lowest, share), max(highest, share)
		}
		recordFigure(b, "fairness", highest/lowest-1, "part")
	}
}
