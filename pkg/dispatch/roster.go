package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// Workers lists the workers that have not terminated, sorted by ID.
func (p *Pool) Workers() []WorkerInfo {
	var out []WorkerInfo
	for _, w := range p.workersByID() {
		if !w.terminated {
			out = append(out, w.info)
		}
	}
	return out
}

// TakeRosterChanges returns the names of the workers whose roster records may have changed since the
// last call, sorted.
//
// The roster tells a later owner which workers may run something, since a worker that still runs may
// have lost its own entry in the store. It has one record for each worker name, so that the cost of a
// change does not grow with the pool.
func (p *Pool) TakeRosterChanges() []string {
	if p.takeover.hasUncountedCrash {
		// Its record is dropped with the last job of a previous owner.
		p.rosterChanges[p.uncountedCrash.ID.Name()] = struct{}{}
	}
	names := slices.Sorted(maps.Keys(p.rosterChanges))
	clear(p.rosterChanges)
	return names
}

// markRosterChanged records that the roster record of a worker may have changed.
func (p *Pool) markRosterChanged(id WorkerID) {
	p.rosterChanges[id.Name()] = struct{}{}
}

// RosterEntries lists the incarnations of a worker that the roster has to contain for later owners, sorted
// by ID: those that have not terminated, and those that crashed after starts of which the store may not have
// the crash.
func (p *Pool) RosterEntries(name string) []WorkerInfo {
	var out []WorkerInfo
	if history, known := p.workerHistories[name]; known {
		for _, w := range history.incarnations {
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

// asCrashed returns the roster entry of a worker that has crashed.
func (i WorkerInfo) asCrashed() WorkerInfo {
	i.Crashed = true
	return i
}
