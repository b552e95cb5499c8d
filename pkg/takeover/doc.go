// Package takeover decides which jobs a new owner has to hold back because a former owner may have started tasks of
// them on workers that have not reported yet.
//
// Without records any job of a former term may run on any silent worker, so that one silent worker holds back all jobs.
// Two records of former owners narrow that down:
//
//   - a retired worker: its owner gave it no more starts and then stored which jobs may have a run there;
//   - the named workers of a job: no start of the job went to another worker, since its owner stored the names first.
//
// The package knows jobs by their ids and workers by their names only. Package dispatch tells it which workers are silent, and keeps the
// jobs that it holds from being started.
//
// # Usage
//
//	h := takeover.New([]takeover.Silent{
//		{Worker: "w1", Retired: true, Jobs: []job.ID{"a"}},
//		{Worker: "w2"},
//	})
//	h.Holds("a", takeover.Names{})                                    // true: w1 may run it
//	h.Holds("b", takeover.Names{})                                    // true: w2 may run anything
//	h.Holds("b", takeover.Names{Stored: true, Workers: []string{"w3"}}) // false: no start went to w1 or w2
package takeover
