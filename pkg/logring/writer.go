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
	// gatherFor is how long lines are gathered for one write of up to maxWrite bytes. A pipe
	// takes that many at once, so that lines are not torn apart.
	gatherFor = 20 * time.Millisecond
	maxWrite  = 4000
)

// Writer takes lines and writes them in the background.
type Writer struct {
	ring    chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer with room for size lines.
func New(out io.Writer, size int) *Writer {
	w := &Writer{ring: make(chan []byte, size), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Write takes one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.ring <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped and not yet told of in the log.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what is in the ring, as far as the output takes it soon.
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

// run gathers lines for a moment, so that one system call writes several.
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
		time.Sleep(gatherFor)
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

// drain takes what is in the ring; it says whether the writer stays open.
func (w *Writer) drain(buffer *bytes.Buffer, flush func()) bool {
	for {
		select {
		case line := <-w.ring:
			if line == nil {
				return false
			}
			if buffer.Len()+len(line) > maxWrite {
				flush()
			}
			buffer.Write(line)
		default:
			return true
		}
	}
}
