// Package crash tells which tasks crash the workers that start them, from the crashes of workers and the starts that preceded them.
//
// It knows jobs, tasks and workers by id only. Package dispatch tells it which starts may have ended a worker, and asks it when a task's job is given up.
//
// Neither a History nor a Task is safe for concurrent use.
//
// # What counts as a cause
//
// A task may crash each worker that starts it. Such a task is given up after a few workers, and nothing else is:
//
//   - A start that a worker has been seen to survive (Proven) is no cause of its end.
//   - When a worker crashes, each start there that is not proven is counted against its task. What ran
//     beside the cause is counted, too, so one crash proves nothing.
//   - A task with a crash against it is started again on a worker where nothing else is beginning (ProbeFitness). A
//     crash then says that this task is the cause, unless other workers crashed at the same time, or the
//     one at this address had crashed before under other tasks (History.Add).
//   - Two such crashes in a row give the task's job up. A start that is survived takes all of them back.
//
// # What is stored
//
// Most starts are not put into the store before they are ordered: a later owner reads what runs back from the
// workers. A worker that has crashed tells nothing. So the starts of tasks that may be the cause of a crash
// are stored first: an attempt stands in the store until the worker has been seen to survive it, and a later owner that finds
// the worker gone counts the crash (Task.Attempt, Task.Load).
//
// # Usage
//
//	h := crash.NewHistory(time.Second, now)
//	c := crash.Of("w1@1", address, heardAt, starts)
//	h.Add(c, silent, now)
//	for _, s := range starts {
//		t := tasks[s.Task]
//		if t.Count(c.Against(s)) && t.ShouldGiveUp(h.ConclusiveCrashesNeeded(s.Task.Job, workers, now)) {
//			// give the job up
//		}
//	}
package crash
