// Package latestart keeps the starts of tasks that may still be carried out by another life of the worker that they were sent to, and
// says what they keep their tasks from.
//
// It knows tasks by the numbers of their runs, workers by name and lives of workers by number only. Package dispatch tells it of each start,
// and asks it where a task may start, under which number, and from when on ends may be noted.
//
// A Task is not safe for concurrent use.
//
// # What a late start is
//
// A start without an answer that was fenced off, or whose worker was lost, does nothing any more on the life that it was sent to. The next life of that
// worker has seen no token and may carry it out until Lasts after it was sent. Until then:
//
//   - Its task starts again at once, but only on the same worker. A life that has seen a higher token does not carry the late start out, and what ran on a
//     life that has ended does not run beside it. A task that lasts is not kept from other workers while that one can't be given it (Unbind).
//   - It starts again under the same number, until a run with that has ended: if that start gets no answer either, the next life may carry out both, and it
//     does not begin a run again that is there. A gang starts again under the same number, too.
//   - Once a run with that number has ended, the worker rejects the number, and the task does not start again before the late start is over: the next life
//     would run two starts with numbers of their own beside each other.
//   - No end of its task as done or failed, nor one of another member of its gang, is noted (Notes), so a late start does not come after an end that was.
//     The job is shown as completed all the same.
//
// Tickets are for one life, so starts with one are rejected by the next.
//
// # What a later owner learns
//
// A later owner has to know of the starts that may come late. So the store is told of one as soon as it got no answer, with its worker (Tell). What
// a later owner reads counts as a late start on that worker for Lasts, unless a worker lists it (Take). A start whose owner was gone before the store was
// told is not known.
//
// # Usage
//
//	var t latestart.Task
//	t.Add(latestart.Start{Number: 3, Life: 1, Worker: "w1", Until: now.Add(latestart.Lasts)})
//	n := latestart.Numbers{Given: 3}
//	t.MayRunOn("w2")      // false
//	t.ReusesNumberOn("w1", n)  // true: the next run there has number 3
//	n.Ended = 3           // that run has ended
//	t.Outwaits(n)         // true: nothing starts before the late start is over
package latestart
