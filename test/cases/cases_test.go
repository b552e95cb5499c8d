// Package cases runs the case folders: each has a file cmd with the words after foldarch,
// its input, and the file expected with what the program prints. A new case needs no code;
// `go test ./test/cases -update` writes what is expected anew, to be read before it is
// committed.
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

var update = flag.Bool("update", false, "write the expected outputs anew")

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
	words, err := os.ReadFile("cmd")
	g.Expect(err).NotTo(HaveOccurred())
	first := run(words)
	if *update {
		g.Expect(os.WriteFile("expected", []byte(first), 0o600)).To(Succeed())
	}
	expected, err := os.ReadFile("expected")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first).To(Equal(string(expected)))
	g.Expect(run(words)).To(Equal(first), "a second run decides otherwise")
}

func run(words []byte) string {
	var out bytes.Buffer
	if code := cli.Main(strings.Fields(string(words)), &out, &out); code != program.ExitOK {
		out.WriteString("exit code " + string(rune('0'+code)) + "\n")
	}
	return out.String()
}
