package dispatch

import (
	"cmp"
	"slices"
)

// Workers lists the workers that have not gone, by id.
func (p *Pool) Workers() []WorkerInfo {
	var out []WorkerInfo
	for _, w := range p.workersByID() {
		if !w.gone {
			out = append(out, w.info)
		}
	}
	return out
}

// Roster lists the workers that a later owner has to know of, by id: those that have not gone, and those that
// crashed under starts that the store may not tell.
func (p *Pool) Roster() []WorkerInfo {
	out := p.Workers()
	for _, info := range p.parting {
		out = append(out, info.crashed())
	}
	if p.takeover.missed && p.anyKnownToFormer() {
		out = append(out, p.missedWorker.crashed())
	}
	slices.SortFunc(out, func(a, b WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// crashed returns what the roster tells of a worker that has crashed.
func (i WorkerInfo) crashed() WorkerInfo {
	i.Crashed = true
	return i
}
