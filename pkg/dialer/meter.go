package dialer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// meteredConn counts the bytes sent and received on a connection.
type meteredConn struct {
	net.Conn
	bytes metrics.Counter
}

// Read reads from the connection and counts the bytes.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Inc(int64(n))
	return n, err
}

// NetConn returns the connection whose bytes are counted.
func (c *meteredConn) NetConn() net.Conn {
	return c.Conn
}

// meteredListener counts the bytes of all connections that it accepts.
type meteredListener struct {
	net.Listener
	bytes metrics.Counter
}

// MeterListener returns a listener that counts the bytes of all connections that l accepts.
func MeterListener(l net.Listener, bytes metrics.Counter) net.Listener {
	return &meteredListener{l, bytes}
}

// Accept accepts a connection whose bytes are counted.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, l.bytes}, nil
}
