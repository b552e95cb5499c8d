package cli

import (
	"context"
	"fmt"

	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
)

// RollbackCommand applies the files of an earlier revision as a new revision.
type RollbackCommand struct {
	storeFlags
	Revision int64  `arg:"" help:"Revision whose files to put in force again."`
	Author   string `default:"operator" env:"USER" help:"Who makes the change."`
}

// maxRollbackCommits is how many of the latest commits a rollback searches for its revision.
const maxRollbackCommits = 1000

// Help returns the detailed help text with an example; kong calls it.
func (RollbackCommand) Help() string {
	return "Example:\n\n  foldarch rollback --store 127.0.0.1:7000 6\n  revision 9 is accepted, with the files of revision 6"
}

// Run applies the files of the earlier revision.
func (c RollbackCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	repository, err := c.openRepository(e.clk)
	if err != nil {
		return err
	}
	head, err := repository.Head(ctx)
	if err != nil {
		return err
	}
	commits, err := repository.History(ctx, maxRollbackCommits)
	if err != nil {
		return err
	}
	for _, commit := range commits {
		if commit.Revision != c.Revision {
			continue
		}
		docs, err := repository.Documents(ctx, commit, nil)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("rollback to revision %d", c.Revision)
		next, err := repository.Apply(ctx, head, docs, revision.Change{Author: c.Author, Note: note})
		if errors.Is(err, store.ErrConflict) {
			return conflictError(ctx, repository, head.Revision)
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "revision %d is accepted, with the files of revision %d\n", next.Revision, c.Revision)
		return nil
	}
	return errors.Newf("the history has no revision %d", c.Revision)
}
