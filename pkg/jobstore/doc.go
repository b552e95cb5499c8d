// Package jobstore has the keys under which foldarch keeps jobs in the platform's store, and tells how well a process
// follows keys of the store (Following).
//
//	foldarch/jobs/ID          a job.Record, written by the host that accepts the job
//	foldarch/jobs/ID/cancel   the job's caller has cancelled it
//	foldarch/progress/ID      a job.Progress, kept by the owner until the job has ended
//	foldarch/owner/holder     a Holder: the host that owns the pool
//	foldarch/owner/alive      stands while the owner renews its lease
//	foldarch/commit           the last commit of the owner; every commit replaces it
//	foldarch/roster           the workers that the owner has used
//
// # Usage
//
//	id, isCancel := jobstore.ParseJobKey(item.Key)
//
//	f := jobstore.NewFollowing(jobstore.JobsPrefix, clk, log)
//	f.Lost(err)      // a watch failed: logs keys_lost, once
//	f.Known(askedAt) // a list was read: logs keys_regained
//	f.Age()          // how old what is known is
package jobstore
