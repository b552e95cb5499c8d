package traffic

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// Meter counts the bytes of connections. It is safe for concurrent use.
type Meter struct {
	sent, received metrics.Counter
}

// Names of the counters of a meter.
const (
	counterPrefix  = "bytes."
	sentSuffix     = ".sent"
	receivedSuffix = ".received"
)

// New returns a Meter whose counters are registered in r under the given name.
func New(name string, r metrics.Registry) *Meter {
	return &Meter{
		sent:     metrics.GetOrRegisterCounter(counterPrefix+name+sentSuffix, r),
		received: metrics.GetOrRegisterCounter(counterPrefix+name+receivedSuffix, r),
	}
}

// Conn returns a connection that counts the bytes of c.
func (m *Meter) Conn(c net.Conn) net.Conn {
	if m == nil {
		return c
	}
	return &meteredConn{c, m}
}

// Listener returns a listener that counts the bytes of all connections that l accepts.
func (m *Meter) Listener(l net.Listener) net.Listener {
	if m == nil {
		return l
	}
	return &meteredListener{l, m}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Inc(int64(n))
	return n, err
}

// NetConn returns the connection whose bytes are counted.
func (c *meteredConn) NetConn() net.Conn {
	return c.Conn
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept accepts a connection whose bytes are counted.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.Conn(c), nil
}
