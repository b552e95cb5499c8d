package local

import (
	"io"
	"time"
)

// Options say what to run.
type Options struct {
	Trace    string
	Duration time.Duration
	Seed     uint64
}

// Run runs the cell.
func Run(io.Writer, Options) error { return nil }
