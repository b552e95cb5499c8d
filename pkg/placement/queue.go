package placement

import (
	"cmp"
	"slices"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/settings"
)

// rankCount is the number of classes.
const rankCount = 4

// waitQueue holds the waiting tasks by class and team.
type waitQueue struct {
	tasks map[string]*Task
	ranks [rankCount]map[string][]*Task // by class and team, in the order of compareTasks
}

func newWaitQueue() *waitQueue {
	w := &waitQueue{tasks: map[string]*Task{}}
	for i := range w.ranks {
		w.ranks[i] = map[string][]*Task{}
	}
	return w
}

// compareTasks orders the tasks of one team in one class: the earliest deadline first,
// tasks without a deadline last; among equals the task that has waited longest first.
func compareTasks(a, b *Task) int {
	if a.Deadline != b.Deadline {
		if a.Deadline == 0 || b.Deadline == 0 {
			return cmp.Compare(b.Deadline, a.Deadline)
		}
		return cmp.Compare(a.Deadline, b.Deadline)
	}
	return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.ID, b.ID))
}

func (w *waitQueue) add(t *Task) {
	if _, ok := w.tasks[t.ID]; ok {
		return
	}
	w.tasks[t.ID] = t
	w.insert(rankOf(t), t)
}

func rankOf(t *Task) int {
	return min(t.Class.Rank(), rankCount-1)
}

func (w *waitQueue) insert(rank int, t *Task) {
	list := w.ranks[rank][t.Team]
	at, _ := slices.BinarySearchFunc(list, t, compareTasks)
	w.ranks[rank][t.Team] = slices.Insert(list, at, t)
}

func (w *waitQueue) remove(id string) (*Task, bool) {
	t, ok := w.tasks[id]
	if !ok {
		return nil, false
	}
	delete(w.tasks, id)
	for rank := range w.ranks {
		list := w.ranks[rank][t.Team]
		if at, found := slices.BinarySearchFunc(list, t, compareTasks); found {
			list = slices.Delete(list, at, at+1)
			w.setList(rank, t.Team, list)
			break
		}
	}
	return t, true
}

func (w *waitQueue) setList(rank int, team string, list []*Task) {
	if len(list) == 0 {
		delete(w.ranks[rank], team)
		return
	}
	w.ranks[rank][team] = list
}

// promote moves each task up by one class for every AgeStep that it has waited, but never
// to urgent.
func (w *waitQueue) promote(now clock.Time, cfg Config) {
	for rank := settings.ClassService.Rank() + 1; rank < rankCount; rank++ {
		for team, list := range w.ranks[rank] {
			var kept []*Task
			for _, t := range list {
				steps := int(now.Sub(t.Since) / cfg.AgeStep)
				if to := max(rankOf(t)-steps, settings.ClassService.Rank()); to < rank {
					w.insert(to, t)
					continue
				}
				kept = append(kept, t)
			}
			w.setList(rank, team, kept)
		}
	}
}
