// Package local runs a small cell in one process on the loopback: stand-ins for the
// platform, six entry hosts in three halls, and recorded traffic. It is what `make run`
// shows, and the quickest way to see foldarch decide.
//
// # Usage
//
//	err := local.Run(os.Stdout, local.Options{Trace: "hanbit", Duration: 10 * time.Second})
package local
