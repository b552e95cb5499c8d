package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/settings"
)

// ageEvery is how often waiting tasks are looked through for their age.
const ageEvery = time.Second

// Placer decides for the workers of one shard.
type Placer struct {
	cfg     Config
	workers map[string]*worker
	index   index
	total   cell.Resources
	waiting *waiting
	placed  map[string]*placed
	spreads map[string]*spreadCount
	usage   map[string]cell.Resources // by team
	quotas  map[string]cell.Resources // by team, this shard's part
	aged    clock.Time
	// reserved holds the workers that are kept free, by the task they are kept for.
	reserved map[string]*worker
	// rotor moves the begin of the search of policy spread on.
	rotor int
}

// New returns a placer without workers.
func New(cfg Config) *Placer {
	return &Placer{
		cfg: cfg, workers: map[string]*worker{}, waiting: newWaiting(), placed: map[string]*placed{},
		spreads: map[string]*spreadCount{}, usage: map[string]cell.Resources{}, quotas: map[string]cell.Resources{},
		reserved: map[string]*worker{},
	}
}

// SetQuotas sets this shard's part of the teams' quotas.
func (p *Placer) SetQuotas(quotas map[string]cell.Resources) {
	p.quotas = quotas
}

// PutWorker adds a worker or changes what is known of it.
func (p *Placer) PutWorker(w Worker) {
	if known, ok := p.workers[w.ID]; ok {
		p.addTotal(known.Capacity, -1)
		known.Worker = w
		p.addTotal(w.Capacity, 1)
		p.index.update(known)
		return
	}
	added := &worker{Worker: w, tasks: map[string]*placed{}}
	p.workers[w.ID] = added
	p.addTotal(w.Capacity, 1)
	p.index.add(added)
}

// CloseWorker says whether a worker takes new tasks.
func (p *Placer) CloseWorker(id string, closed bool) {
	if w, ok := p.workers[id]; ok {
		w.closed = closed
	}
}

// RemoveWorker takes a worker away and returns the tasks that it held.
func (p *Placer) RemoveWorker(id string) []Task {
	w, ok := p.workers[id]
	if !ok {
		return nil
	}
	var lost []Task
	for _, taskID := range slices.Sorted(maps.Keys(w.tasks)) {
		lost = append(lost, w.tasks[taskID].Task)
		p.End(taskID)
	}
	p.unreserve(w.reserved)
	p.index.remove(w)
	p.addTotal(w.Capacity, -1)
	delete(p.workers, id)
	return lost
}

// Submit lets a task wait for a place. A task that waits or is placed already is left.
func (p *Placer) Submit(t Task, now clock.Time) {
	if _, ok := p.placed[t.ID]; ok {
		return
	}
	if t.Since == 0 {
		t.Since = now
	}
	p.waiting.add(&t)
}

// Withdraw takes a waiting task back, and says whether it was waiting.
func (p *Placer) Withdraw(id string) bool {
	_, ok := p.waiting.remove(id)
	if ok {
		p.unreserve(id)
	}
	return ok
}

// Found records a task that a worker runs, as a new owner learns it. It counts against
// the worker even when it does not fit, and no longer waits.
func (p *Placer) Found(t Task, workerID string) {
	w, ok := p.workers[workerID]
	if _, known := p.placed[t.ID]; known || !ok {
		return
	}
	p.waiting.remove(t.ID)
	p.put(t, w)
}

// End records that a task has ended, or certainly did not start.
func (p *Placer) End(id string) {
	t, ok := p.placed[id]
	if !ok {
		return
	}
	delete(p.placed, id)
	w := t.worker
	delete(w.tasks, id)
	w.used = w.used.Sub(t.Resources)
	p.index.update(w)
	p.usage[t.Team] = p.usage[t.Team].Sub(t.Resources)
	p.countSpread(&t.Task, w, -1)
}

func (p *Placer) put(t Task, w *worker) {
	pl := &placed{Task: t, worker: w}
	p.placed[t.ID] = pl
	w.tasks[t.ID] = pl
	w.used = w.used.Add(t.Resources)
	p.index.update(w)
	p.usage[t.Team] = p.usage[t.Team].Add(t.Resources)
	p.countSpread(&t, w, 1)
}

// Next decides up to most placements that can be made now.
func (p *Placer) Next(now clock.Time, most int) []Decision {
	if now.Sub(p.aged) >= ageEvery {
		p.waiting.age(now, p.cfg)
		p.aged = now
	}
	var out []Decision
	for rank := range nRanks {
		out = p.nextOfRank(rank, now, most, out)
	}
	return out
}

// turn is one team's place in the order within a class.
type turn struct {
	team  string
	share float64
	next  int // index of its next task
}

// nextOfRank gives the teams their turns: each time the one with the least share.
func (p *Placer) nextOfRank(rank int, now clock.Time, most int, out []Decision) []Decision {
	teams := p.waiting.ranks[rank]
	turns := make([]*turn, 0, len(teams))
	for team := range teams {
		turns = append(turns, &turn{team: team, share: p.share(team)})
	}
	misses := newMisses()
	for len(out) < most && len(turns) > 0 {
		t := slices.MinFunc(turns, func(a, b *turn) int {
			return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.team, b.team))
		})
		list := teams[t.team]
		if t.next >= len(list) {
			turns = slices.DeleteFunc(turns, func(x *turn) bool { return x == t })
			continue
		}
		task := list[t.next]
		decisions := p.try(task, rank, now, misses, len(turns) > 1)
		started := len(decisions) > 0 && decisions[0].Kind == Start
		if !started {
			t.next++
		}
		t.share = p.share(t.team)
		out = append(out, decisions...)
	}
	return out
}

// share is the dominant share of what a team has of the shard.
func (p *Placer) share(team string) float64 {
	return p.usage[team].DominantShare(p.total)
}

// try places one task if it can. others says that tasks of other teams wait too.
func (p *Placer) try(t *Task, rank int, now clock.Time, misses misses, others bool) []Decision {
	if rank != settings.ClassUrgent.Rank() && others && p.overQuota(t) {
		return nil
	}
	if t.Class != settings.ClassUrgent && misses.covers(t) {
		return nil
	}
	w, examined := p.choose(t)
	if w == nil {
		misses.add(t)
		return p.missed(t, now)
	}
	task := *t
	p.waiting.remove(task.ID)
	p.unreserve(task.ID)
	p.put(task, w)
	return []Decision{{Kind: Start, Task: task, Worker: w.ID, Examined: examined}}
}

func (p *Placer) overQuota(t *Task) bool {
	quota, limited := p.quotas[t.Team]
	return limited && !p.usage[t.Team].Add(t.Resources).Fits(quota)
}

// missed does what can be done for a task that does not fit anywhere now.
func (p *Placer) missed(t *Task, now clock.Time) []Decision {
	if t.Class == settings.ClassUrgent {
		return p.preempt(t)
	}
	if now.Sub(t.Since) >= p.cfg.ReserveAfter {
		p.reserve(t)
	}
	return nil
}

// misses remembers within one call which needs did not fit, so that a thousand like tasks
// cost one search.
type misses map[missKey][]cell.Resources

type missKey struct {
	workload string
	policy   settings.Policy
}

func newMisses() misses {
	return misses{}
}

func (m misses) covers(t *Task) bool {
	for _, r := range m[missKey{t.Workload, t.Policy}] {
		if r.Fits(t.Resources) {
			return true
		}
	}
	return false
}

func (m misses) add(t *Task) {
	k := missKey{t.Workload, t.Policy}
	m[k] = append(m[k], t.Resources)
}
