package platform_test

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	relayBufferBytes = 32 << 10
	// readAheadParts is the number of parts of up to relayBufferBytes that a connection's queue holds.
	readAheadParts = 64
	// limitedPartBytes is the size of the parts in which a link with a bandwidth passes data on, so that its
	// connections share it.
	limitedPartBytes = 1 << 10
)

// linkFault is a fault of a link.
type linkFault struct {
	delay         time.Duration // of each piece of data, in both directions
	holdsRequests bool          // data from the caller to the target is held back
	holdsAnswers  bool          // data from the target to the caller is held back
}

// link is a TCP relay in front of one listener on the loopback address that can inject faults. Data that a
// fault holds back is passed on when the fault ends, as after a network partition.
type link struct {
	target    string
	listener  net.Listener
	disturbed func() // called when a fault begins or ends

	mu          sync.Mutex
	bandwidth   *rate.Limiter // of the answers on all connections, in bytes; nil for no limit
	fault       linkFault
	changed     chan struct{} // closed and replaced when the fault changes
	conns       map[net.Conn]struct{}
	silentConns map[net.Conn]struct{} // connections whose data is dropped
}

// newLink starts a link to the target address.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listener: l, disturbed: func() {}, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, silentConns: map[net.Conn]struct{}{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string {
	return k.listener.Addr().String()
}

// set replaces the fault of the link. The zero value means no fault.
func (k *link) set(f linkFault) {
	k.disturbed()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	close(k.changed)
	k.changed = make(chan struct{})
}

// limit limits the answers on all connections together to a number of bytes a second.
func (k *link) limit(bytesPerSecond int) {
	k.disturbed()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bandwidth = rate.NewLimiter(rate.Limit(bytesPerSecond), limitedPartBytes)
}

func (k *link) answerBandwidth() *rate.Limiter {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bandwidth
}

func unlimited() *rate.Limiter { return nil }

// reset closes all connections with a TCP reset.
func (k *link) reset() {
	k.disturbed()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// silence drops all further data of the connections that are open now, without closing them. New connections
// work.
func (k *link) silence() {
	k.disturbed()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		k.silentConns[c] = struct{}{}
	}
}

func (k *link) isSilent(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, ok := k.silentConns[c]
	return ok
}

func (k *link) close() {
	_ = k.listener.Close()
	k.set(linkFault{})
	k.reset()
}

func (k *link) accept() {
	for {
		caller, err := k.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", k.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		k.add(caller, target)
		go k.relay(target, caller, unlimited, func(f linkFault) bool { return f.holdsRequests })
		go k.relay(caller, target, k.answerBandwidth, func(f linkFault) bool { return f.holdsAnswers })
	}
}

func (k *link) add(conns ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range conns {
		k.conns[c] = struct{}{}
	}
}

// relay copies data in one direction until either connection closes.
func (k *link) relay(to, from net.Conn, bandwidth func() *rate.Limiter, held func(linkFault) bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, to)
		delete(k.conns, from)
		delete(k.silentConns, to)
		delete(k.silentConns, from)
	}()
	received := readAhead(from)
	defer func() {
		_ = from.Close()
		for range received { // lets the reader end
		}
	}()
	for data := range received {
		k.awaitPass(held)
		if k.isSilent(from) {
			continue
		}
		if err := writeLimited(to, data, bandwidth()); err != nil {
			return
		}
	}
}

// readAhead returns what it reads from a connection; it closes the channel when the connection ends. A slow link
// holds data in a queue of its own: a sender that waits for room in the receive buffer pauses for seconds.
func readAhead(from net.Conn) <-chan []byte {
	received := make(chan []byte, readAheadParts)
	go func() {
		defer close(received)
		for {
			data := make([]byte, relayBufferBytes)
			n, err := from.Read(data)
			if n > 0 {
				received <- data[:n]
			}
			if err != nil {
				return
			}
		}
	}()
	return received
}

// awaitPass waits until no fault holds data of a direction back, and then for the delay of the link.
func (k *link) awaitPass(held func(linkFault) bool) {
	for {
		k.mu.Lock()
		f, changed := k.fault, k.changed
		k.mu.Unlock()
		if !held(f) {
			time.Sleep(f.delay)
			return
		}
		<-changed
	}
}

// writeLimited writes data within a bandwidth, if it is not nil.
func writeLimited(to net.Conn, data []byte, bandwidth *rate.Limiter) error {
	for len(data) > 0 {
		part := data
		if bandwidth != nil {
			part = data[:min(len(data), limitedPartBytes)]
			if err := bandwidth.WaitN(context.Background(), len(part)); err != nil {
				return err
			}
		}
		if _, err := to.Write(part); err != nil {
			return err
		}
		data = data[len(part):]
	}
	return nil
}
