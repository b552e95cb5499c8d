package job

import (
	"math/bits"
	"sort"

	"github.com/cockroachdb/errors"
)

const (
	// MaxTasks is the largest number of tasks of a job, over all its occurrences. At a million tasks a second
	// they would take longer than 100,000 years.
	MaxTasks = 1 << 62
	// MaxGangMembers is the largest number of members of a gang. The starts of more take longer than
	// workers hold members that wait for the others.
	MaxGangMembers = 1 << 16
)

// TaskNumbers numbers the tasks of a job from 0 on: by occurrence, then by step, then by index.
type TaskNumbers struct {
	firstOfStep   []int64 // in the first occurrence
	perOccurrence int64
}

// NumberTasks returns the numbers of a job's tasks. It fails if a step has no tasks, a gang has more than
// MaxGangMembers, or the job has more tasks than MaxTasks.
func (j Job) NumberTasks() (TaskNumbers, error) {
	n := TaskNumbers{firstOfStep: make([]int64, 0, len(j.Steps))}
	for i, s := range j.Steps {
		if s.Count <= 0 {
			return n, errors.Newf("steps[%d].count: want 1 or more, not %d", i, s.Count)
		}
		n.firstOfStep = append(n.firstOfStep, n.perOccurrence)
		if s.Gang && s.Count > MaxGangMembers {
			return n, errors.Newf("steps[%d].count: want at most %d members of a gang, not %d", i, MaxGangMembers, s.Count)
		}
		if int64(s.Count) > MaxTasks-n.perOccurrence {
			return n, errors.Newf("steps[%d].count: want at most %d tasks in all steps together, not %d more", i, int64(MaxTasks), s.Count)
		}
		n.perOccurrence += int64(s.Count)
	}
	times := int64(j.Schedule.Occurrences())
	if high, low := bits.Mul64(uint64(n.perOccurrence), uint64(times)); high != 0 || low > MaxTasks {
		return n, errors.Newf("repeatCount: want at most %d tasks at all times together, not %d at each of %d times", int64(MaxTasks), n.perOccurrence, times)
	}
	return n, nil
}

// PerOccurrence returns how many tasks an occurrence has.
func (n TaskNumbers) PerOccurrence() int64 {
	return n.perOccurrence
}

// First returns the number of a step's first task.
func (n TaskNumbers) First(occurrence, step int) int64 {
	return int64(occurrence)*n.perOccurrence + n.firstOfStep[step]
}

// Locate returns the task with a number.
func (n TaskNumbers) Locate(number int64) (occurrence, step, index int) {
	occurrence = int(number / n.perOccurrence)
	offset := number % n.perOccurrence
	step = sort.Search(len(n.firstOfStep), func(i int) bool { return n.firstOfStep[i] > offset }) - 1
	return occurrence, step, int(offset - n.firstOfStep[step])
}
