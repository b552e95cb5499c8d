// Package jobhost is the process on an entry host of the users' platform: it takes in jobs
// from callers, and one of the hosts, the owner, has the pool's workers run them.
//
// A Host joins these duties, each a goroutine:
//
//	callers   answers callers (platform.Door)
//	ready     answers the platform's health check
//	config    follows the operator's configuration in the store
//	intake    puts accepted jobs into the store, many with one transaction
//	election  follows the owner's record, and takes over when the owner is gone
//	lease     renews the owner's lease in the store, while this host owns the pool
//	member    keeps the link to the owner, while another host owns the pool
//	peers     answers the links of other hosts, while this host owns the pool
//
// # Usage
//
//	h, err := jobhost.New(settings, log)
//	err = h.Run(ctx) // until ctx ends, then a planned stop
package jobhost
