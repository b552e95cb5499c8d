// Package outcome keeps how jobs ended, for as long as callers may ask for it.
//
// It knows jobs by id only. Package dispatch puts a job's outcome here once the store has it and nothing of the job runs.
//
// Outcomes are not safe for concurrent use.
//
// # Usage
//
//	o := outcome.New()
//	o.Put("a", outcome.Outcome{State: job.Completed, Customer: "north", Since: now})
//	x, known := o.Of("a")
//	o.Forget(o.Expired(time.Minute, 100, now)) // once the store has none of them
package outcome
