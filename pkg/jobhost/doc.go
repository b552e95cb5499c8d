// Package jobhost is the process that runs on each entry host of the users' platform. Every host accepts
// jobs from callers and keeps them in the store; one of the hosts, the owner, runs them on the workers of
// the pool.
//
// A Host consists of these parts, each of which runs in its own goroutine:
//
//	callers   answers callers' requests (platform.JobHandler)
//	ready     answers the platform's health check
//	operators serves metrics, explanations of jobs and foldarch's own jobs API
//	settings  applies changes of the settings file
//	config    watches the operator's keys in the store: the configuration, waves and evacuations
//	writer    writes accepted jobs into the store, many in one transaction
//	election  watches the owner's record, and takes over when the owner has failed
//	store     probes the store when it may be unreachable
//	lease     renews the owner's lease in the store, while this host owns the pool
//	member    maintains the link to the owner, while another host owns the pool
//	peers     serves the links of other hosts, while this host owns the pool
//
// # Usage
//
//	h, err := jobhost.New(settings, clientlimit.DefaultOptions(), log)
//	err = h.Run(ctx, path, metricsPort) // until ctx ends, then a planned stop
package jobhost
