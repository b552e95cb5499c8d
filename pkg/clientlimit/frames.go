package clientlimit

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// errFrameTooLarge ends a connection whose unfinished message takes too much memory.
var errFrameTooLarge = errors.New("too many large messages at once")

// Received notes that a message of a call has been received, by the context of the call's stream. From its first use
// on, messages of that connection are limited: up to a small size they are free, and beyond that they are charged to a
// budget and must arrive in time.
func Received(ctx context.Context) {
	if c, ok := connOf(ctx); ok {
		c.releaseFrame()
	}
}

// releaseFrame returns what the connection holds for an unfinished message.
func (c *Conn) releaseFrame() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countsMessages = true
	c.unreceived = 0
	if c.held > 0 {
		c.limits.limiter.frameBudget.Release(c.held)
		c.held = 0
		_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// readEstablished reads from a connection that has made a call. If the budget for messages is used up, it waits, so
// that the other host sends no more.
func (c *Conn) readEstablished(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) || !c.acquireFrame(c.frameNeed(n)) {
		c.limits.frames.exceeded()
		_ = c.Close() // the reader of the protocol keeps what it has read until its connection is closed
		return 0, errFrameTooLarge
	}
	return n, err
}

// frameNeed returns what the connection needs of the budget after n more bytes. It grows by the size of a usual large
// message, so that those that wait for others hold nothing that these need. A message is charged at most the whole
// budget, so that one alone is always taken.
func (c *Conn) frameNeed(n int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.countsMessages {
		return 0
	}
	c.unreceived += n
	if c.unreceived <= freeFrameBytes {
		return 0
	}
	steps := (c.unreceived + frameStepBytes - 1) / frameStepBytes
	return min(int64(steps)*frameFactor*frameStepBytes, c.limits.limiter.resources.frameBytes()) - c.held
}

// acquireFrame takes a part of the budget. It returns false if there is none in time or the connection is closed.
func (c *Conn) acquireFrame(need int64) bool {
	if need <= 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), frameTime)
	defer cancel()
	go func() {
		select {
		case <-c.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	budget := c.limits.limiter.frameBudget
	if budget.Acquire(ctx, need) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		budget.Release(need)
		return false
	default:
	}
	c.held += need
	_ = c.SetReadDeadline(time.Now().Add(frameTime)) // fails only on a closed connection
	return true
}
