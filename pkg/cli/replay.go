package cli

import (
	"os"

	"foldarch.dev/foldarch/pkg/replay"
	"github.com/cockroachdb/errors"
)

// ReplayCommand replays a trace through the routing, placement and key decisions.
type ReplayCommand struct {
	Trace string `arg:"" help:"File of events, one JSON object a line."`
}

// Help returns the detailed help text with an example; kong calls it.
func (ReplayCommand) Help() string {
	return "Example:\n\n  foldarch replay test/cases/routing/full_queue/trace.jsonl\n  at=3 request=r4 decision=queue_full retry_after_ms=200"
}

// Run prints the decisions; see replay.Run.
func (c ReplayCommand) Run(e *commandEnv) error {
	f, err := os.Open(c.Trace)
	if err != nil {
		return err
	}
	defer f.Close()
	return errors.Wrap(replay.Run(f, e.out), c.Trace)
}
