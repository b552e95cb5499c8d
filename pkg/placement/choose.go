package placement

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/settings"
)

// enoughCandidates is how many workers that fit are compared before the best is taken.
const enoughCandidates = 24

// enoughSpread is the same for policy spread, which needs to see several racks.
const enoughSpread = 64

// acceleratorPenalty makes a task without accelerators the last choice for a worker that
// still has some free.
const acceleratorPenalty = 4.0

// choose returns the best worker for a task, or nil, and how many it looked at.
func (p *Placer) choose(t *Task) (*worker, int) {
	if t.Policy == settings.PolicySpread {
		return p.chooseSpread(t)
	}
	return p.choosePack(t)
}

// fits says whether a worker can take a task now.
func (w *worker) fits(t *Task) bool {
	if w.closed || (w.reserved != "" && w.reserved != t.ID) || !t.Resources.Fits(w.free()) {
		return false
	}
	ok, _ := t.Place.Allows(w.Site)
	return ok
}

// choosePack looks from the fullest workers up.
func (p *Placer) choosePack(t *Task) (*worker, int) {
	var best *worker
	var bestScore float64
	examined, candidates := 0, 0
	for b := bucketOf(t.Resources.CPUMillis); b < nBuckets && candidates < enoughCandidates; b++ {
		for _, w := range p.index.buckets[b] {
			examined++
			if !w.fits(t) {
				continue
			}
			candidates++
			if score := packScore(w, t); best == nil || score < bestScore || (score == bestScore && w.ID < best.ID) {
				best, bestScore = w, score
			}
			if candidates >= enoughCandidates {
				break
			}
		}
	}
	return best, examined
}

// packScore is lower for a better worker: little is left, and what is left of processors
// and memory is left in like parts, so that neither is stranded.
func packScore(w *worker, t *Task) float64 {
	left := w.free().Sub(t.Resources)
	cpu := part(left.CPUMillis, w.Capacity.CPUMillis)
	memory := part(left.MemoryMB, w.Capacity.MemoryMB)
	imbalance := cpu - memory
	score := cpu + memory + imbalance*imbalance
	if left.Accelerators > 0 && t.Resources.Accelerators == 0 {
		score += acceleratorPenalty
	}
	return score
}

func part(left, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(left) / float64(whole)
}

// chooseSpread looks from the emptiest workers down, each time from another one on, so
// that in a large shard all racks come into view in turn.
func (p *Placer) chooseSpread(t *Task) (*worker, int) {
	p.rotor += enoughSpread
	spread := p.spreads[t.Workload]
	var best *worker
	examined, candidates := 0, 0
	for b := nBuckets - 1; b >= bucketOf(t.Resources.CPUMillis) && candidates < enoughSpread; b-- {
		bucket := p.index.buckets[b]
		for i := range bucket {
			w := bucket[(i+p.rotor)%len(bucket)]
			examined++
			if !w.fits(t) {
				continue
			}
			candidates++
			if best == nil || spread.better(w, best) {
				best = w
			}
			if candidates >= enoughSpread {
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

func (s *spreadCount) better(a, b *worker) bool {
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

func (p *Placer) countSpread(t *Task, w *worker, by int) {
	s, ok := p.spreads[t.Workload]
	if !ok {
		s = &spreadCount{racks: map[string]int{}, workers: map[string]int{}}
		p.spreads[t.Workload] = s
	}
	s.racks[w.Site.Rack] += by
	s.workers[w.ID] += by
	if s.workers[w.ID] == 0 {
		delete(s.workers, w.ID)
	}
}

// total is what all workers of the shard have.
func (p *Placer) addTotal(r cell.Resources, by int64) {
	p.total = p.total.Add(cell.Resources{
		CPUMillis: r.CPUMillis * by, MemoryMB: r.MemoryMB * by, Accelerators: r.Accelerators * by,
	})
}
