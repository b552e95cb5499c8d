// Package job defines the model of a job: what a caller submits, its progress, and how both are encoded
// for the store.
//
// A Job has Steps; a step has Count tasks that need the same resources. A step may start when all tasks
// of the steps in After are done. A job with a Schedule runs its steps once for each occurrence of the
// schedule; a job without one has the single occurrence 0.
//
// Record is the stored value of an accepted job. The host that accepts the job writes it once, and the
// job's outcome replaces it when the job has ended. Progress is stored beside it by the owner of the
// pool. It contains which tasks are done, how often a task has failed, and the last checkpoint.
//
// # Usage
//
//	text, err := job.Record{Job: j, Queue: q}.Encode()
//	record, err := job.DecodeRecord(text)
package job
