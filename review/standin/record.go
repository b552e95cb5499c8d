package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes lines with the time since its start. It is safe for concurrent use.
type record struct {
	startedAt time.Time

	mu  sync.Mutex
	out io.Writer
}

func newRecord(out io.Writer) *record {
	return &record{startedAt: time.Now(), out: out}
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%7.2f %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}
