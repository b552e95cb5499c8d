package latestart

// AssignMembers gives each member of a gang a worker by its index, those that are bound theirs and the others the ones with most room; nil when the
// workers don't suffice. room is for how many members each has room; it is used up.
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

// workerWithMostRoom is the index of the worker with most room that the task may be started on; -1 for none.
func (t *TaskStarts) workerWithMostRoom(workers []string, room []int) int {
	best := -1
	for n, w := range workers {
		if room[n] > 0 && t.MayRunOn(w) && (best < 0 || room[n] > room[best]) {
			best = n
		}
	}
	return best
}
