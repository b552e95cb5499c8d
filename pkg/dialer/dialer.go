package dialer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
)

// idleTimeout is how long an unused connection is kept.
const idleTimeout = 90 * time.Second

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	routes  map[netip.AddrPort]netip.AddrPort
	timeout time.Duration
	bytes   metrics.Counter
}

// New returns a dialer with a table of routes and a time limit for opening a connection. The counter bytes
// adds up all bytes sent and received on its connections.
func New(routes map[netip.AddrPort]netip.AddrPort, timeout time.Duration, bytes metrics.Counter) *Dialer {
	return &Dialer{routes: routes, timeout: timeout, bytes: bytes}
}

// Dial opens a connection to an address, or to the address that its route gives instead.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if routed, ok := d.routes[address]; ok {
		address = routed
	}
	nd := net.Dialer{Timeout: d.timeout}
	conn, err := nd.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, d.bytes}, nil
}

// Transport returns an HTTP transport that opens its connections with d and keeps up to maxIdle idle
// connections per host.
func (d *Dialer) Transport(maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			target, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, errors.Wrapf(err, "dial %s", address)
			}
			return d.Dial(ctx, target)
		},
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// NotSent reports whether an HTTP request failed before anything was sent, because no connection could be
// opened.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// ConnectionRefused reports whether the host refused the connection because nothing listens on the port. It
// proves that the host is up and that the process that listened on the port has ended.
func ConnectionRefused(err error) bool {
	return NotSent(err) && errors.Is(err, syscall.ECONNREFUSED)
}
