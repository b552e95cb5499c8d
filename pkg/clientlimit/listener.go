package clientlimit

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
)

// Listener limits the connections of one listener.
type Listener struct {
	limiter *Limiter
	name    string
	kind    Kind
	max     int

	replaced *limit // connections that were closed for new ones
	rejected *limit // connections that were closed at once
	heads    *limit // connections that were closed for the size of a head
	bodies   *limit // bodies that were refused
	late     *limit // bodies that took too long
	unread   *limit // answers that were not read
	frames   *limit // connections that were closed for unfinished messages
	open     metrics.Gauge

	smallBuffers   bool          // accepted connections have small buffers
	firstCallBytes int           // that a connection of another protocol may send before it is established
	firstCalls     chan struct{} // holds an element for each of these that has a turn to send more than firstBytes; nil: none has

	stopping atomic.Bool // each connection is closed after its next answer

	mu    sync.Mutex
	port  net.Listener // nil before Wrap
	conns map[*Conn]struct{}
}

// Listener returns the limits of a listener. Its name stands in metrics and log lines.
func (l *Limiter) Listener(name string, k Kind) *Listener {
	n := l.resources.connections(k, l.options)
	return &Listener{
		limiter: l, name: name, kind: k, max: n, conns: map[*Conn]struct{}{},
		replaced: l.newLimit(name, "connections_replaced", n), rejected: l.newLimit(name, "connections_rejected", n),
		heads:  l.newLimit(name, "heads_too_large", l.options.HeadKB<<10),
		bodies: l.newLimit(name, "bodies_refused", l.resources.bodyBytes()), late: l.newLimit(name, "bodies_late", l.options.BodyTime),
		unread: l.newLimit(name, "answers_unread", writeTime), frames: l.newLimit(name, "frames_refused", l.resources.frameBytes()),
		open:           metrics.GetOrRegisterGauge("clients."+name+".connections", l.registry),
		firstCallBytes: firstBytes,
	}
}

// Listen listens on a TCP address. The buffers of accepted connections are small, since what has arrived and is not
// read, or is sent and not acknowledged, takes memory of the machine.
func (l *Listener) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		err := setBuffers(c)
		if err != nil {
			l.limiter.log.WithField("error", err).Warn("client_buffers_not_set") // the host can serve without
		}
		return nil
	}}
	l.smallBuffers = true
	return config.Listen(context.Background(), "tcp", address)
}

func setBuffers(c syscall.RawConn) error {
	var receiveErr, sendErr error
	err := c.Control(func(fd uintptr) {
		receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
	return errors.Join(err, receiveErr, sendErr)
}

// Wrap returns a listener whose connections are limited.
func (l *Listener) Wrap(inner net.Listener) net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.port = inner
	return &limitedListener{inner, l}
}

// limitedListener is a net.Listener with the limits of a Listener.
type limitedListener struct {
	net.Listener
	limits *Listener
}

// Accept returns the next connection that the limits admit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(inner, l.limits)
		if l.limits.admit(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// admit adds a connection, in place of another one at the limit. It returns false if none may be replaced.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	var victim *Conn
	if len(l.conns) >= l.max {
		if victim = l.slowest(); victim == nil {
			l.mu.Unlock()
			l.rejected.exceeded()
			return false
		}
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	l.open.Update(int64(len(l.conns)))
	l.mu.Unlock()
	if victim != nil {
		l.replaced.exceeded()
		_ = victim.Close()
	}
	return true
}

// slowest returns the connection that makes the least progress; nil if all requests are being processed. Phases are
// compared only between connections that have had time for theirs. Among others, the oldest is the slowest: otherwise a
// new connection would be closed for the next one before its head arrives.
func (l *Listener) slowest() *Conn {
	var out *Conn
	var outRank int
	var outSince time.Time
	now := time.Now()
	for c := range l.conns {
		p, since := c.progress(now)
		if p == processing {
			continue
		}
		rank := int(p)
		if now.Sub(since) < phaseGrace {
			rank = int(processing)
		}
		if out == nil || rank < outRank || rank == outRank && since.Before(outSince) {
			out, outRank, outSince = c, rank, since
		}
	}
	return out
}

// remove removes a connection that was closed.
func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.open.Update(int64(len(l.conns)))
}
