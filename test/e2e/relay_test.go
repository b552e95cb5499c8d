package e2e

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

// relay forwards the TCP connections of one process to another address. When it is cut, no data passes, as in
// a network that drops packets: data already received is held back, and new connections are accepted but not
// served.
type relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu         sync.Mutex
	uncut      *sync.Cond
	isCut      bool
	delay      time.Duration // of each piece of data
	connCount  int           // number of connections so far
	silentUpTo int           // connections up to this number carry no more data
}

func startRelay(t testContext, target netip.AddrPort) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, target: target}
	r.uncut = sync.NewCond(&r.mu)
	go r.serve()
	t.Cleanup(func() {
		_ = l.Close()
		r.setCut(false)
	})
	return r
}

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(in)
	}
}

func (r *relay) connect(in net.Conn) {
	r.awaitUncut()
	out, err := net.Dial("tcp", r.target.String())
	if err != nil {
		// The kernel has accepted the connection already, so it can only be reset in place of being refused.
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	number := r.nextNumber()
	go r.copy(out, in, number)
	r.copy(in, out, number)
}

// nextNumber counts a new connection and returns its number.
func (r *relay) nextNumber() (number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.connCount++
	return r.connCount
}

func (r *relay) copy(to, from net.Conn, number int) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(r.awaitUncut())
		if n > 0 && !r.isSilent(number) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}

// awaitUncut waits while the relay is cut and returns its delay.
func (r *relay) awaitUncut() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.isCut {
		r.uncut.Wait()
	}
	return r.delay
}

func (r *relay) setDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// silence drops all further data of the connections that are open now, without closing them. New connections
// work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUpTo = r.connCount
}

func (r *relay) isSilent(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number <= r.silentUpTo
}

func (r *relay) setCut(yes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = yes
	r.uncut.Broadcast()
}

// storeName denotes the store in the keys of cell.relays.
const storeName = "store"

// startRelays starts a relay from each entry host to the store and to each entry host of another hall. Within
// a hall, hosts connect directly, since they must notice when a port is closed.
func (c *cell) startRelays(t testContext) {
	c.relays = map[[2]string]*relay{}
	for _, from := range c.entryIDs {
		c.relays[[2]string{from, storeName}] = startRelay(t, c.store)
		for _, to := range c.entryIDs {
			if hallOf(from) != hallOf(to) {
				c.relays[[2]string{from, to}] = startRelay(t, c.entries[to].peerAddress)
			}
		}
	}
}

func hallOf(id string) string {
	return id[:len(id)-2]
}

// routeSettings returns the settings that make an entry host connect through its relays.
func (c *cell) routeSettings(from string) string {
	text := "\n[routes]\n"
	for ends, r := range c.relays {
		if ends[0] != from {
			continue
		}
		target := c.store
		if ends[1] != storeName {
			target = c.entries[ends[1]].peerAddress
		}
		text += fmt.Sprintf("%q = %q\n", target, r.listener.Addr())
	}
	return text
}

// cutHall cuts a hall off, or connects it again: from the store, from the other halls, or from both. If
// oneWay is set, only connections that the hall opens to the others are cut.
func (c *cell) cutHall(hall string, store, others, oneWay, cut bool) {
	for ends, r := range c.relays {
		out := hallOf(ends[0]) == hall
		in := ends[1] != storeName && hallOf(ends[1]) == hall
		switch {
		case ends[1] == storeName && out && store:
			r.setCut(cut)
		case ends[1] != storeName && others && (out || (in && !oneWay)):
			r.setCut(cut)
		}
	}
}
