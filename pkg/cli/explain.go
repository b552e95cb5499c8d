package cli

import (
	"context"
	"fmt"

	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"github.com/cockroachdb/errors"
)

// ExplainCommand shows the rules of a workload and the placement decisions about its tasks.
type ExplainCommand struct {
	entryFlags
	Workload string `arg:"" help:"Name of the workload."`
}

// Help returns the detailed help text with an example; kong calls it.
func (ExplainCommand) Help() string {
	return "Example:\n\n  foldarch explain --entry 127.0.0.1:8080 scoring"
}

// Run prints a table of the rules with the level each came from and a table of the decisions, or both as
// JSON.
func (c ExplainCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	client, err := c.newClient()
	if err != nil {
		return err
	}
	got, err := client.ExplainWorkload(ctx, entryapi.ExplainWorkloadParams{Workload: c.Workload})
	if err != nil {
		return errors.Wrapf(err, "explain %s", c.Workload)
	}
	if c.JSON {
		return printJSON(e.out, got)
	}
	fmt.Fprintf(e.out, "%s in revision %d\n\n%-18s %-24s %s\n", got.Workload, got.Revision, "RULE", "FROM", "VALUE")
	for _, r := range got.Rules {
		fmt.Fprintf(e.out, "%-18s %-24.24s %.56s\n", r.Key, r.Level, r.Value)
	}
	fmt.Fprintf(e.out, "\n%-28s %-14s %s\n", "TASK", "SHARD", "DECISION")
	for _, t := range got.Tasks {
		fmt.Fprintf(e.out, "%-28.28s %-14.14s %s\n", t.Task, t.Shard, t.Decision)
	}
	return nil
}
