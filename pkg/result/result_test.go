package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "rewrite docs/result-codes.md")

const docsPage = "../../docs/result-codes.md"

const docsPreface = `# Result codes

Every final answer that is not a plain success carries a code, its name, whether the request
ran, and often when to come back (` + "`Retry-After`" + ` in whole seconds, ` + "`retry_after_ms`" + ` in the
body). Numbers are never given again. This page is written by a test of ` + "`pkg/result`" + `.

The hundreds: 1xx done, 2xx not run, 3xx outcome unknown or not over, 4xx the request itself
is at fault and was not run, 5xx an operator's command is at fault.

"Ran: no" is only said when it is known. "Ran: unknown" means that nobody can tell: ask the
service itself, or, with a key, look whether the effect is there, before you send it anew.

| code | name | HTTP | ran | come back | meaning |
|---|---|---|---|---|---|
`

func TestDocumentedCodeTableIsCurrent(t *testing.T) {
	g := NewWithT(t)
	var text strings.Builder
	text.WriteString(docsPreface)
	for _, c := range Codes() {
		retry := "no"
		if c.Retry {
			retry = "yes"
		}
		fmt.Fprintf(&text, "| %d | `%s` | %d | %s | %s | %s |\n", c.Code, c.Name, c.Status, c.Ran, retry, c.Text)
	}
	if *update {
		g.Expect(os.WriteFile(docsPage, []byte(text.String()), 0o600)).To(Succeed())
	}
	got, err := os.ReadFile(docsPage)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(got)).To(Equal(text.String()))
}

func TestCodeRangeAgreesWithRan(t *testing.T) {
	g := NewWithT(t)
	seen := map[string]bool{}
	for _, c := range Codes() {
		g.Expect(seen[c.Name]).To(BeFalse(), c.Name)
		seen[c.Name] = true
		switch c.Code / 100 {
		case 2, 4:
			g.Expect(c.Ran).To(Equal(RanNo), c.Name)
		case 3:
			g.Expect(c.Ran).NotTo(Equal(RanNo), c.Name)
		}
	}
}

func TestFromKeepsTheCodeOfAWrappedError(t *testing.T) {
	g := NewWithT(t)
	g.Expect(From(errors.Wrap(New(Overloaded, "full"), "call")).Code).To(Equal(Overloaded))
	g.Expect(From(errors.New("odd")).Code).To(Equal(Internal))
	g.Expect(Code(12345).Info().Code).To(Equal(Internal))
}
