package clientlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against requests that are read after a planned stop has begun and get no answer.
func TestPlannedStopAnswersRequestsOnOpenConnections(t *testing.T) {
	s := newTestServer(t, DefaultOptions())
	silent, unused := s.send(""), s.send("")
	half := s.send("POST / HTTP/1.1\r\nHost: a\r\n")
	kept := s.send(post("/", 0))
	s.Expect(s.status(kept)).To(Equal(http.StatusOK))
	s.Eventually(s.count("connections"), "10s").Should(BeEquivalentTo(4))
	stopped := make(chan error, 1)
	go func() { stopped <- s.stop(t.Context()) }()
	s.Eventually(s.isPortClosed, "10s", "1ms").Should(BeTrue())
	for c, text := range map[net.Conn]string{silent: post("/", 0), kept: post("/", 0), half: "Content-Length: 0\r\n\r\n"} {
		_, err := io.WriteString(c, text)
		s.Expect(err).NotTo(HaveOccurred())
	}
	for name, c := range map[string]net.Conn{"silent": silent, "kept": kept, "half a head": half} {
		s.Expect(s.status(c)).To(Equal(http.StatusOK), name)
		s.Eventually(s.isClosed(c), "10s").Should(BeTrue(), name)
	}
	s.Eventually(stopped, "10s").Should(Receive(BeNil()))
	s.Expect(s.isClosed(unused)()).To(BeTrue())
}

// Guards against a planned stop that waits longer than it may for a client that does not send the rest of a head.
func TestPlannedStopEndsInTime(t *testing.T) {
	s := newTestServer(t, DefaultOptions())
	s.send("POST / HTTP/1.1\r\nHost: a\r\n")
	s.Eventually(s.count("connections"), "10s").Should(BeEquivalentTo(1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	s.Expect(s.stop(ctx)).To(MatchError(context.DeadlineExceeded))
	s.Expect(time.Since(began)).To(BeNumerically("<", headTime/2))
}

func (s *testServer) isPortClosed() bool {
	c, err := net.Dial("tcp", s.address)
	if err == nil {
		_ = c.Close()
	}
	return err != nil
}
