package crowds_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"
)

const (
	crowdSize = 1200 // clients, more than the host has descriptors
	// sendTime is how long a crowd may send before ordinary requests are made beside it.
	sendTime = 4 * time.Second
	// sendPause separates the pieces of a client that sends piece by piece.
	sendPause = 2 * time.Millisecond
)

// script is what one client of a crowd sends. It returns when the client has sent all that it wants to, or when
// its connection is closed.
type script func(c net.Conn, client int)

// crowd is a number of clients that keep their connections open.
type crowd struct {
	sent    sync.WaitGroup
	dialled atomic.Int64
	open    atomic.Int64

	mu     sync.Mutex
	conns  []net.Conn
	closed bool
}

// startCrowd starts the clients of a crowd, each with one connection to the address.
func startCrowd(size int, address string, send script) *crowd {
	c := &crowd{}
	for n := range size {
		c.sent.Go(func() { c.runClient(n, address, send) })
	}
	return c
}

func (c *crowd) runClient(n int, address string, send script) {
	conn, err := dial(address)
	if err != nil || !c.keep(conn) {
		return
	}
	c.dialled.Add(1)
	c.open.Add(1)
	go func() {
		_, _ = io.Copy(io.Discard, conn)
		c.open.Add(-1)
	}()
	send(conn, n)
}

// keep stores a connection until the crowd is closed. It closes the connection and returns false if the crowd is
// closed already.
func (c *crowd) keep(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

// awaitSent waits until all clients have sent what they want to, at most for sendTime.
func (c *crowd) awaitSent() {
	done := make(chan struct{})
	go func() {
		c.sent.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(sendTime):
	}
}

// close closes all connections of the crowd.
func (c *crowd) close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	c.sent.Wait()
}

// withstand lets a crowd loose on one of the host's listeners and checks that the process stays within its limits
// and answers ordinary requests, while the crowd keeps its connections and after it has left.
func (h *host) withstand(size int, address string, send script) {
	h.withstandCrowd(func() *crowd { return startCrowd(size, address, send) }, size)
}

// withstandCrowd is withstand for a crowd that start starts.
func (h *host) withstandCrowd(start func() *crowd, size int) {
	m := h.startMeter()
	c := start()
	c.awaitSent()
	dialled, open := c.dialled.Load(), c.open.Load()
	beside, readyBeside := triesUntil(h.serves), triesUntil(h.isReady)
	c.close()
	after, readyAfter := triesUntil(h.serves), triesUntil(h.isReady)
	m.finish()
	h.t.Logf("%d of %d clients connected, %d were open when they had sent; peak: %d MB resident, unread and unsent (unread: %d MB, unsent: %d MB), %d descriptors; tries until served: beside the crowd %d (ready %d), after it %d (ready %d), 0 is never",
		dialled, size, open, m.memoryBytes>>20, m.unreadBytes>>20, m.unsentBytes>>20, m.descriptors, beside, readyBeside, after, readyAfter)
	h.Expect(h.isAlive()).To(BeTrue(), "the process lives")
	m.expectWithinLimits()
	h.Expect(beside).To(BeNumerically(">", 0), "an ordinary request is served beside the crowd")
	h.Expect(readyBeside).To(BeNumerically(">", 0), "the health check passes beside the crowd")
	h.Expect(after).To(BeNumerically(">", 0), "an ordinary request is served after the crowd")
	h.Expect(readyAfter).To(BeNumerically(">", 0), "the health check passes after the crowd")
}

// sendPieces writes text in pieces of the given size, with a pause after each. It returns false if the connection
// is closed.
func sendPieces(c net.Conn, text []byte, size int) bool {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := c.Write(text[:n]); err != nil {
			return false
		}
		text = text[n:]
		time.Sleep(sendPause)
	}
	return true
}
