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
		if !w.terminated {
			out = append(out, w.info)
		}
	}
	return out
}

// TakeRosterChanges returns the names of the workers whose records may have changed since the last call, sorted.
func (p *Pool) TakeRosterChanges() []string {
	if p.takeover.hasUncountedCrash {
		p.rosterChanges[p.uncountedCrash.ID.Name()] = struct{}{} // its record goes with the last job that a former owner knew
	}
	names := slices.Sorted(maps.Keys(p.rosterChanges))
	clear(p.rosterChanges)
	return names
}

// markRosterChanged takes in that the record of a worker may have changed.
func (p *Pool) markRosterChanged(id WorkerID) {
	p.rosterChanges[id.Name()] = struct{}{}
}

// RosterEntries lists the lives of a worker that a later owner has to know of, by id: those that have not gone, and those that crashed under starts
// that the store may not tell.
func (p *Pool) RosterEntries(name string) []WorkerInfo {
	var out []WorkerInfo
	if l, known := p.workerHistories[name]; known {
		for _, w := range l.incarnations {
			if !w.terminated {
				out = append(out, w.rosterEntry())
			}
		}
	}
	for id, info := range p.uncommittedCrashes {
		if id.Name() == name {
			out = append(out, info.asCrashed())
		}
	}
	if p.takeover.hasUncountedCrash && p.uncountedCrash.ID.Name() == name && p.hasJobOfPreviousOwner() {
		out = append(out, p.uncountedCrash.asCrashed())
	}
	slices.SortFunc(out, func(a, b WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// crashed returns what the roster tells of a worker that has crashed.
func (i WorkerInfo) asCrashed() WorkerInfo {
	i.Crashed = true
	return i
}
