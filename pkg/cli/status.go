package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"github.com/cockroachdb/errors"
)

// StatusCommand shows the state of the cell as one entry host knows it.
type StatusCommand struct {
	entryFlags
}

// Help returns the detailed help text with an example; kong calls it.
func (StatusCommand) Help() string {
	return "Example:\n\n  foldarch status --entry 127.0.0.1:8080"
}

// Run prints a table of the shards and one of the peers, or JSON.
func (c StatusCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	client, err := c.newClient()
	if err != nil {
		return err
	}
	status, err := client.ReadCellStatus(ctx)
	if err != nil {
		return errors.Wrapf(err, "status of %s", c.Entry)
	}
	if c.JSON {
		return printJSON(e.out, status)
	}
	printStatus(e.out, status)
	return nil
}

// newClient returns a client of the entry host's API.
func (f entryFlags) newClient() (*entryapi.Client, error) {
	client, err := entryapi.NewClient("http://" + f.Entry.String())
	return client, errors.Wrap(err, "entry host")
}

func printStatus(w io.Writer, s *entryapi.ProcessStatus) {
	fmt.Fprintf(w, "process %s  hall %s  revision %d  store %s  draining %v\n\n", s.ID, s.Hall, s.Revision, s.Store, s.Draining)
	fmt.Fprintf(w, "%-14s %-14s %-14s %6s %5s %7s %5s %7s %9s %6s\n",
		"SHARD", "OWNER", "SUCCESSOR", "EPOCH", "HERE", "WORKERS", "TASKS", "WAITING", "ENDPOINTS", "QUEUED")
	for _, r := range s.Shards {
		here := "-"
		if r.Authority {
			here = "yes"
		}
		fmt.Fprintf(w, "%-14.14s %-14.14s %-14.14s %6d %5s %7d %5d %7d %9d %6d\n",
			r.Shard, r.Owner, r.Successor, r.Epoch, here, r.Workers, r.Tasks, r.Waiting.Value, r.Endpoints, r.Queued)
	}
	fmt.Fprintf(w, "\n%-20s %-14s %-22s %8s %8s\n", "PEER", "HALL", "CALLERS' ADDRESS", "REVISION", "HEARD")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%-20.20s %-14.14s %-22s %8d %6dms\n", p.ID, p.Hall, p.Address, p.Revision, p.AgeMs)
	}
}

// printJSON writes a value of the entry API as JSON on one line.
func printJSON(w io.Writer, v json.Marshaler) error {
	text, err := v.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "encode JSON")
	}
	_, err = fmt.Fprintf(w, "%s\n", text)
	return err
}
