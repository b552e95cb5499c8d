package cli

import (
	"context"
	"fmt"
	"time"
)

// HistoryCommand lists the revisions of the settings, the one in force first.
type HistoryCommand struct {
	storeFlags
	Count int `short:"n" default:"20" help:"How many."`
}

// Help returns the detailed help text with an example; kong calls it.
func (HistoryCommand) Help() string {
	return "Example:\n\n  foldarch history --store 127.0.0.1:7000\n  REVISION  AT                    AUTHOR        FILES  NOTE"
}

// Run prints one line for each revision.
func (c HistoryCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	repository, err := c.openRepository(e.clk)
	if err != nil {
		return err
	}
	commits, err := repository.History(ctx, c.Count)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%-9s %-21s %-13s %-6s %s\n", "REVISION", "AT", "AUTHOR", "FILES", "NOTE")
	for _, commit := range commits {
		fmt.Fprintf(e.out, "%-9d %-21s %-13.13s %-6d %.46s\n", commit.Revision, commit.At.Format(time.RFC3339),
			commit.Author, len(commitFiles(commit)), commit.Note)
	}
	return nil
}
