package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// The roster tells a later owner which workers may run something, since the entry of one that lives may be gone. It has a record for each
// worker's name, so that what a change costs does not grow with the pool.

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

// TakeRosterNews returns the names of the workers whose records may have changed since the last call, sorted.
func (p *Pool) TakeRosterNews() []string {
	if p.takeover.missed {
		p.rosterNews[p.missedWorker.ID.Name()] = struct{}{} // its record goes with the last job that a former owner knew
	}
	names := slices.Sorted(maps.Keys(p.rosterNews))
	clear(p.rosterNews)
	return names
}

// rosterChanged takes in that the record of a worker may have changed.
func (p *Pool) rosterChanged(id WorkerID) {
	p.rosterNews[id.Name()] = struct{}{}
}

// RosterOf lists the lives of a worker that a later owner has to know of, by id: those that have not gone, and those that crashed under starts
// that the store may not tell.
func (p *Pool) RosterOf(name string) []WorkerInfo {
	var out []WorkerInfo
	if l, known := p.lineages[name]; known {
		for _, w := range l.lives {
			if !w.gone {
				out = append(out, w.rosterInfo())
			}
		}
	}
	for id, info := range p.parting {
		if id.Name() == name {
			out = append(out, info.crashed())
		}
	}
	if p.takeover.missed && p.missedWorker.ID.Name() == name && p.anyKnownToFormer() {
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
