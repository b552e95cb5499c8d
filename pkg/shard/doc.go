// Package shard is the owner of one shard at work. An Engine lives as long as one epoch
// of ownership in one process. It joins the pure decisions (placement, routing, keys,
// batch) to the workers, the endpoints and the store.
//
// The duties of an engine, each a goroutine:
//
//	expiry      refuses requests whose deadline has come
//	placing     decides which waiting task starts where
//	worker      one for each worker: sends commands, renews leases, takes in reports
//	health      asks endpoints for what they run when that is in doubt
//	journal     writes batch entries to the store in groups
//	removal     removes batch segments that are of no use any more
//	recovery    once: reads the batch requests and waits for the workers' reports
//
// State is guarded by one lock, held for the time of a decision and never while anything
// is sent. Each worker duty and each request has a channel of its own through which the
// decisions reach it; all are bounded.
//
// Every send to a worker or an endpoint is preceded, at the last moment, by a look at the
// authority on the monotonic clock; commands to workers carry its end as well.
//
// # Files
//
// Commands and queries stand apart: engine.go has the life of an engine, call.go and
// batch.go what callers command, tasks.go and worker_duty.go the work on workers,
// health.go the endpoints, queries.go what is only read.
//
// # Usage
//
//	e := shard.New(ctx, shard.Config{Shard: id, Epoch: epoch, …}, deps)
//	e.SetTree(tree)
//	e.SetHosts(hosts)
//	go e.Run()
//	answer := e.Call(ctx, shard.Call{Service: "scoring", Caller: "kbo", Body: body})
package shard
