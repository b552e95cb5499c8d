package dialer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// meteredConn counts the bytes that pass, both ways.
type meteredConn struct {
	net.Conn
	bytes metrics.Counter
}

// Read counts what was read.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Inc(int64(n))
	return n, err
}

// Write counts what was written.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Inc(int64(n))
	return n, err
}

// meteredListener meters the connections that it accepts.
type meteredListener struct {
	net.Listener
	bytes metrics.Counter
}

// MeterListener counts the bytes of all connections that l accepts.
func MeterListener(l net.Listener, bytes metrics.Counter) net.Listener {
	return &meteredListener{l, bytes}
}

// Accept returns the next connection, metered.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, l.bytes}, nil
}
