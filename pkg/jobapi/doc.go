// Package jobapi serves foldarch's own API of jobs (api/jobs.yaml): submit a job of steps, read its
// state, cancel it, and count the jobs that wait in a queue.
//
// It offers the same operations as the jobs API of the users' platform (platform.JobHandler), with
// foldarch's own names and the result codes of package result. Both call the same functions of package
// jobhost. The protocol code is generated into package jobsapi.
//
// The API is served on the operators' address: operators read and cancel the jobs of all customers, and
// count waiting jobs, without a key. Since a job belongs to a customer, a job for a queue that requires
// keys is submitted with that customer's key.
//
// # Usage
//
//	service := platform.JobService{Config: …, Admit: …, Submit: …, State: …, Cancel: …, Pending: …}
//	handler, err := jobapi.New(service)
//	mux.Handle("/v1/", handler)
//
//	PUT /v1/queues/fits/jobs/5c0e7a21d94b36f8
//	{"spec":"alloy 7","steps":[{"count":4,"cpu_millis":500,"memory_mb":256}]}
//	->
//	202 {"id":"5c0e7a21d94b36f8","state":"queued"}
package jobapi
