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

// agingInterval is how often the waiting tasks are checked for promotion to a higher class.
const agingInterval = time.Second

// Placer assigns tasks to the workers of one shard.
type Placer struct {
	cfg              Config
	workers          map[string]*worker
	index            index
	total            cell.Resources
	waitQueue        *waitQueue
	placed           map[string]*placed
	spreadByWorkload map[string]*spreadCount
	usage            map[string]cell.Resources // by team
	quotas           map[string]cell.Resources // by team, this shard's part
	lastAging        clock.Time                // when waiting tasks were last checked for promotion
	// reserved holds the reserved workers, by the id of the task that they are reserved for.
	reserved map[string]*worker
	// spreadOffset is where policy spread begins its search in each bucket.
	spreadOffset int
}

// New returns a placer without workers.
func New(cfg Config) *Placer {
	return &Placer{
		cfg: cfg, workers: map[string]*worker{}, waitQueue: newWaitQueue(), placed: map[string]*placed{},
		spreadByWorkload: map[string]*spreadCount{}, usage: map[string]cell.Resources{}, quotas: map[string]cell.Resources{},
		reserved: map[string]*worker{},
	}
}

// SetQuotas sets this shard's part of each team's quota.
func (p *Placer) SetQuotas(quotas map[string]cell.Resources) {
	p.quotas = quotas
}

// PutWorker adds a worker or updates its site and capacity.
func (p *Placer) PutWorker(w Worker) {
	if known, ok := p.workers[w.ID]; ok {
		p.adjustTotal(known.Capacity, -1)
		known.Worker = w
		p.adjustTotal(w.Capacity, 1)
		p.index.update(known)
		return
	}
	added := &worker{Worker: w, tasks: map[string]*placed{}}
	p.workers[w.ID] = added
	p.adjustTotal(w.Capacity, 1)
	p.index.add(added)
}

// CloseWorker sets whether a worker is closed to new tasks.
func (p *Placer) CloseWorker(id string, closed bool) {
	if w, ok := p.workers[id]; ok {
		w.closed = closed
	}
}

// RemoveWorker removes a worker and returns the tasks that were placed on it.
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
	p.adjustTotal(w.Capacity, -1)
	delete(p.workers, id)
	return lost
}

// Submit puts a task into the queue. It does nothing for a task that already waits or is placed.
func (p *Placer) Submit(t Task, now clock.Time) {
	if _, ok := p.placed[t.ID]; ok {
		return
	}
	if t.Since == 0 {
		t.Since = now
	}
	p.waitQueue.add(&t)
}

// Withdraw removes a task from the queue and reports whether it was waiting there.
func (p *Placer) Withdraw(id string) bool {
	_, ok := p.waitQueue.remove(id)
	if ok {
		p.unreserve(id)
	}
	return ok
}

// AddRunning records a task that already runs on a worker, which a new owner finds in the
// worker's report. The task leaves the queue, and its resources count as used even
// when they exceed the worker's capacity.
func (p *Placer) AddRunning(t Task, workerID string) {
	w, ok := p.workers[workerID]
	if _, known := p.placed[t.ID]; known || !ok {
		return
	}
	p.waitQueue.remove(t.ID)
	p.assign(t, w)
}

// End removes a placed task that has ended, or that certainly did not start.
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
	p.updateSpread(&t.Task, w, -1)
}

func (p *Placer) assign(t Task, w *worker) {
	assigned := &placed{Task: t, worker: w}
	p.placed[t.ID] = assigned
	w.tasks[t.ID] = assigned
	w.used = w.used.Add(t.Resources)
	p.index.update(w)
	p.usage[t.Team] = p.usage[t.Team].Add(t.Resources)
	p.updateSpread(&t, w, 1)
}

// Next returns decisions that can be carried out now. It examines no further tasks once
// it has limit decisions; the last task may add several preemptions and so exceed it.
func (p *Placer) Next(now clock.Time, limit int) []Decision {
	if now.Sub(p.lastAging) >= agingInterval {
		p.waitQueue.promote(now, p.cfg)
		p.lastAging = now
	}
	var out []Decision
	for rank := range rankCount {
		out = p.placeRank(rank, now, limit, out)
	}
	return out
}

// teamCursor is the position in one team's waiting tasks of a class.
type teamCursor struct {
	team          string
	dominantShare float64 // dominant share of the team's placed tasks
	next          int     // index of its next task
}

// placeRank places the waiting tasks of one class. Each step takes the next task of the
// team with the lowest dominant share.
func (p *Placer) placeRank(rank int, now clock.Time, limit int, out []Decision) []Decision {
	teams := p.waitQueue.ranks[rank]
	cursors := make([]*teamCursor, 0, len(teams))
	for team := range teams {
		cursors = append(cursors, &teamCursor{team: team, dominantShare: p.dominantShare(team)})
	}
	failedSearches := newFailedSearches()
	for len(out) < limit && len(cursors) > 0 {
		c := slices.MinFunc(cursors, func(a, b *teamCursor) int {
			return cmp.Or(cmp.Compare(a.dominantShare, b.dominantShare), cmp.Compare(a.team, b.team))
		})
		list := teams[c.team]
		if c.next >= len(list) {
			cursors = slices.DeleteFunc(cursors, func(x *teamCursor) bool { return x == c })
			continue
		}
		task := list[c.next]
		decisions := p.tryPlace(task, rank, now, failedSearches, len(cursors) > 1)
		started := len(decisions) > 0 && decisions[0].Kind == Start
		if !started {
			c.next++
		}
		c.dominantShare = p.dominantShare(c.team)
		out = append(out, decisions...)
	}
	return out
}

// dominantShare returns the dominant share of a team's placed tasks in the shard's capacity.
func (p *Placer) dominantShare(team string) float64 {
	return p.usage[team].DominantShare(p.total)
}

// tryPlace places one task if a worker is suitable. othersWait says that tasks of other
// teams in the same class wait too; only then does the quota apply.
func (p *Placer) tryPlace(t *Task, rank int, now clock.Time, failedSearches failedSearches, othersWait bool) []Decision {
	if rank != settings.ClassUrgent.Rank() && othersWait && p.overQuota(t) {
		return nil
	}
	if t.Class != settings.ClassUrgent && failedSearches.covers(t) {
		return nil
	}
	w, examined := p.chooseWorker(t)
	if w == nil {
		failedSearches.add(t)
		return p.handleUnplaced(t, now)
	}
	task := *t
	p.waitQueue.remove(task.ID)
	p.unreserve(task.ID)
	p.assign(task, w)
	return []Decision{{Kind: Start, Task: task, Worker: w.ID, Examined: examined}}
}

func (p *Placer) overQuota(t *Task) bool {
	quota, limited := p.quotas[t.Team]
	return limited && !p.usage[t.Team].Add(t.Resources).Fits(quota)
}

// handleUnplaced preempts other tasks for an urgent task that does not fit anywhere now,
// and reserves a worker for any other that has waited long enough.
func (p *Placer) handleUnplaced(t *Task, now clock.Time) []Decision {
	if t.Class == settings.ClassUrgent {
		return p.preempt(t)
	}
	if now.Sub(t.Since) >= p.cfg.ReserveAfter {
		p.reserve(t)
	}
	return nil
}

// failedSearches holds the resources for which a search found no worker, so that a thousand
// equal tasks of a workload cost one search. It is valid only within one call of placeRank.
type failedSearches map[searchKey][]cell.Resources

type searchKey struct {
	workload string
	policy   settings.Policy
}

func newFailedSearches() failedSearches {
	return failedSearches{}
}

// covers reports whether a search failed that needed no more than t does.
func (f failedSearches) covers(t *Task) bool {
	for _, r := range f[searchKey{t.Workload, t.Policy}] {
		if r.Fits(t.Resources) {
			return true
		}
	}
	return false
}

func (f failedSearches) add(t *Task) {
	k := searchKey{t.Workload, t.Policy}
	f[k] = append(f[k], t.Resources)
}
