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

// ApplyCommand puts a directory in force.
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

// Help gives an example.
func (ApplyCommand) Help() string {
	return "The settings are changed as a whole or not at all. When someone else changed them since,\nthe command is refused and names the other change.\n\nExample:\n\n  foldarch apply --store 127.0.0.1:7000 --note \"more scoring\" declarations\n  revision 8 is in force"
}

// Run applies the directory and, if asked to, waits until it is in force.
func (c ApplyCommand) Run(e *env) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+c.Timeout)
	defer cancel()
	if c.Wait && !c.Entry.IsValid() {
		return errors.New("--wait needs --entry")
	}
	docs, tree, err := readTree(e, c.Dir)
	if err != nil {
		return err
	}
	book, err := c.openBook(e.clk)
	if err != nil {
		return err
	}
	current, err := loadCurrent(ctx, book)
	if err != nil {
		return err
	}
	if err := settings.CheckLayout(current.tree.Layout, tree.Layout); err != nil {
		return err
	}
	if c.Base >= 0 && c.Base != current.head.Revision {
		return moved(ctx, book, c.Base)
	}
	if len(settings.CompareDocuments(current.docs, docs)) == 0 {
		fmt.Fprintf(e.out, "nothing differs from revision %d\n", current.head.Revision)
		return nil
	}
	next, err := book.Apply(ctx, current.head, docs, revision.Change{Author: c.Author, Note: c.Note})
	if errors.Is(err, store.ErrConflict) {
		return moved(ctx, book, current.head.Revision)
	}
	if err != nil {
		return errors.Wrap(err, "nothing was changed")
	}
	fmt.Fprintf(e.out, "revision %d is accepted\n", next.Revision)
	if !c.Wait {
		return nil
	}
	return waitInForce(ctx, e, c.Entry, next.Revision, c.Timeout)
}

// moved names the change that came first.
func moved(ctx context.Context, book *revision.Book, base int64) error {
	commits, err := book.History(ctx, 1)
	if err != nil || len(commits) == 0 {
		return errors.Newf("the settings have moved on from revision %d; nothing was changed", base)
	}
	other := commits[0]
	return errors.Newf("the settings have moved on from revision %d to %d, by %s at %s (%s); nothing was changed",
		base, other.Revision, other.Author, other.At.Format(time.RFC3339), other.Note)
}

// waitInForce asks an entry host until it and every process it hears of have a revision.
func waitInForce(ctx context.Context, e *env, address netip.AddrPort, revision int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client, err := entryapi.NewClient("http://" + address.String())
	if err != nil {
		return errors.Wrap(err, "entry host")
	}
	behind := "no answer"
	for ctx.Err() == nil {
		status, err := client.ReadCellStatus(ctx)
		if err == nil {
			if behind = processBehind(status, revision); behind == "" {
				fmt.Fprintf(e.out, "revision %d is in force in %d processes\n", revision, 1+len(status.Peers))
				return nil
			}
		}
		_ = store.Pause(ctx, 1)
	}
	return errors.Newf("revision %d is accepted, but not in force everywhere after %s: %s", revision, limit, behind)
}

// liveAge is how old a beat of a live process may be.
const liveAge = 15 * time.Second

func processBehind(s *entryapi.ProcessStatus, revision int64) string {
	if s.Revision < revision {
		return fmt.Sprintf("%s has revision %d", s.ID, s.Revision)
	}
	for _, p := range s.Peers {
		if p.Revision < revision && p.AgeMs < liveAge.Milliseconds() {
			return fmt.Sprintf("%s has revision %d", p.ID, p.Revision)
		}
	}
	return ""
}
