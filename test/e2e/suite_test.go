// Package e2e starts the programs as separate processes on the loopback address and checks them from outside:
// by the answers that callers get and by the run log of the stand-ins.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func TestEndToEnd(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "end to end")
}

func TestMain(m *testing.M) {
	code := m.Run()
	if dir, err := programs(); err == nil {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// programs builds the programs once and returns the directory of the executables.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "foldarch-e2e")
	if err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	build.Stdout, build.Stderr = os.Stderr, os.Stderr
	return dir, build.Run()
})
