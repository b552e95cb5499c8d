package crowds_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"foldarch.dev/foldarch/platform/emulator"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

const (
	pipelinedRequests = 16 // that a client sends at once
	// longNameBytes is the length of a name for a job that is no id. The answer quotes it.
	longNameBytes = 4000
	// Small segments and a small receive buffer keep the host's send buffer small, as on a network.
	smallSegmentBytes       = 536
	smallReceiveBufferBytes = 4 << 10
)

// startUnreadingCrowd starts a crowd whose clients do not read what the host sends, and have small buffers.
func startUnreadingCrowd(size int, address string, send script) *crowd {
	return startCrowdWith(&net.Dialer{Timeout: answerTimeout, Control: setSmallBuffers}, size, address, send)
}

// startCrowdWith starts a crowd whose connections only its script reads.
func startCrowdWith(d *net.Dialer, size int, address string, send script) *crowd {
	c := &crowd{}
	for n := range size {
		c.sent.Go(func() { c.runUnreadingClient(d, n, address, send) })
	}
	return c
}

func (c *crowd) runUnreadingClient(d *net.Dialer, n int, address string, send script) {
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil || !c.keep(conn) {
		return
	}
	c.dialled.Add(1)
	c.open.Add(1)
	send(conn, n)
}

func setSmallBuffers(_, _ string, c syscall.RawConn) error {
	var segments, buffer error
	err := c.Control(func(fd uintptr) {
		segments = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, smallSegmentBytes)
		buffer = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallReceiveBufferBytes)
	})
	return errors.Join(err, segments, buffer)
}

// requestsWithoutEnd returns a script that sends requests until its connection is closed.
func requestsWithoutEnd(method string, path func() string) script {
	return func(c net.Conn, _ int) {
		for {
			var text []byte
			for range pipelinedRequests {
				text = append(text, requestLine{method, path, newJobs.lines}.head()...)
			}
			if _, err := c.Write(text); err != nil {
				return
			}
		}
	}
}

func always(path string) func() string {
	return func() string { return path }
}

// longName returns a path below that of a queue which has no job's id.
func longName() string {
	return emulator.PathPrefix + strings.Repeat("x", longNameBytes)
}

// Guards against connections used up by callers that do not read their answers.
func TestCrowdOfCallersThatReadNoAnswers(t *testing.T) {
	h := newHost(t)
	send := requestsWithoutEnd(http.MethodGet, longName)
	h.withstandCrowd(func() *crowd { return startUnreadingCrowd(crowdSize, h.callers, send) }, crowdSize)
}

// Guards against memory of the machine used up by answers that are not read.
func TestCrowdOfCallersThatReadNoAnswersOnAFastLink(t *testing.T) {
	h := newHost(t)
	d := &net.Dialer{Timeout: answerTimeout}
	h.withstandCrowd(func() *crowd {
		return startCrowdWith(d, crowdSize, h.callers, requestsWithoutEnd(http.MethodGet, longName))
	}, crowdSize)
}

// Guards against a health check that is kept out by clients that do not read their answers.
func TestCrowdAtTheHealthCheckThatReadsNoAnswers(t *testing.T) {
	h := newHost(t)
	send := requestsWithoutEnd(http.MethodGet, always(readinessPath))
	h.withstandCrowd(func() *crowd { return startUnreadingCrowd(crowdSize, h.ready, send) }, crowdSize)
}

// Guards against operators that are kept out by clients that do not read their answers.
func TestCrowdOfOperatorsThatReadNoAnswers(t *testing.T) {
	h := newHost(t)
	send := requestsWithoutEnd(http.MethodGet, always("/metrics"))
	served := 0
	h.withstandCrowd(func() *crowd {
		c := startUnreadingCrowd(crowdSize, h.operator, send)
		c.awaitSent()
		for n := 0; n < maxTries && served == 0; n++ {
			if status, _ := call(http.MethodGet, h.operator, "/owner", nil); status == http.StatusOK {
				served = n + 1
			}
		}
		return c
	}, crowdSize)
	h.Expect(served).To(BeNumerically(">", 0), "an operator is served beside the crowd")
}

// Guards against a planned stop that waits for clients that do not read their answers.
func TestHostStopsBesideCallersThatReadNoAnswers(t *testing.T) {
	h := newHost(t)
	c := startUnreadingCrowd(crowdSize, h.callers, requestsWithoutEnd(http.MethodGet, longName))
	defer c.close()
	c.awaitSent()
	h.Expect(syscall.Kill(h.pid, syscall.SIGTERM)).To(Succeed())
	h.Eventually(h.exited, "30s").Should(BeClosed())
	h.Expect(bytes.Contains(h.log.Bytes(), []byte("stopped"))).To(BeTrue())
}
