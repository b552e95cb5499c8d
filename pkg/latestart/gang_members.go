package latestart

// AssignMembers assigns a worker, by index, to each member of a gang: to bound members the worker that
// they are bound to, then to the others the one with most room, together with the member before where it
// has room. It returns nil when the workers don't suffice. room tells for how many members each worker
// has room; AssignMembers decreases it as it assigns them.
func AssignMembers(members []*TaskStarts, workers []string, room []int) []int {
	chosen, last := make([]int, len(members)), -1
	for _, bound := range []bool{true, false} {
		for i, m := range members {
			if m.IsBound() != bound {
				continue
			}
			n := last
			if n < 0 || room[n] == 0 || !m.MayRunOn(workers[n]) {
				n = m.workerWithMostRoom(workers, room)
			}
			if n < 0 {
				return nil
			}
			chosen[i], last = n, n
			room[n]--
		}
	}
	return chosen
}

// workerWithMostRoom returns the index of the worker with most room among those on which the task may
// start; -1 for none.
func (t *TaskStarts) workerWithMostRoom(workers []string, room []int) int {
	best := -1
	for n, w := range workers {
		if room[n] > 0 && t.MayRunOn(w) && (best < 0 || room[n] > room[best]) {
			best = n
		}
	}
	return best
}
