package logring

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// slowOutput blocks each write until release is closed.
type slowOutput struct {
	mu      sync.Mutex
	release chan struct{}
	text    bytes.Buffer
}

func (o *slowOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *slowOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	g := NewWithT(t)
	out := &slowOutput{release: make(chan struct{})}
	close(out.release)
	w := New(out, 10)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = w.Write([]byte(line))
	}
	w.Close()
	g.Expect(out.String()).To(Equal("a\nb\nc\n"))
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	g := NewWithT(t)
	out := &slowOutput{release: make(chan struct{})}
	w := New(out, 10)
	for range 1000 {
		_, err := w.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(w.Dropped()).To(BeNumerically(">", 900))
	close(out.release)
	g.Eventually(func() bool { return strings.Contains(out.String(), "log_lines_dropped") }, "5s").Should(BeTrue())
}
