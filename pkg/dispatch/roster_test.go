package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

// Roster returns the whole roster, sorted by id.
func (p *Pool) Roster() []WorkerInfo {
	var out []WorkerInfo
	for name := range p.workerHistories {
		out = append(out, p.RosterEntries(name)...)
	}
	for _, info := range p.crashedWithoutHistory() {
		out = append(out, info.asCrashed())
	}
	slices.SortFunc(out, func(a, b WorkerInfo) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// crashedWithoutHistory returns the workers that are known only from the roster of a previous owner, as
// crashed and not counted yet.
func (p *Pool) crashedWithoutHistory() []WorkerInfo {
	if _, known := p.workerHistories[p.uncountedCrash.ID.Name()]; known || !p.takeover.hasUncountedCrash || !p.hasJobOfPreviousOwner() {
		return nil
	}
	return []WorkerInfo{p.uncountedCrash}
}

// rosterCopy is a copy of the roster that is updated entry by entry, like the one in the store. Its keys
// are the names of workers.
type rosterCopy map[string][]WorkerInfo

func (c rosterCopy) update(p *Pool) {
	for _, name := range p.TakeRosterChanges() {
		if c[name] = p.RosterEntries(name); len(c[name]) == 0 {
			delete(c, name)
		}
	}
}

func (c rosterCopy) ids() []string {
	var out []string
	for _, infos := range c {
		for _, i := range infos {
			out = append(out, fmt.Sprint(i.ID, i.Crashed))
		}
	}
	slices.Sort(out)
	return out
}

func rosterIDs(infos []WorkerInfo) []string {
	var out []string
	for _, i := range infos {
		out = append(out, fmt.Sprint(i.ID, i.Crashed))
	}
	slices.Sort(out)
	return out
}

// checkRoster checks that the entries that an owner has written after its changes are those that the
// roster should have.
func (w *world) checkRoster(o *modelOwner) {
	if o.roster == nil {
		o.roster = rosterCopy{}
	}
	o.roster.update(o.pool)
	if got, want := o.roster.ids(), rosterIDs(w.roster); !slices.Equal(got, want) {
		w.reportViolation("ROSTER its entries are %v, not %v", got, want)
	}
}

func TestRosterChangesOnlyForWorkersThatCameOrWent(t *testing.T) {
	f := newFixture(t, 3, nil)
	f.Expect(f.pool.TakeRosterChanges()).To(HaveLen(3))
	f.reportAll(3)
	f.Expect(f.pool.TakeRosterChanges()).To(BeEmpty(), "a report changes nothing")
	f.addEntry(firstIncarnation(7))
	f.Expect(f.pool.TakeRosterChanges()).To(Equal([]string{firstIncarnation(7).id.Name()}))
	f.pool.terminateWorker(f.pool.workers[workerID(1)], "test", f.now)
	f.Expect(f.pool.TakeRosterChanges()).To(Equal([]string{workerID(1).Name()}))
	f.Expect(f.pool.RosterEntries(workerID(1).Name())).To(HaveLen(1), "as crashed, until that is committed")
	f.pool.ApplyCommit(f.pool.PrepareCommit())
	f.Expect(f.pool.TakeRosterChanges()).To(Equal([]string{workerID(1).Name()}))
	f.Expect(f.pool.RosterEntries(workerID(1).Name())).To(BeEmpty())
}

// BenchmarkRosterChange adds and removes a worker in pools of several sizes.
func BenchmarkRosterChange(b *testing.B) {
	for _, n := range []int{1100, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := New(Config{Log: func(Event) {}}, 1)
			for i := range n {
				info := firstIncarnation(i % 200).info()
				info.ID = NewWorkerID(fmt.Sprintf("i-%d", i), firstStartedAt)
				p.UpsertWorker(info, true, 1)
			}
			p.TakeRosterChanges()
			changed := firstIncarnation(1).info()
			for b.Loop() {
				changed.ID = NewWorkerID("i-new", firstStartedAt)
				p.UpsertWorker(changed, true, 1)
				for _, name := range p.TakeRosterChanges() {
					p.RosterEntries(name)
				}
				w := p.workers[changed.ID]
				w.terminated = true
				p.forgetWorker(w)
				delete(p.workerHistories, "i-new")
			}
		})
	}
}
