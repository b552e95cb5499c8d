// Package entry implements foldarch-entry, the process on an entry host. The process serves
// callers and operators, and it is where the owners of shards run. Routing of requests and
// placement of tasks run in the same process, because two processes would not fit into the
// memory that a host has for them (docs/design/one-program.md).
//
// A Process runs these parts, each in goroutines of its own:
//
//   - an HTTP server for callers and operators (package entryapi)
//   - a drpc server for other processes (package peer)
//   - a watch on the settings head and the shard records in the store
//   - a poll of the platform's host list
//   - heartbeats, in which processes exchange descriptions of themselves
//   - a controller, which acquires and keeps authority over shards (package ownership)
//   - a shard.Engine for each shard that this process owns, started and stopped with each
//     epoch of ownership
//
// The process that receives a request passes it to the owner of a shard, which is in the same
// process or reached by peer.Client.Forward, and the owner calls an endpoint. A request with a
// key goes to the home shard of the key. A request without one goes to the least loaded shard,
// preferably of the process's own hall.
//
// # Files
//
// main.go has the command line, and process.go the start and the planned stop of a process.
// store_watch.go, membership.go and engines.go have its background work, and peer_listener.go
// the listener for peers. calls.go and batches.go implement the callers' API, forward.go passes
// requests to owners, and operator_commands.go and operator_queries.go implement the operators'
// API.
//
// # Usage
//
//	cfg, err := procconf.Load("entry.toml")
//	p, err := entry.New(cfg, log)
//	err = p.Run(ctx) // until ctx ends, then a planned stop
package entry
