// Package jobapi serves foldarch's own API of jobs (api/jobs.yaml): hand in a job of steps, read
// how far it is, cancel it, and count what waits in a queue.
//
// It says the same as the door of the users' platform, in the product's own words and with the
// result codes of package result; both lead to the same functions of package jobhost. The code
// of the wire is generated into package jobsapi.
//
// Its address is the operators': they read and cancel the jobs of all customers, and count what waits, without a key.
// A job belongs to a customer, so one for a queue that needs keys is handed in with that customer's.
//
// # Usage
//
//	handler, err := jobapi.New(platform.Jobs{Config: …, Admit: …, Submit: …, State: …, Cancel: …, Pending: …})
//	mux.Handle("/v1/", handler)
//
//	PUT /v1/queues/fits/jobs/5c0e7a21d94b36f8
//	{"spec":"alloy 7","steps":[{"count":4,"cpu_millis":500,"memory_mb":256}]}
//	->
//	202 {"id":"5c0e7a21d94b36f8","state":"queued"}
package jobapi
