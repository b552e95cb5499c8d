// Package logring provides a log writer that never blocks its callers. Lines are put into a bounded buffer,
// and a background goroutine writes them to the output. Lines that arrive while the buffer is full are
// dropped and counted; the count is logged with the next write.
//
// # Usage
//
//	w := logring.New(os.Stdout, 4096)
//	defer w.Close()
//	log.SetOutput(w)
package logring
