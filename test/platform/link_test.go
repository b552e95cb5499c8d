package platform_test

import (
	"net"
	"sync"
	"time"
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
		go k.relay(target, caller, func(f linkFault) bool { return f.holdsRequests })
		go k.relay(caller, target, func(f linkFault) bool { return f.holdsAnswers })
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
func (k *link) relay(to, from net.Conn, held func(linkFault) bool) {
	defer func() {
		_, _ = to.Close(), from.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, to)
		delete(k.conns, from)
		delete(k.silentConns, to)
		delete(k.silentConns, from)
	}()
	data := make([]byte, 32<<10)
	for {
		n, err := from.Read(data)
		if n > 0 {
			k.awaitPass(held)
			if k.isSilent(from) {
				continue
			}
			if _, err := to.Write(data[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
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
