// Package dispatch decides, for the owner of a pool, which task of which job starts on which worker, and
// what the reports of workers mean for the jobs.
//
// The package does no I/O: its callers pass in events with a clock reading, and Plan returns the actions to
// be carried out. It is not safe for concurrent use; package poolowner drives it.
//
// # When a run counts against its worker
//
// A run counts against its worker's room from the moment its start is decided until the worker has reported
// its end, or until it is certain that it can't run:
//
//   - the start was rejected, or was never sent;
//   - a poll with a higher fencing token, sent after the start, was answered, and the report lists the run
//     neither as active nor as finished (an order with a lower token no longer has any effect);
//   - the worker's incarnation has ended, and it had reported the run (incarnations.go);
//   - the latest deadline that was ever sent to the worker has passed on its clock, and the store has named
//     this owner after that (ownership_confirmation.go).
//
// Only then may the task start elsewhere, so no task runs twice.
//
// # Incarnations of a worker
//
// A worker that restarts under its name is a new incarnation with an ID of its own: its WorkerID includes
// the time at which the incarnation started. incarnations.go decides what the reports, the entry and the
// late answers of one incarnation mean for the one before.
//
// # Takeover
//
// A new owner first raises the fencing token on every worker and adopts the runs that the workers report.
// While a worker has not answered, the jobs that a previous owner may have started stay blocked until the
// leases of everything that owner can have started there have expired (takeover.go).
//
// # Planning
//
// Each plan goes through the waiting steps in the order of what their ends are still worth (rank.go). A step
// gets workers with room (placement.go), or has runs of lower priorities stopped (preempt.go); the workers
// it still waits for are reserved against later steps (reservations.go). Advice calls find out which workers
// may run a step (advice_targets.go, advice.go); delayed_advice.go says which steps get them before their
// turn. The gang of a customer that has waited longest may be promoted before all other steps
// (gang_promotion.go). Totals are kept for each pool (pool_load.go).
//
// # Packages that dispatch relies on
//
// Rules that depend on figures rather than on jobs and workers are in packages that don't import this one:
//
//   - admission: which queues accept no jobs for now (refused_queues.go sums up the pending work), and which
//     customers may send no more than their weights allow (customer_limits.go)
//   - advice: what advice calls cost, how many workers they ask about, who makes them, and what their
//     answers say about queues (advice.go and advice_targets.go choose the workers and keep the tickets)
//   - pace: how fast filler tasks run (pace.go has the runs)
//   - worth: what the end of a step is still worth, and the rank of steps that follows from it (rank.go)
//   - latestart: starts that a later incarnation of a worker may still carry out, and how they block tasks
//     (late_starts.go says which starts are of that kind)
//   - crash: which tasks crash the workers that start them (crash.go has the workers, stored_starts.go the
//     starts, probe.go the choice of workers)
//   - outcome: how jobs ended
//   - runend: when runs are expected to end, and when there is room (expected_ends.go has the runs)
//   - preemption: which runs are stopped to make room (preempt.go says which runs may be stopped)
//   - fit: how many tasks there is room for, and how well a worker suits a task (placement.go)
//   - workerid: the ID of one incarnation of a worker
//   - account: what a customer has running, and how much more its quota lets it start (quota.go,
//     unreported.go and over_share.go use it)
//
// # Usage
//
//	p := dispatch.New(cfg)
//	p.UpsertWorker(info, listed, now)
//	p.AddJob(record, progress, stored, age, now)
//	actions := p.Plan(now)
//	// carry them out, and pass on the answers: p.HandleStartAnswer(…), p.HandlePollAnswer(…)
//	commit := p.PrepareCommit()
//	// write it to the store, then p.ApplyCommit(commit)
package dispatch
