// Package takeover decides which jobs a new owner has to block because a previous owner may have started
// tasks of them on workers that have not reported yet.
//
// Without records, any job of an earlier term may run on any silent worker, so a single one blocks all
// jobs. Two records that previous owners keep in the store narrow that down:
//
//   - a retired worker: its owner sent it no more starts, and then stored which jobs may have a run there;
//   - the recorded workers of a job: no start of the job went to another worker, since its owner stored
//     their names first.
//
// The package identifies jobs by ID and workers by name only. Package dispatch reports which workers are
// silent, and starts no tasks of jobs that are blocked.
//
// # Usage
//
//	b := takeover.NewBlockedJobs([]takeover.SilentWorker{
//		{Worker: "w1", Retired: true, Jobs: []job.ID{"a"}},
//		{Worker: "w2"},
//	})
//	b.IsBlocked("a", takeover.StoredWorkers{}) // true: w1 may run it
//	b.IsBlocked("b", takeover.StoredWorkers{}) // true: w2 may run any job
//	stored := takeover.StoredWorkers{Complete: true, Workers: []string{"w3"}}
//	b.IsBlocked("b", stored) // false: no start went to w1 or w2
package takeover
