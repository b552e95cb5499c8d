// Package e2e starts the programs as separate processes on the loopback and checks them
// from outside: by callers' answers and by the ledger that the stand-ins keep.
package e2e

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var programs string // directory of the built programs

func TestEndToEnd(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "end to end")
}

var _ = ginkgo.SynchronizedBeforeSuite(func() []byte {
	dir, err := os.MkdirTemp("", "foldarch-e2e")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	build := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..")
	out, err := build.CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	return []byte(dir)
}, func(dir []byte) {
	programs = string(dir)
})

var _ = ginkgo.SynchronizedAfterSuite(func() {}, func() {
	_ = os.RemoveAll(programs)
})
