// Package poolowner runs the pool of package dispatch on the host that owns it.
//
// An Owner runs these parts concurrently:
//
//	plan      carries out the decisions of the pool: starts, stops, pace changes, advice calls
//	sessions  one per worker incarnation: polls that extend leases and bring reports
//	commits   write outcomes and progress to the store before workers may forget run ends
//	jobs      watches the store for accepted and cancelled jobs
//	unknown   reads the records of jobs that workers list but that no host has reported
//	workers   watches the workers' entries in the store
//	roster    writes the workers to the store before they get tasks
//	confirm   reads the owner's record before runs of a silent worker are restarted elsewhere, and after
//	          workers have restarted
//	sole      records when the authority of all previous owners has ended
//	upkeep    carries out upkeep waves of machines
//	members   communicates with the other entry hosts (package poolrpc)
//
// # Authority
//
// A transaction of the store records the owner; its revision determines the owner's fencing tokens.
// The owner continues while it renews its lease in the store, or while most workers accept its token.
// So an outage of the store does not stop it, unless half of the workers restart meanwhile: a restarted worker
// may have been fenced by a later owner before. It ends when a worker has seen a higher token, or when
// the store names another owner.
//
// # Usage
//
//	o := poolowner.New(deps, claim)
//	err := o.Run(ctx) // until ctx ends or another owner has taken over
package poolowner
