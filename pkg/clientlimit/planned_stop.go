package clientlimit

import (
	"context"
	"net/http"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// requestWait is for how long an open connection may still send a request once its server stops.
	requestWait = 250 * time.Millisecond
	// stopCheckInterval is the time between two checks for connections that are still open.
	stopCheckInterval = 10 * time.Millisecond
)

// Shutdown stops a server as planned: it closes the port and then answers what arrives on open connections. Each
// connection is closed after its answer, or if no request arrives in time. http.Server.Shutdown alone gives no answer to
// a request whose head it reads once it has begun. Errors: those of http.Server.Shutdown.
func (l *Listener) Shutdown(ctx context.Context, s *http.Server) error {
	l.stopping.Store(true)
	l.closePort()
	last := time.Now().Add(requestWait)
	for l.closeIdle(last) > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, stopCheckInterval)
	}
	return s.Shutdown(ctx)
}

func (l *Listener) closePort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.port != nil {
		_ = l.port.Close() // fails only if it is closed
	}
}

// closeIdle lets connections without a request end from a given time on. It returns how many connections are open.
func (l *Listener) closeIdle(from time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !time.Now().Before(from) {
		for c := range l.conns {
			c.endIfIdle()
		}
	}
	return len(l.conns)
}

// endIfIdle ends the read of the next request, unless a part of it has been read.
func (c *Conn) endIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == awaitingHead && c.headBytes == 0 {
		c.ended = true
		_ = c.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}

// resume lets the rest of a request arrive whose first part was read while the connection was ended as idle. The caller
// holds the lock.
func (c *Conn) resume() {
	if c.ended {
		c.ended = false
		_ = c.SetReadDeadline(time.Now().Add(headTime)) // fails only on a closed connection
	}
}
