// Package crash finds out which tasks crash the workers that start them, from the crashes of workers and
// the starts that preceded them.
//
// It identifies jobs, tasks and workers by ID only. Package dispatch reports to it which starts may have
// crashed a worker, and asks it when to give up a task's job.
//
// Neither a History nor a TaskRecord is safe for concurrent use.
//
// # What counts as a cause
//
// A task may crash each worker that starts it. Such a task is given up after it has crashed a few workers,
// and no other task is:
//
//   - A start that its worker has survived (HasSurvived) is not the cause of a crash.
//   - When a worker crashes, each start there that it has not survived yet is counted against its task.
//     That includes tasks that only ran beside the cause, so one crash proves nothing.
//   - A task with a crash against it is started again on a worker where no other run is recent
//     (ProbeFitness). If that worker crashes, only this task can be the cause, and the crash is conclusive,
//     unless other workers crashed at the same time, or the worker at this address had crashed before under
//     other tasks (History.Add).
//   - After two conclusive crashes in a row the task's job is given up. A start that its worker survives
//     removes all crashes counted against the task.
//
// # What is stored
//
// Most starts are not put into the store before they are ordered: a later owner gets the running tasks
// from the workers' reports. A worker that has crashed reports nothing. So the starts of tasks that may be
// the cause of a crash are stored first, as attempts. An attempt stays in the store until its worker has
// survived the start, and a later owner that finds the worker lost counts a crash (TaskRecord.AddAttempt,
// TaskRecord.Load).
//
// # Usage
//
//	h := crash.NewHistory(time.Second, now)
//	c := crash.NewCrash("w1@1", address, lastSeenAt, starts)
//	h.Add(c, silent, now)
//	for _, s := range starts {
//		t := tasks[s.Task]
//		if t.AddCrash(c.RecordFor(s)) && t.ShouldGiveUp(h.ConclusiveCrashesNeeded(s.Task.Job, workers, now)) {
//			// give the job up
//		}
//	}
package crash
