// Package placement decides which worker runs which task, and in which order tasks start.
// It holds the owner's view of the workers of one shard. Only the owner starts tasks on
// these workers, so its record of the resources in use is exact even when the workers'
// reports lag behind.
//
// The package has no clock and does no I/O: events and clock readings are arguments,
// decisions are results. A recorded trace can therefore be replayed through the
// production code, and the same trace always gives the same decisions. It is not safe for
// concurrent use.
//
// # Order
//
// The classes are served in this order: urgent, service, batch, best-effort. Within a
// class, the team whose running tasks have the lowest dominant share goes first (dominant
// resource fairness, Ghodsi et al., NSDI 2011); within a team, the task with the earliest
// deadline. To prevent starvation, a task moves up by one class for each AgeStep that it
// has waited, but never to urgent. A task that does not fit anywhere does not block the
// tasks behind it. Once it has waited for ReserveAfter, one worker is reserved for it
// until it fits there.
//
// A team's tasks stay within its quota while other teams' tasks of the same class wait;
// otherwise the team may exceed its quota and use idle resources. Urgent tasks are exempt.
//
// # Choice of the worker
//
// Place rules are hard constraints: a task never runs where they do not allow it. Among
// the allowed workers with room, policy pack prefers the one that is left with the fewest
// free resources and with processors and memory free in equal proportion, and keeps tasks
// without accelerators off workers that have some free. Policy spread prefers the rack,
// then the worker, with the fewest tasks of the same workload. Workers are indexed by
// free processors, so that a decision examines only a few of them.
//
// # Usage
//
//	p := placement.New(placement.DefaultConfig)
//	p.PutWorker(placement.Worker{ID: "w1", Site: site, Capacity: capacity})
//	p.Submit(placement.Task{ID: "fit-1", Resources: need, Class: settings.ClassBatch}, now)
//	for _, d := range p.Next(now, 100) {
//		// d.Kind == placement.Start: start d.Task on d.Worker
//	}
package placement
