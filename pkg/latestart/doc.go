// Package latestart keeps the late starts of tasks: starts that a later incarnation of the worker they were
// sent to may still carry out. It says which starts of the same tasks have to be avoided because of them.
//
// It identifies tasks by the numbers of their runs, workers by name, and incarnations of workers by number.
// Package dispatch reports each start to it, and asks it on which worker a task may start, under which run
// number, and from when on run ends may be acknowledged.
//
// A TaskStarts is not safe for concurrent use.
//
// # What a late start is
//
// A start that got no answer may have been fenced off, or its worker may have been lost. Such a start has no
// effect any more on the incarnation that it was sent to. The next incarnation of that worker has seen no
// fencing token, and may carry the start out until MaxDelay after it was sent. Until then:
//
//   - Its task starts again at once, but only on the same worker. An incarnation that has seen a higher
//     token rejects the late start, and what ran on a terminated incarnation does not run beside the new
//     run. A long-running task may go to another worker while this one can't be given it (UnbindUnusable).
//   - The task starts again under the same run number until a run with that number has ended. If that start
//     gets no answer either, the next incarnation may carry out both orders: the second one then has no
//     effect, since a worker does not begin a run again that it already has. A gang starts again under the
//     same number, too.
//   - Once a run with that number has ended, the worker rejects the number. The task is then blocked until
//     the late start has expired: under a new number, the next incarnation would run both starts beside
//     each other.
//   - No end of its task as done or failed, nor one of another member of its gang, is acknowledged
//     (AckDelays). The worker so remembers the end, and does not carry out a late start after it. The job
//     is shown as completed all the same.
//
// A ticket is valid for one incarnation, so the next one rejects starts that carry a ticket.
//
// # Late starts after a change of the owner
//
// A later owner needs the starts that may come late. So each start is put into the store, with its
// worker, as soon as its call has ended without an answer (AddUnanswered). A later owner takes each stored
// one for a late start on that worker for up to MaxDelay, unless a worker lists its run (LoadUnanswered). A
// start whose owner ended before it was stored stays unknown.
//
// # Usage
//
//	var t latestart.TaskStarts
//	t.Add(latestart.Start{Number: 3, Incarnation: 1, Worker: "w1", ExpiresAt: now.Add(latestart.MaxDelay)})
//	n := latestart.RunNumbers{LastAssigned: 3}
//	t.MayRunOn("w2")          // false
//	t.ReusesNumberOn("w1", n) // true: the next run there has number 3
//	n.LastEnded = 3           // that run has ended
//	t.IsBlocked(n)            // true: nothing starts before the late start has expired
package latestart
