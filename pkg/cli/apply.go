package cli

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/entry/entryapi"
	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/settings"
	"foldarch.dev/foldarch/pkg/store"
	"github.com/cockroachdb/errors"
)

// ApplyCommand replaces the settings in force with the declarations of a directory.
type ApplyCommand struct {
	storeFlags
	Dir     string         `arg:"" help:"Directory of declarations."`
	Author  string         `default:"operator" env:"USER" help:"Who makes the change."`
	Note    string         `help:"Why the change is made."`
	Base    int64          `default:"-1" help:"Refuse unless this revision is in force."`
	Wait    bool           `help:"Return when every live process has the change in force; needs --entry."`
	Entry   netip.AddrPort `env:"FOLDARCH_ENTRY" help:"Callers' address of an entry host, for --wait." placeholder:"ADDRESS"`
	Timeout time.Duration  `default:"30s" help:"How long --wait waits."`
}

// Help returns the detailed help text with an example; kong calls it.
func (ApplyCommand) Help() string {
	return "The settings are changed as a whole or not at all. When someone else changed them since,\nthe command is refused and names the other change.\n\nExample:\n\n  foldarch apply --store 127.0.0.1:7000 --note \"more scoring\" declarations\n  revision 8 is accepted"
}

// Run applies the directory. With --wait it returns only when every live process uses the new revision.
func (c ApplyCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+c.Timeout)
	defer cancel()
	if c.Wait && !c.Entry.IsValid() {
		return errors.New("--wait needs --entry")
	}
	docs, tree, err := readDeclarations(e, c.Dir)
	if err != nil {
		return err
	}
	repository, err := c.openRepository(e.clk)
	if err != nil {
		return err
	}
	current, err := loadCurrentSettings(ctx, repository)
	if err != nil {
		return err
	}
	if err := settings.CheckLayout(current.tree.Layout, tree.Layout); err != nil {
		return err
	}
	if c.Base >= 0 && c.Base != current.head.Revision {
		return conflictError(ctx, repository, c.Base)
	}
	if len(settings.CompareDocuments(current.docs, docs)) == 0 {
		fmt.Fprintf(e.out, "nothing differs from revision %d\n", current.head.Revision)
		return nil
	}
	next, err := repository.Apply(ctx, current.head, docs, revision.Change{Author: c.Author, Note: c.Note})
	if errors.Is(err, store.ErrConflict) {
		return conflictError(ctx, repository, current.head.Revision)
	}
	if err != nil {
		return errors.Wrap(err, "nothing was changed")
	}
	fmt.Fprintf(e.out, "revision %d is accepted\n", next.Revision)
	if !c.Wait {
		return nil
	}
	return waitUntilInForce(ctx, e, c.Entry, next.Revision, c.Timeout)
}

// conflictError returns the error for an operator whose change is based on revision base although another
// change was accepted since. It names that change's revision, author, time and note if the history can be
// read.
func conflictError(ctx context.Context, repository *revision.Repository, base int64) error {
	commits, err := repository.History(ctx, 1)
	if err != nil || len(commits) == 0 {
		return errors.Newf("the settings have moved on from revision %d; nothing was changed", base)
	}
	other := commits[0]
	return errors.Newf("the settings have moved on from revision %d to %d, by %s at %s (%s); nothing was changed",
		base, other.Revision, other.Author, other.At.Format(time.RFC3339), other.Note)
}

// waitUntilInForce polls the status of an entry host until that host and all its live peers have at least the
// given revision, or until limit has passed.
func waitUntilInForce(ctx context.Context, e *commandEnv, address netip.AddrPort, revision int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client, err := entryapi.NewClient("http://" + address.String())
	if err != nil {
		return errors.Wrap(err, "entry host")
	}
	outdated := "no answer"
	for ctx.Err() == nil {
		status, err := client.ReadCellStatus(ctx)
		if err == nil {
			if outdated = describeOutdated(status, revision); outdated == "" {
				fmt.Fprintf(e.out, "revision %d is in force in %d processes\n", revision, 1+len(status.Peers))
				return nil
			}
		}
		_ = store.Backoff(ctx, 1)
	}
	return errors.Newf("revision %d is accepted, but not in force everywhere after %s: %s", revision, limit, outdated)
}

// maxLivePeerAge is the age of the last heartbeat above which a peer counts as dead: waitUntilInForce does
// not wait for it.
const maxLivePeerAge = 15 * time.Second

// describeOutdated returns a text about the first process, the entry host itself or a live peer, that has an
// older revision, or "" if there is none.
func describeOutdated(s *entryapi.ProcessStatus, revision int64) string {
	if s.Revision < revision {
		return fmt.Sprintf("%s has revision %d", s.ID, s.Revision)
	}
	for _, p := range s.Peers {
		if p.Revision < revision && p.AgeMs < maxLivePeerAge.Milliseconds() {
			return fmt.Sprintf("%s has revision %d", p.ID, p.Revision)
		}
	}
	return ""
}
