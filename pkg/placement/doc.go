// Package placement decides which worker runs which task, and in which order tasks start.
// It is the owner's view of the workers of one shard. The owner alone starts tasks there,
// so what it has given out is exact, whatever the workers' own reports lag behind.
//
// The package is pure: events and clock readings go in, decisions come out; recorded
// traces replay through the code that runs, and the same trace gives the same decisions.
// It is not safe for concurrent use.
//
// # Order
//
// The classes go in order: urgent, service, batch, best-effort. Within a class the team
// goes first whose running tasks have the least dominant share (Ghodsi et al., NSDI 2011),
// within a team the task whose deadline comes first. A task that waited AgeStep moves up
// by one class, though never to urgent, so that nothing waits for ever. A task that does
// not fit does not hold up those behind it. When it has waited ReserveAfter, one worker
// is kept free for it until it fits.
//
// A team's batch tasks stay within its quota while other teams' tasks wait; what is idle
// may be borrowed.
//
// # Choice
//
// Place rules are judged first: a task never runs where they do not allow. Among the
// workers that are left, policy pack takes the one whose free processors, memory and
// accelerators it uses up most evenly, and leaves accelerators to those that need them;
// policy spread takes the rack, then the worker, with the fewest tasks of the same
// workload. Workers are indexed by free processors, so that a decision looks at a few.
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
