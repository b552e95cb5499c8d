// Package job has the model of a job: what a caller hands in, how far it is, and how both
// are kept in the store.
//
// A Job has Steps, a step has Count tasks that ask for the same resources. A step's turn
// has come when all tasks of the steps in After are done. A job with a Schedule runs its
// steps once for each Time of the schedule; one without has the single time 0.
//
// Record is the value that an accepted job has in the store. It is written once by the host
// that accepts the job, and replaced by its outcome when the job has ended. Progress is kept
// beside it by the owner of the pool and tells which tasks are done, how often a task has
// failed, and the last checkpoint.
//
// # Usage
//
//	text, err := job.Record{Job: j, Queue: q}.Encode()
//	record, err := job.DecodeRecord(text)
package job
