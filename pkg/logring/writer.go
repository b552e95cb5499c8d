package logring

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	closeTimeout = 200 * time.Millisecond
	// batchDelay is how long lines are collected for one write of at most maxWriteBytes. A write of that size
	// to a pipe is atomic, so lines are not split.
	batchDelay    = 20 * time.Millisecond
	maxWriteBytes = 4000
)

// Writer writes log lines in the background. It is safe for concurrent use.
type Writer struct {
	ring    chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer that buffers up to size lines.
func New(out io.Writer, size int) *Writer {
	w := &Writer{ring: make(chan []byte, size), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write adds a line to the buffer, or drops it if the buffer is full. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.ring <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines that have not been reported in the log.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the buffered lines and stops the writer. It waits at most twice closeTimeout for the output.
func (w *Writer) Close() {
	select {
	case w.ring <- nil:
	case <-time.After(closeTimeout):
		return
	}
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the buffered lines until the writer is closed. It collects lines for batchDelay, so that one
// system call writes several.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	var buffer bytes.Buffer
	flush := func() {
		_, _ = out.Write(buffer.Bytes())
		buffer.Reset()
	}
	for line := range w.ring {
		if line == nil {
			return
		}
		buffer.Write(line)
		time.Sleep(batchDelay)
		open := w.drain(&buffer, flush)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(&buffer, "level=warning msg=log_lines_dropped count=%d\n", n)
		}
		flush()
		if !open {
			return
		}
	}
}

// drain moves all lines from the ring to buffer, which it flushes before it would exceed maxWriteBytes. It
// reports whether the writer is still open.
func (w *Writer) drain(buffer *bytes.Buffer, flush func()) bool {
	for {
		select {
		case line := <-w.ring:
			if line == nil {
				return false
			}
			if buffer.Len()+len(line) > maxWriteBytes {
				flush()
			}
			buffer.Write(line)
		default:
			return true
		}
	}
}
