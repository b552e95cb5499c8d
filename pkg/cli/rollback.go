package cli

import (
	"context"
	"fmt"

	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
)

// RollbackCommand makes an old revision a new one.
type RollbackCommand struct {
	storeFlags
	Revision int64  `arg:"" help:"Revision whose files to put in force again."`
	Author   string `default:"operator" env:"USER" help:"Who makes the change."`
}

// historyDepth is how far back a rollback looks.
const historyDepth = 1000

// Help gives an example.
func (RollbackCommand) Help() string {
	return "Example:\n\n  foldarch rollback --store 127.0.0.1:7000 6\n  revision 9 is accepted, with the files of revision 6"
}

// Run applies the files of the old revision.
func (c RollbackCommand) Run(e *env) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	book, err := c.openBook(e.clk)
	if err != nil {
		return err
	}
	head, err := book.Head(ctx)
	if err != nil {
		return err
	}
	commits, err := book.History(ctx, historyDepth)
	if err != nil {
		return err
	}
	for _, commit := range commits {
		if commit.Revision != c.Revision {
			continue
		}
		docs, err := book.Documents(ctx, commit, nil)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("rollback to revision %d", c.Revision)
		next, err := book.Apply(ctx, head, docs, revision.Change{Author: c.Author, Note: note})
		if errors.Is(err, store.ErrConflict) {
			return moved(ctx, book, head.Revision)
		}
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "revision %d is accepted, with the files of revision %d\n", next.Revision, c.Revision)
		return nil
	}
	return errors.Newf("the history has no revision %d", c.Revision)
}
