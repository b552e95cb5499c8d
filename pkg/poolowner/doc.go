// Package poolowner drives the decisions of package dispatch on the host that owns a pool.
//
// An Owner joins these duties:
//
//	plan      carries out what the pool decides: starts, stops, calls for advice
//	sessions  one a worker: a waiting hold that renews leases and reports ends
//	commits   writes outcomes and progress into the store, before workers forget ends
//	jobs      follows the accepted and cancelled jobs in the store
//	workers   follows the workers' entries in the store
//	roster    writes which workers are in use into the store, before they get tasks
//	members   talks with the other entry hosts (package poolrpc)
//
// # Authority
//
// The owner was put on record by a transaction of the store, whose revision makes its
// fencing token. It goes on while it renews its lease or while most workers accept its
// token, so that an outage of the store does not stop it. A worker that has seen a higher
// token ends it, and so does a commit that finds another owner's.
//
// # Usage
//
//	o := poolowner.New(deps, claim)
//	err := o.Run(ctx) // until ctx ends or another owner has taken over
package poolowner
