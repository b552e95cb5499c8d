package dispatch

import (
	"cmp"
	"slices"
)

const (
	// maxTasksCreatedAtOnce is the size of an occurrence up to which all tasks of a step are created when
	// the step is ready. Those of larger ones are created tasksPerCreation at a time when there is room for
	// them.
	maxTasksCreatedAtOnce = 1024
	tasksPerCreation      = 64
	// minForgottenTasks is how many done tasks of a step are forgotten at once.
	minForgottenTasks = 64
)

// find returns the position of a task among those that are needed, or where it would be inserted.
func (s *step) find(index int) (at int, found bool) {
	return slices.BinarySearchFunc(s.tasks, index, func(t *task, index int) int { return cmp.Compare(t.index, index) })
}

// task returns a task of the step and creates it if needed; nil if it is done and has been forgotten.
func (s *step) task(index int) *task {
	if s.spec.Gang {
		s.createAllTasks()
	}
	if at, found := s.find(index); found {
		return s.tasks[at]
	}
	if s.occurrence.job.done.Contains(s.firstNumber + int64(index)) {
		return nil
	}
	return s.createTask(index)
}

// createTask creates a task, done or not, unless it exists.
func (s *step) createTask(index int) *task {
	at, found := s.find(index)
	if !found {
		t := &task{step: s, index: index}
		t.done = s.occurrence.job.done.Contains(t.number())
		s.tasks = slices.Insert(s.tasks, at, t)
	}
	return s.tasks[at]
}

// createFirstTasks creates tasks of a step that is ready to start: all, or those of a gang, unless the
// occurrence is large.
func (s *step) createFirstTasks() {
	if s.spec.Gang || s.occurrence.job.taskNumbers.PerOccurrence() <= maxTasksCreatedAtOnce {
		s.createAllTasks()
	}
}

// createAllTasks creates the tasks that have not been created; those of a gang also if they are done.
func (s *step) createAllTasks() {
	for ; s.nextTask < s.spec.Count; s.nextTask++ {
		if s.spec.Gang || !s.occurrence.job.done.Contains(s.firstNumber+int64(s.nextTask)) {
			s.createTask(s.nextTask)
		}
	}
}

// hasMoreTasks reports whether tasks of the step that are not done have not been created.
func (s *step) hasMoreTasks() bool {
	s.skipKnownTasks()
	return s.nextTask < s.spec.Count
}

// skipKnownTasks advances nextTask to a task that is not done and has not been created.
func (s *step) skipKnownTasks() {
	for s.nextTask < s.spec.Count {
		s.nextTask = min(int(s.occurrence.job.done.NextAbsent(s.firstNumber+int64(s.nextTask))-s.firstNumber), s.spec.Count)
		if _, known := s.find(s.nextTask); !known {
			return
		}
		s.nextTask++
	}
}

// createMoreTasks creates the next few tasks of a step that has more. It returns the position of the first
// one.
func (s *step) createMoreTasks() int {
	first := s.nextTask
	for n := 0; n < tasksPerCreation && s.hasMoreTasks(); n++ {
		s.createTask(s.nextTask)
		s.nextTask++
	}
	at, _ := s.find(first)
	return at
}

// forgetDoneTasks forgets the done tasks of a large step, many at a time.
func (p *Pool) forgetDoneTasks(s *step) {
	if s.spec.Gang || len(s.tasks) < minForgottenTasks {
		return
	}
	s.doneTasksKept++
	if s.doneTasksKept < minForgottenTasks || 2*s.doneTasksKept < len(s.tasks) {
		return
	}
	s.doneTasksKept = 0
	s.tasks = slices.DeleteFunc(s.tasks, func(t *task) bool {
		forget := !p.isTaskNeeded(t)
		if forget {
			s.forgottenFailures += len(t.failures)
		}
		return forget
	})
}

// isTaskNeeded reports whether more has to be kept of a task than that it is done, if it is.
func (p *Pool) isTaskNeeded(t *task) bool {
	return !t.done || t.current != nil || t.lateStarts.LastExpiry() > p.now || len(p.unansweredStarts(t)) > 0
}
