// Package entry is the process on an entry host. It is the door for callers, and it is
// the place where the owners of shards live: routing of requests and placement of tasks
// run in one process, because two would not fit the memory that a host has for them
// (docs/design/one-program.md).
//
// A Process joins these duties, each a goroutine:
//
//	callers     answers callers and operators over HTTP (package entryapi)
//	peers       answers other processes over drpc (package peer)
//	watch       follows the settings head and the shard records in the store
//	hosts       reads the platform's host list
//	beats       exchanges with other processes what each knows of itself
//	ownership   keeps authority over shards (package ownership)
//	engines     starts and stops a shard.Engine with each epoch of ownership
//
// A request goes from the door to the owner of a shard, in this process or by Forward in
// another, and the owner calls the endpoint. A request with a key goes to the key's home
// shard; one without goes to the shard with free slots that is nearest.
//
// # Files
//
// process.go has the life of a process; settings_duty.go, membership.go and engines.go
// its duties; calls.go and batches.go what callers command, forward.go the way to the
// owner, operator_commands.go and operator_queries.go what operators use.
//
// # Usage
//
//	cfg, err := procconf.Load("entry.toml")
//	p, err := entry.New(cfg, log)
//	err = p.Run(ctx) // until ctx ends, then a planned stop
package entry
