package cli

import (
	"fmt"

	"foldarch.dev/foldarch/pkg/settings"
	"github.com/cockroachdb/errors"
)

// ValidateCommand checks a directory of declarations without contacting a cell.
type ValidateCommand struct {
	Dir string `arg:"" help:"Directory of declarations."`
}

// Help returns the detailed help text with an example; kong calls it.
func (ValidateCommand) Help() string {
	return "Example:\n\n  foldarch validate declarations\n  baseball/scoring.toml:7: rules.windw: unknown key, did you mean \"window\"?"
}

// Run prints every fault, or the number of workloads and halls if there is none.
func (c ValidateCommand) Run(e *commandEnv) error {
	_, tree, err := readDeclarations(e, c.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: %d workloads in %d halls, no faults\n", c.Dir, len(tree.Workloads), len(tree.Layout.Halls))
	return nil
}

// readDeclarations reads and parses a directory of declarations. It prints every fault and returns an error
// if there is any.
func readDeclarations(e *commandEnv, dir string) (map[string]string, *settings.Tree, error) {
	docs, err := settings.ReadDirectory(dir)
	if err != nil {
		return nil, nil, err
	}
	tree, faults := settings.Parse(docs)
	for _, f := range faults {
		fmt.Fprintln(e.out, f)
	}
	if len(faults) > 0 {
		return nil, nil, errors.Newf("%d faults in %s; nothing was changed", len(faults), dir)
	}
	return docs, tree, nil
}
