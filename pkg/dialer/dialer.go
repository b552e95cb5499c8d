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

// New returns a dialer with a table of routes and a time limit for each connection. The
// bytes that pass its connections are counted in bytes.
func New(routes map[netip.AddrPort]netip.AddrPort, timeout time.Duration, bytes metrics.Counter) *Dialer {
	return &Dialer{routes: routes, timeout: timeout, bytes: bytes}
}

// Dial opens a connection to an address, by way of its route if there is one.
func (d *Dialer) Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if via, ok := d.routes[address]; ok {
		address = via
	}
	nd := net.Dialer{Timeout: d.timeout}
	conn, err := nd.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &meteredConn{conn, d.bytes}, nil
}

// Transport returns an HTTP transport that dials through d and keeps up to idle unused
// connections to each host.
func (d *Dialer) Transport(idle int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			target, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, errors.Wrapf(err, "dial %s", address)
			}
			return d.Dial(ctx, target)
		},
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// NotSent says whether an HTTP exchange failed before anything was sent: the connection
// could not be opened.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Refused says whether the host answered that nothing listens on the port. On a host that
// answers at all this shows that the process which had the port has ended.
func Refused(err error) bool {
	return NotSent(err) && errors.Is(err, syscall.ECONNREFUSED)
}
