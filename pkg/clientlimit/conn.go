package clientlimit

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcctx"
)

// phase is how far a connection is with its request. Connections of lower phases are closed first.
type phase int

const (
	awaitingHead phase = iota
	readingBody
	answering // the answer is held up, since the client does not read
	processing
)

// Conn is a limited connection.
type Conn struct {
	net.Conn
	limits *Listener
	opened time.Time
	closed sync.Once

	mu        sync.Mutex
	phase     phase
	since     time.Time // when the phase began
	headBytes int       // read in the phase awaitingHead
	lines     headLines // of what was read in that phase
	ended     bool      // the read of the next request was ended, since the server stops
	// writingSince is when the write that is in progress began; zero if there is none.
	writingSince time.Time
	// unreceived counts what was read on an established connection and belongs to no message that was received.
	unreceived int
	held       int64 // of the budget for frames
	// countsMessages is true once Received was called: only then is it known where messages end.
	countsMessages bool
	hasTurn        bool // holds an element of the listener's firstCalls
	// established is closed once a connection of another protocol than HTTP has made its first call.
	established chan struct{}
	done        chan struct{} // closed when the connection is closed
}

func newConn(inner net.Conn, l *Listener) *Conn {
	now := time.Now()
	c := &Conn{Conn: inner, limits: l, opened: now, since: now, established: make(chan struct{}), done: make(chan struct{})}
	if l.kind == Peers {
		_ = inner.SetReadDeadline(c.opened.Add(firstTime)) // fails only on a closed connection
	}
	return c
}

// Read reads from the connection. Before a peer's connection is established, it reads only firstBytes, or with a turn
// the listener's firstCallBytes.
func (c *Conn) Read(p []byte) (int, error) {
	if c.limits.kind == Peers {
		return c.readPeer(p)
	}
	if c.hasTooManyLines() { // the reader may go on after an error
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != awaitingHead {
		return n, err
	}
	if n > 0 {
		c.resume()
	}
	c.headBytes += n
	c.lines.add(p[:n])
	if c.lines.tooMany() {
		return 0, errHeadTooLong
	}
	return n, err
}

// Write writes to the connection. A client that does not read its answers ends it after writeTime.
func (c *Conn) Write(p []byte) (int, error) {
	if c.limits.kind == Peers {
		return c.Conn.Write(p)
	}
	now := time.Now()
	_ = c.SetWriteDeadline(now.Add(writeTime)) // fails only on a closed connection
	c.setWritingSince(now)
	defer c.setWritingSince(time.Time{})
	n, err := c.Conn.Write(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.limits.unread.exceeded()
	}
	return n, err
}

func (c *Conn) setWritingSince(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = t
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.closed.Do(func() {
		close(c.done)
		c.limits.remove(c)
		c.releaseFrame()
		c.mu.Lock()
		c.endTurn()
		c.mu.Unlock()
		if c.limits.kind != Peers && c.headTooLarge() {
			c.limits.heads.exceeded()
		}
	})
	return c.Conn.Close()
}

func (c *Conn) headTooLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == awaitingHead && (c.headBytes > c.limits.limiter.options.HeadKB<<10 || c.lines.tooMany())
}

func (c *Conn) hasTooManyLines() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == awaitingHead && c.lines.tooMany()
}

// setPhase begins a phase.
func (c *Conn) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.headBytes = p, time.Now(), 0
	c.lines = headLines{inLine: true} // a part of the next head may have been read before
}

// progress returns the present phase and when it began.
func (c *Conn) progress(now time.Time) (phase, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writingSince.IsZero() && now.Sub(c.writingSince) > writeStall {
		return answering, c.writingSince
	}
	return c.phase, c.since
}

// Establish marks the connection of a call as one that has made a call, by the context of the call's stream.
func Establish(ctx context.Context) {
	if c, ok := connOf(ctx); ok {
		c.establish()
	}
}

// connOf returns the connection of a call by the context of its stream. There is none if the call has come over a
// listener without limits.
func connOf(ctx context.Context) (c *Conn, ok bool) {
	transport, _ := drpcctx.Transport(ctx)
	c, ok = transport.(*Conn)
	return c, ok
}

func (c *Conn) establish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == processing {
		return
	}
	c.phase, c.since = processing, time.Now()
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	c.widen()
	close(c.established)
	c.endTurn()
}
