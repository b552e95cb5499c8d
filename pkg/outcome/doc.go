// Package outcome keeps how jobs ended, for as long as callers may ask for it.
//
// It identifies jobs by ID only. Package dispatch adds a job's outcome once the store has it and nothing of
// the job runs.
//
// Outcomes are not safe for concurrent use.
//
// # Usage
//
//	o := outcome.New()
//	o.Put("a", outcome.Outcome{State: job.Completed, Customer: "north", RecordedAt: now})
//	x, known := o.Find("a")
//	o.Forget(o.Expired(time.Minute, 100, now)) // once the store has none of them
package outcome
