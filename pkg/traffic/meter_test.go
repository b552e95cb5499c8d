package traffic

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
)

func TestMeterCountsBothDirections(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	m := New("peers", r)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := m.Listener(l).Accept()
		if err == nil {
			accepted <- c
		}
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Write([]byte("hello"))
	g.Expect(err).NotTo(HaveOccurred())
	s := <-accepted
	g.Expect(io.ReadFull(s, make([]byte, 5))).To(Equal(5))
	_, err = s.Write([]byte("yes"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Get("bytes.peers.received").(metrics.Counter).Count()).To(BeEquivalentTo(5))
	g.Expect(r.Get("bytes.peers.sent").(metrics.Counter).Count()).To(BeEquivalentTo(3))
}

// Guards against connections whose buffers can't be set, since the socket below the counters is not found.
func TestSocketOfACountedConnectionIsFound(t *testing.T) {
	g := NewWithT(t)
	socket, _ := net.Pipe()
	counted := New("peers", metrics.NewRegistry()).Conn(socket)
	wrapped, ok := counted.(interface{ NetConn() net.Conn })
	g.Expect(ok).To(BeTrue())
	g.Expect(wrapped.NetConn()).To(BeIdenticalTo(socket))
}

func TestNilMeterCountsNothing(t *testing.T) {
	g := NewWithT(t)
	var m *Meter
	c, _ := net.Pipe()
	g.Expect(m.Conn(c)).To(BeIdenticalTo(c))
}

func TestSamplerReturnsTheRatesSinceTheLastSample(t *testing.T) {
	g := NewWithT(t)
	r := metrics.NewRegistry()
	m := New("store", r)
	New("peers", r)
	m.sent.Inc(1000)
	s := NewSampler(r, 10_000)
	m.sent.Inc(250)
	m.received.Inc(500)
	g.Expect(s.Sample(12_000)).To(Equal(Rates{Sent: map[string]int64{"store": 1}, Received: map[string]int64{"store": 2}}))
	g.Expect(s.Sample(13_000)).To(Equal(Rates{Sent: map[string]int64{}, Received: map[string]int64{}}))
}
