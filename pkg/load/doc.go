// Package load drives a running cell with recorded or generated traffic and measures what
// callers see.
//
// The driver is open-loop: each request is sent at its time whether or not earlier ones
// were answered, and waiting is measured from that time, so that a slow answer does not
// hide the ones behind it (coordinated omission). Every caller's answer is compared with
// what it sent.
//
// # Usage
//
//	r := load.Run(ctx, load.Target{Entries: addresses}, events, load.Options{Speed: 10})
//	r.Print(os.Stdout)
//
// An experiment in TOML describes arrivals and mixes; see Experiment. Results are written
// as JSON by Save and compared by Compare; package loadcli draws them.
package load
