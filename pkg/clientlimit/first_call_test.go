package clientlimit

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// Guards against connections of other hosts that are closed for a late first call without a count or a log line.
func TestLateFirstCallIsCounted(t *testing.T) {
	g := NewWithT(t)
	log, hook := logtest.NewNullLogger()
	registry := metrics.NewRegistry()
	limits := New(Resources{MemoryBytes: testMemory, Descriptors: 0}, DefaultOptions(), registry, logrus.NewEntry(log)).Listener("peers", Peers)
	client, server := net.Pipe()
	c := newConn(server, limits)
	g.Expect(limits.admit(c)).To(BeTrue())
	g.Expect(c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed()) // in place of firstTime
	go func() { _, _ = client.Write(make([]byte, 10)) }()
	_, err := io.ReadAll(c)
	g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
	g.Expect(metrics.GetOrRegisterCounter("clients.peers.heads_too_large", registry).Count()).To(BeEquivalentTo(1))
	g.Expect(hook.LastEntry()).To(HaveField("Message", "client_limited"))
}
