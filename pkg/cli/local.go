package cli

import (
	"time"

	"foldarch.dev/foldarch/pkg/local"
)

// LocalCommand runs a small cell in this process.
type LocalCommand struct {
	Trace    string        `default:"all" enum:"all,hanbit,association" help:"Recorded traffic: hanbit, association or all."`
	Duration time.Duration `default:"12s" help:"Time into which each recorded trace is compressed."`
	Seed     uint64        `default:"1" help:"Seed of the recorded traffic."`
}

// Help returns the detailed help text with an example; kong calls it.
func (LocalCommand) Help() string {
	return "Example:\n\n  foldarch local --trace hanbit --duration 10s"
}

// Run runs the cell with recorded traffic and prints the results.
func (c LocalCommand) Run(e *commandEnv) error {
	return local.Run(e.out, local.Options{Trace: c.Trace, Duration: c.Duration, Seed: c.Seed})
}
