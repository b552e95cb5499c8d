package trace

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite the bundled traces from the generator")

func TestBundledTracesMatchTheGenerator(t *testing.T) {
	for _, name := range []Name{Hanbit, Association} {
		t.Run(string(name), func(t *testing.T) {
			g := NewWithT(t)
			var text bytes.Buffer
			g.Expect(Write(&text, Generate(name, BundledSeed))).To(Succeed())
			if *update {
				g.Expect(os.WriteFile(string(name)+".jsonl", text.Bytes(), 0o600)).To(Succeed())
				return
			}
			bundled, err := Bundled(name)
			g.Expect(err).NotTo(HaveOccurred())
			written, err := Read(&text)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bundled).To(Equal(written))
		})
	}
}

func TestReadErrorNamesTheLine(t *testing.T) {
	g := NewWithT(t)
	_, err := Read(strings.NewReader("{\"at_ms\":1}\n{\"at_mss\":2}\n"))
	g.Expect(err).To(MatchError(ContainSubstring("line 2")))
	_, err = Bundled("no-such")
	g.Expect(err).To(HaveOccurred())
}
