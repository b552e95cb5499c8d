// Package queue has the configuration of the queues that callers hand jobs in to, and of
// the pools of workers that run them.
//
// A Config is one version of it, read only once it is made. Find picks the queue of a
// request by its host name and the longest prefix of its path.
//
// # Usage
//
//	cfg := queue.NewConfig(7, queues, pools)
//	q, rest, ok := cfg.Find("jobs.example", "/recap/5c0e7a21d94b36f8")
package queue
