// Package queue defines the configuration of the queues to which callers submit jobs, and of the pools of
// workers that run them.
//
// A Config is one version of the configuration and does not change once it is built. Find selects the
// queue of a request by its host name and the longest matching prefix of its path.
//
// # Usage
//
//	cfg := queue.NewConfig(7, queues, pools)
//	q, rest, ok := cfg.Find("jobs.example", "/recap/5c0e7a21d94b36f8")
package queue
