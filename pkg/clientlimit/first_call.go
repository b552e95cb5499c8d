package clientlimit

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// AllowFirstCalls sets how large the first call of a connection of another protocol may be. Calls over firstBytes
// take turns, so that together they stay within a share of the memory.
func (l *Listener) AllowFirstCalls(bytes int64) *Listener {
	turns := int64(firstCallMemoryShare*float64(l.limiter.resources.MemoryBytes)) / bytes
	l.firstCallBytes, l.firstCalls = int(bytes), make(chan struct{}, max(turns, 1))
	return l
}

func (c *Conn) readPeer(p []byte) (int, error) {
	select {
	case <-c.established:
		return c.readEstablished(p)
	default:
	}
	limit := firstBytes
	if c.headBytes >= firstBytes { // only the connection's reader uses headBytes here
		limit = c.limits.firstCallBytes
		if err := c.awaitMore(c.headBytes < limit); err != nil {
			return 0, err
		}
	}
	select {
	case <-c.established:
		return c.readEstablished(p)
	default:
	}
	n, err := c.Conn.Read(p[:min(len(p), limit-c.headBytes)])
	c.headBytes += n
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.limits.heads.exceeded()
	}
	return n, err
}

// awaitMore waits until the connection is established or, if it may take one, has a turn to send more than firstBytes.
func (c *Conn) awaitMore(mayTakeTurn bool) error {
	var turns chan<- struct{} // nil, which is never ready
	if mayTakeTurn {
		if c.holdsTurn() {
			return nil
		}
		turns = c.limits.firstCalls
	}
	timer := time.NewTimer(time.Until(c.opened.Add(firstTime)))
	defer timer.Stop()
	select {
	case <-c.established:
		return nil
	case turns <- struct{}{}:
		c.takeTurn()
		return nil
	case <-c.done:
		return net.ErrClosed
	case <-timer.C:
		c.limits.heads.exceeded()
		return net.ErrClosed
	}
}

func (c *Conn) holdsTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasTurn
}

// takeTurn notes that the connection has a turn. It ends at once if the connection was established or closed
// meanwhile.
func (c *Conn) takeTurn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasTurn = true
	select {
	case <-c.established:
		c.endTurn()
	case <-c.done:
		c.endTurn()
	default:
		c.widen()
	}
}

// endTurn ends the connection's turn, if it has one. The caller holds the lock.
func (c *Conn) endTurn() {
	if c.hasTurn {
		<-c.limits.firstCalls
		c.hasTurn = false
	}
}

// widen lets more arrive, and more be sent, on the connection at once.
func (c *Conn) widen() {
	if !c.limits.smallBuffers {
		return
	}
	inner := c.Conn
	for {
		wrapped, ok := inner.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		inner = wrapped.NetConn()
	}
	socket, ok := inner.(syscall.Conn)
	if !ok {
		return // not a socket
	}
	raw, err := socket.SyscallConn()
	if err == nil {
		err = widenBuffers(raw)
	}
	if err != nil {
		c.limits.limiter.log.WithField("error", err).Debug("client_buffers_not_set") // the connection is slower, or was closed
	}
}

// widenBuffers lets more arrive, and more be sent, on a connection that was accepted with small buffers. The window
// stays below 64 KiB, since scaling it would have to be agreed when the connection is opened.
func widenBuffers(c syscall.RawConn) error {
	var receiveErr, windowErr, sendErr error
	err := c.Control(func(fd uintptr) {
		receiveErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, peerBufferBytes)
		windowErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, peerBufferBytes)
		sendErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, peerBufferBytes)
	})
	return errors.Join(err, receiveErr, windowErr, sendErr)
}
