// Package load sends recorded or generated traffic to a running cell and measures what callers see.
//
// The driver is open-loop: it sends each request at its scheduled time whether or not earlier requests were
// answered, and measures the waiting time from the scheduled time. A slow answer therefore does not hide the
// delay of the requests after it (coordinated omission). The driver checks that each answer to a call ends
// with the body that was sent.
//
// # Usage
//
//	r := load.Run(ctx, load.Target{Entries: addresses}, events, load.Options{Speed: 10})
//	r.Print(os.Stdout)
//
// The type Experiment describes generated traffic in TOML. Result.Save writes a result as JSON, Compare
// compares two results, and package loadcli plots one.
package load
