// Package jobstore defines the keys under which foldarch keeps jobs in the platform's store, and tracks
// how current a process's copy of watched keys is (WatchStatus).
//
//	foldarch/jobs/ID          a job.Record, written by the host that accepts the job
//	foldarch/jobs/ID/cancel   exists if the job was cancelled
//	foldarch/progress/ID      a job.Progress, kept by the owner until the job has ended
//	foldarch/progress/ID/N    a job.Segment of it, for a job of many tasks
//	foldarch/owner/holder     an OwnerRecord: the host that owns the pool
//	foldarch/owner/alive      exists while the owner renews its lease
//	foldarch/owner/sole       the revision of the latest owner's record for which no earlier owner has authority any more
//	foldarch/commit/N         the owner's last commit of sequence N; replaced by every commit of it
//	foldarch/roster/WORKER    the incarnations of a worker that owners have used
//
// # Usage
//
//	id, cancel := jobstore.ParseJobKey(item.Key)
//
//	s := jobstore.NewWatchStatus(jobstore.JobsPrefix, clk, log)
//	s.RecordFailure(err)         // a watch failed: logs keys_lost, once
//	s.RecordCurrent(requestedAt) // a list was read: logs keys_regained
//	s.Age()                      // how old the copy is
package jobstore
