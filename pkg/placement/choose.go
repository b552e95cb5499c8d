package placement

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/settings"
)

// maxPackCandidates is how many suitable workers policy pack compares before it takes the best.
const maxPackCandidates = 24

// maxSpreadCandidates is the same for policy spread; it is higher because several racks
// must be among the candidates.
const maxSpreadCandidates = 64

// acceleratorPenalty is added to the pack score of a worker with free accelerators when
// the task needs none, so that such a worker is chosen last: other scores are 2 at most.
const acceleratorPenalty = 4.0

// chooseWorker returns the best worker for a task, or nil when none is suitable, and how
// many workers were examined.
func (p *Placer) chooseWorker(t *Task) (*worker, int) {
	if t.Policy == settings.PolicySpread {
		return p.chooseSpread(t)
	}
	return p.choosePack(t)
}

// fits reports whether the worker can take the task now.
func (w *worker) fits(t *Task) bool {
	if w.closed || (w.reserved != "" && w.reserved != t.ID) || !t.Resources.Fits(w.free()) {
		return false
	}
	ok, _ := t.Place.Allows(w.Site)
	return ok
}

// choosePack examines the workers in ascending order of free processors.
func (p *Placer) choosePack(t *Task) (*worker, int) {
	var best *worker
	var bestScore float64
	examined, candidates := 0, 0
	for b := bucketOf(t.Resources.CPUMillis); b < bucketCount && candidates < maxPackCandidates; b++ {
		for _, w := range p.index.buckets[b] {
			examined++
			if !w.fits(t) {
				continue
			}
			candidates++
			if score := packScore(w, t); best == nil || score < bestScore || (score == bestScore && w.ID < best.ID) {
				best, bestScore = w, score
			}
			if candidates >= maxPackCandidates {
				break
			}
		}
	}
	return best, examined
}

// packScore rates a worker for a task under policy pack; the lowest score wins. A worker
// scores low when few resources are left free on it after the task is placed, and when
// processors and memory are left free in equal proportion: free memory is of no use
// without free processors, and the reverse.
func packScore(w *worker, t *Task) float64 {
	left := w.free().Sub(t.Resources)
	cpu := fraction(left.CPUMillis, w.Capacity.CPUMillis)
	memory := fraction(left.MemoryMB, w.Capacity.MemoryMB)
	imbalance := cpu - memory
	score := cpu + memory + imbalance*imbalance
	if left.Accelerators > 0 && t.Resources.Accelerators == 0 {
		score += acceleratorPenalty
	}
	return score
}

func fraction(left, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(left) / float64(total)
}

// chooseSpread examines the workers in descending order of free processors. Within a
// bucket each call starts at another worker, so that in a large shard all racks are
// considered over time.
func (p *Placer) chooseSpread(t *Task) (*worker, int) {
	p.spreadOffset += maxSpreadCandidates
	spread := p.spreadByWorkload[t.Workload]
	var best *worker
	examined, candidates := 0, 0
	for b := bucketCount - 1; b >= bucketOf(t.Resources.CPUMillis) && candidates < maxSpreadCandidates; b-- {
		bucket := p.index.buckets[b]
		for i := range bucket {
			w := bucket[(i+p.spreadOffset)%len(bucket)]
			examined++
			if !w.fits(t) {
				continue
			}
			candidates++
			if best == nil || spread.prefers(w, best) {
				best = w
			}
			if candidates >= maxSpreadCandidates {
				break
			}
		}
	}
	return best, examined
}

// spreadCount counts the tasks of one workload by rack and by worker.
type spreadCount struct {
	racks   map[string]int
	workers map[string]int
}

// prefers reports whether a is a better choice than b under policy spread: fewer tasks of the
// workload on its rack, then on the worker itself, then the lower utilization.
func (s *spreadCount) prefers(a, b *worker) bool {
	if s != nil {
		if x, y := s.racks[a.Site.Rack], s.racks[b.Site.Rack]; x != y {
			return x < y
		}
		if x, y := s.workers[a.ID], s.workers[b.ID]; x != y {
			return x < y
		}
	}
	x, y := a.used.DominantShare(a.Capacity), b.used.DominantShare(b.Capacity)
	if x != y {
		return x < y
	}
	return a.ID < b.ID
}

// updateSpread adds delta to the number of tasks of t's workload on w and on w's rack.
func (p *Placer) updateSpread(t *Task, w *worker, delta int) {
	s, ok := p.spreadByWorkload[t.Workload]
	if !ok {
		s = &spreadCount{racks: map[string]int{}, workers: map[string]int{}}
		p.spreadByWorkload[t.Workload] = s
	}
	s.racks[w.Site.Rack] += delta
	s.workers[w.ID] += delta
	if s.workers[w.ID] == 0 {
		delete(s.workers, w.ID)
	}
}

// adjustTotal adds r, multiplied by sign, to the total capacity of the shard's workers.
func (p *Placer) adjustTotal(r cell.Resources, sign int64) {
	p.total = p.total.Add(cell.Resources{
		CPUMillis: r.CPUMillis * sign, MemoryMB: r.MemoryMB * sign, Accelerators: r.Accelerators * sign,
	})
}
