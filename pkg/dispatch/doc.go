// Package dispatch decides, for the owner of a pool, which task of which job starts on
// which worker, and what the reports of workers mean for the jobs.
//
// The package is pure: events with a clock reading go in, and Plan gives the actions to be
// carried out. It is not safe for concurrent use; package poolowner drives it.
//
// # What is certain about a run
//
// A run counts against its worker's room from the moment its start is decided until the
// worker has listed its end, or it is certain that it can't run:
//
//   - the start was rejected, or was never sent;
//   - a hold with a higher fencing token was answered after the start, and lists the run
//     neither as active nor as finished (a call with a lower token does nothing any more);
//   - the life of the worker has ended, and it had listed the run (lives.go);
//   - the latest deadline that was ever sent to the worker has passed on its clock, and the store
//     has named this owner after that (confirmation.go).
//
// Only then may the task start elsewhere, so no task runs twice.
//
// # Lives of a worker
//
// A worker that starts again under its name is another worker: its WorkerID has the beginning of its life. What its lists, its
// entry and late answers mean for the life before is decided in lives.go.
//
// # Taking over
//
// A new owner first raises the fence on every worker and adopts what their reports list.
// While a worker has not answered, jobs that a former owner may have known keep waiting,
// until everything that owner can have started there has lapsed (takeover.go).
//
// # Order and room
//
// Each plan goes through the steps that wait, in the order of what their end is still worth (order.go).
// A step gets workers with room (place.go), or has runs of lower priorities stopped (preempt.go); what it
// still waits for is held from later steps (reserve.go). Which workers may run a step is learned by calls for
// advice (naming.go, advice.go), which steps that starve get first (starving.go). Sums are kept for
// each pool (load.go).
//
// # Packages below
//
// Rules that depend on figures, and not on jobs and workers, stand in packages that know nothing of this one:
//
//   - admission: which queues take in no jobs for now (refusals.go sums up what is owed), and which customers no more than their weights (limits.go)
//   - advice: what calls for advice cost, how many workers they name, who makes them, and what their
//     answers tell of queues (advice.go and naming.go find the workers and keep the tickets)
//   - pace: how fast tasks go that fill what others leave (pace.go has the runs)
//   - worth: what the end of a step is still worth, and the order of steps by that (order.go)
//   - latestart: starts that another life of a worker may carry out, and what they keep tasks from (late_starts.go says which are of that kind)
//   - crash: which tasks crash the workers that start them (crash.go has the workers, attempt.go the starts, probe.go the choice of workers)
//   - outcome: how jobs ended
//   - runend: when runs are expected to end, and when there is room (predict.go has the runs)
//   - preemption: which runs are stopped to make room (preempt.go says which may be)
//   - fit: how many tasks there is room for, and how well a worker suits a task (place.go)
//   - workerid: the id of one life of a worker
//   - account: what a customer has running, and how much more its quota lets it start (quota.go, unheard.go, beyond.go book and ask)
//
// # Usage
//
//	p := dispatch.New(cfg)
//	p.PutWorker(info, now)
//	p.AddJob(record, progress, now)
//	actions := p.Plan(now)
//	// carry them out; tell the answers: p.HandleStartAnswer(…), p.HandlePollAnswer(…)
//	commit := p.PrepareCommit()
//	// write it to the store, then p.Committed(commit)
package dispatch
