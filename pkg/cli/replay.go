package cli

import (
	"os"

	"foldarch.dev/foldarch/pkg/replay"
	"github.com/cockroachdb/errors"
)

// ReplayCommand runs a recorded trace through the decisions.
type ReplayCommand struct {
	Trace string `arg:"" help:"File of events, one JSON object a line."`
}

// Help gives an example.
func (ReplayCommand) Help() string {
	return "Example:\n\n  foldarch replay test/cases/routing/full_queue/trace.jsonl\n  at=3 request=r4 decision=queue_full retry_after_ms=200"
}

// Run prints one line for each decision.
func (c ReplayCommand) Run(e *env) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return err
	}
	defer f.Close()
	return errors.Wrap(replay.Run(f, e.out), c.Trace)
}
