// Package logring has the log of a process that never blocks: lines go through a bounded
// ring to a writer of their own. Lines that find the ring full are dropped and counted, and
// the count is written when there is room again.
//
// # Usage
//
//	w := logring.New(os.Stdout, 4096)
//	defer w.Close()
//	log.SetOutput(w)
package logring
