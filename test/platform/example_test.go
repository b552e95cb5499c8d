package platform_test

import (
	"os"
	"os/exec"
	"testing"

	. "github.com/onsi/gomega"
)

// Runs the example of `make run`, in which jobs on an emulated platform continue after the host that owns the
// pool is killed.
func TestExampleOfJobs(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", "foldarch.dev/foldarch/cmd/...")
	out, err := build.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	run := exec.Command("../../examples/jobs/run")
	run.Env = append(os.Environ(), "BIN="+dir)
	out, err = run.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	g.Expect(string(out)).To(MatchRegexp(`steps .* completed\n`))
	g.Expect(string(out)).To(MatchRegexp(`gang .* completed\n`))
	g.Expect(string(out)).To(MatchRegexp(`lasting .* running\n`))
	g.Expect(string(out)).To(ContainSubstring("no task ran twice"))
	g.Expect(string(out)).To(ContainSubstring("unauthenticated (412)"))
	g.Expect(string(out)).To(MatchRegexp(`north .* 4/4 `))
}
