// Package cases runs the command foldarch on the cases in its subdirectories. The directory of a case
// contains the file cmd with the arguments, the input files and the file expected with the output. A new case
// needs no code: `go test ./test/cases -update` writes all files named expected. Review them before
// committing them.
package cases

import (
	"bytes"
	"flag"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/cli"
	"foldarch.dev/foldarch/pkg/program"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "overwrite the expected outputs")

func TestCases(t *testing.T) {
	g := NewWithT(t)
	var dirs []string
	g.Expect(filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err == nil && entry.Name() == "cmd" {
			dirs = append(dirs, filepath.Dir(path))
		}
		return err
	})).To(Succeed())
	g.Expect(len(dirs)).To(BeNumerically(">", 10))
	for _, dir := range dirs {
		t.Run(dir, func(t *testing.T) { runCase(t, dir) })
	}
}

func runCase(t *testing.T, dir string) {
	g := NewWithT(t)
	t.Chdir(dir)
	args, err := os.ReadFile("cmd")
	g.Expect(err).NotTo(HaveOccurred())
	first := runFoldarch(args)
	if *update {
		g.Expect(os.WriteFile("expected", []byte(first), 0o600)).To(Succeed())
	}
	expected, err := os.ReadFile("expected")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal(string(expected)))
	g.Expect(runFoldarch(args)).To(Equal(first), "a second run prints another output")
}

func runFoldarch(args []byte) string {
	var out bytes.Buffer
	if code := cli.Main(strings.Fields(string(args)), &out, &out); code != program.ExitOK {
		out.WriteString("exit code " + string(rune('0'+code)) + "\n")
	}
	return out.String()
}
