// Package local runs a small cell in one process on the loopback interface: stand-ins for the platform store
// and the workers, six entry hosts in three halls, and recorded traffic. `make run` runs it, to show foldarch
// at work without an installation.
//
// # Usage
//
//	err := local.Run(os.Stdout, local.Options{Trace: "hanbit", Duration: 10 * time.Second})
package local
