package crowds_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// returnPause is how long a client waits until it connects again.
const returnPause = 100 * time.Millisecond

// startReturningCrowd starts a crowd whose clients connect again after their connections are closed.
func startReturningCrowd(size int, address string, send script) *crowd {
	c := &crowd{}
	for n := range size {
		c.sent.Go(func() {
			for c.runOneConnection(n, address, send) {
				time.Sleep(returnPause)
			}
		})
	}
	return c
}

// runOneConnection returns false once the crowd is closed.
func (c *crowd) runOneConnection(n int, address string, send script) bool {
	conn, err := dial(address)
	if err != nil {
		return !c.isClosed()
	}
	if !c.keep(conn) {
		return false
	}
	defer func() {
		_ = conn.(*net.TCPConn).SetLinger(0) // sockets of thousands of former connections would slow down the meter
		_ = conn.Close()
	}()
	c.dialled.Add(1)
	send(conn, n)
	_, _ = io.Copy(io.Discard, conn)
	return true
}

func (c *crowd) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// sendHeadWithoutBody sends the head of a request and a part of its body.
func sendHeadWithoutBody(c net.Conn, _ int) {
	_, _ = c.Write(append(newJobs.head(contentLength(smallBodyBytes)), '{'))
}

// Guards against callers that are kept out by clients that connect again and again.
func TestCrowdThatConnectsAgain(t *testing.T) {
	h := newHost(t)
	h.withstandCrowd(func() *crowd { return startReturningCrowd(crowdSize, h.callers, sendHeadWithoutBody) }, crowdSize)
}

// Guards against a health check that is kept out by clients that connect again and again.
func TestCrowdThatConnectsAgainToTheHealthCheck(t *testing.T) {
	h := newHost(t)
	h.withstandCrowd(func() *crowd {
		return startReturningCrowd(crowdSize, h.ready, requestsTo("POST", readinessPath).sendUnfinishedBody)
	}, crowdSize)
}

// Guards against callers that are kept out by requests about jobs that only the store can tell of.
func TestCrowdOfRequestsForUnknownJobs(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			h := newHost(t)
			h.withstand(crowdSize, h.callers, requestsWithoutEnd(method, newJobPath))
		})
	}
}

// jobsWithoutEnd returns a script that submits new jobs until its connection is closed.
func jobsWithoutEnd(body []byte) script {
	return func(c net.Conn, _ int) {
		for {
			if _, err := c.Write(append(newJobs.head(contentLength(len(body))), body...)); err != nil {
				return
			}
		}
	}
}

// Guards against callers that are kept out by others whose jobs wait to be stored.
func TestCrowdOfSmallJobs(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, jobsWithoutEnd(ordinaryBody()))
}

// Guards against memory used up by many jobs of legal size.
func TestCrowdOfLargeJobs(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, jobsWithoutEnd(largestJob()))
}
