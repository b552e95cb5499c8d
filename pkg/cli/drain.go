package cli

import (
	"context"
	"fmt"

	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"github.com/cockroachdb/errors"
)

// DrainCommand makes a worker or an entry host leave the cell.
type DrainCommand struct {
	entryFlags
	Kind string `arg:"" enum:"worker,entry" help:"What leaves: worker or entry."`
	ID   string `arg:"" help:"Its id."`
}

// Help returns the detailed help text with an example; kong calls it.
func (DrainCommand) Help() string {
	return "Example:\n\n  foldarch drain --entry 127.0.0.1:8080 worker seoul-1-w3"
}

// Run sends the command to an entry host. It returns when the command is accepted, not when the target has
// left.
func (c DrainCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	client, err := c.newClient()
	if err != nil {
		return err
	}
	target := &entryapi.DrainTarget{Kind: entryapi.DrainTargetKind(c.Kind), ID: c.ID}
	if _, err := client.Drain(ctx, target); err != nil {
		return errors.Wrapf(err, "drain %s %s", c.Kind, c.ID)
	}
	fmt.Fprintf(e.out, "%s %s is leaving\n", c.Kind, c.ID)
	return nil
}
