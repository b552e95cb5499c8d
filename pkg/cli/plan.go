package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/revision"
	"foldarch.dev/foldarch/pkg/settings"
	"github.com/cockroachdb/errors"
)

// PlanCommand shows what ApplyCommand would change.
type PlanCommand struct {
	storeFlags
	Dir string `arg:"" help:"Directory of declarations."`
}

// Help returns the detailed help text with an example; kong calls it.
func (PlanCommand) Help() string {
	return "Example:\n\n  foldarch plan --store 127.0.0.1:7000 declarations\n  against revision 7:\n  changed  baseball/group.toml\n  workload scoring: changed\n    rules.queue: 256 -> 64"
}

// Run prints the differences between the directory and the settings in force.
func (c PlanCommand) Run(e *commandEnv) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
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
	printDifference(e.out, current, docs, tree)
	return nil
}

// currentSettings are the settings in force, as the platform store holds them.
type currentSettings struct {
	head revision.Head
	docs map[string]string
	tree *settings.Tree
}

// loadCurrentSettings reads the settings in force. Before the first apply (revision 0) they are empty.
func loadCurrentSettings(ctx context.Context, repository *revision.Repository) (currentSettings, error) {
	head, err := repository.Head(ctx)
	if err != nil {
		return currentSettings{}, err
	}
	if head.Revision == 0 {
		return currentSettings{docs: map[string]string{}, tree: &settings.Tree{}}, nil
	}
	commit, err := repository.Commit(ctx, head.Commit)
	if err != nil {
		return currentSettings{}, err
	}
	docs, err := repository.Documents(ctx, commit, nil)
	if err != nil {
		return currentSettings{}, err
	}
	tree, faults := settings.Parse(docs)
	if len(faults) > 0 {
		return currentSettings{}, errors.Newf("the settings in force have faults: %s", faults[0])
	}
	return currentSettings{head, docs, tree}, nil
}

func printDifference(w io.Writer, from currentSettings, docs map[string]string, tree *settings.Tree) {
	changes := settings.CompareDocuments(from.docs, docs)
	if len(changes) == 0 {
		fmt.Fprintf(w, "nothing differs from revision %d\n", from.head.Revision)
		return
	}
	fmt.Fprintf(w, "against revision %d:\n", from.head.Revision)
	for _, c := range changes {
		fmt.Fprintf(w, "%-8s %s\n", c.ChangeType, c.File)
	}
	for _, wc := range settings.CompareTrees(from.tree, tree) {
		fmt.Fprintf(w, "workload %s: %s\n", wc.Workload, wc.ChangeType)
		for _, d := range wc.Details {
			fmt.Fprintf(w, "    %s\n", d)
		}
	}
}

// commitFiles returns the sorted paths of the files of a commit.
func commitFiles(c revision.Commit) []string {
	return slices.Sorted(maps.Keys(c.Files))
}
