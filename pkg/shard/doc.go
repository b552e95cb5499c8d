// Package shard contains the engine that does the work of a shard's owner. An Engine
// belongs to one epoch of ownership and runs in one process. It applies the decisions of
// the packages placement, routing, keys and batch, which do no I/O, to the workers, the
// endpoints and the store.
//
// An engine runs these goroutines:
//
//	expiry      refuses requests whose deadline has passed
//	placement   decides which waiting task starts on which worker
//	worker      one for each worker: sends commands, renews leases, processes reports
//	health      asks endpoints how many requests they run when the owner can't know it
//	journal     writes batch entries to the store in groups
//	removal     removes batch segments that are no longer needed
//	recovery    runs once: reads the batch requests from the store
//
// One lock guards the state. It is held while a decision is made, and never while anything
// is sent. A decision about a request reaches the goroutine of its caller through a channel
// of size 1. Commands to a worker are collected in its workerController, whose goroutine is
// woken through a channel of size 1.
//
// Right before anything is sent to a worker or an endpoint, the engine checks on the
// monotonic clock that its authority over the shard has not ended. Commands to workers
// also carry the time at which it ends.
//
// # Files
//
// Commands and queries are in separate files: engine.go has the life cycle of an engine,
// call.go, retry_budget.go and batch.go the requests of callers, tasks.go,
// worker_controller.go and worker_reports.go the tasks on workers, health.go the state of
// endpoints, segment_removal.go the removal of batch segments, queries.go what only reads.
//
// # Usage
//
//	e := shard.New(ctx, shard.Config{Shard: id, Epoch: epoch, …}, deps)
//	e.SetTree(tree)
//	e.SetHosts(hosts)
//	go e.Run()
//	answer := e.Call(ctx, shard.Call{Service: "scoring", Caller: "kbo", Body: body})
package shard
