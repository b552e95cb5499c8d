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

// relay stands on the way from one process to another address. When it is cut, nothing
// passes: what is under way stays there, and new connections are taken and not served, as
// in a network that drops packets.
type relay struct {
	listener net.Listener
	target   netip.AddrPort

	mu     sync.Mutex
	open   *sync.Cond
	isCut  bool
	delay  time.Duration // of all that passes
	taken  int           // connections so far
	silent int           // the first connections, this many, carry nothing any more
}

func startRelay(t test, target netip.AddrPort) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := &relay{listener: l, target: target}
	r.open = sync.NewCond(&r.mu)
	go r.serve()
	t.Cleanup(func() {
		_ = l.Close()
		r.cut(false)
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
	r.waitOpen()
	out, err := net.Dial("tcp", r.target.String())
	if err != nil {
		// The kernel has taken the connection already; a reset is the nearest to a refusal.
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		return
	}
	number := r.take()
	go r.copy(out, in, number)
	r.copy(in, out, number)
}

func (r *relay) take() (number int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.taken++
	return r.taken
}

func (r *relay) copy(to, from net.Conn, number int) {
	defer to.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(r.waitOpen())
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

// waitOpen waits while the relay is cut, and returns its delay.
func (r *relay) waitOpen() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.isCut {
		r.open.Wait()
	}
	return r.delay
}

func (r *relay) slow(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// silence has nothing pass any more over the connections that are open now, without a reset. New ones work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = r.taken
}

func (r *relay) isSilent(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return number <= r.silent
}

func (r *relay) cut(yes bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCut = yes
	r.open.Broadcast()
}

// storeName is the store's name among the ends of relays.
const storeName = "store"

// startRelays puts a relay between each two processes of different halls, and between
// each process and the store. Within a hall processes reach each other directly, since
// they must see when a port is closed.
func (c *cell) startRelays(t test) {
	c.relays = map[[2]string]*relay{}
	for _, from := range c.order {
		c.relays[[2]string{from, storeName}] = startRelay(t, c.store)
		for _, to := range c.order {
			if hallOf(from) != hallOf(to) {
				c.relays[[2]string{from, to}] = startRelay(t, c.entries[to].peers)
			}
		}
	}
}

func hallOf(id string) string {
	return id[:len(id)-2]
}

func (c *cell) routesOf(from string) string {
	text := "\n[routes]\n"
	for ends, r := range c.relays {
		if ends[0] != from {
			continue
		}
		target := c.store
		if ends[1] != storeName {
			target = c.entries[ends[1]].peers
		}
		text += fmt.Sprintf("%q = %q\n", target, r.listener.Addr())
	}
	return text
}

// cutHall cuts a hall off, or joins it again: from the store, from the other halls, or
// from both; oneWay cuts only what goes out of the hall.
func (c *cell) cutHall(hall string, store, others, oneWay, cut bool) {
	for ends, r := range c.relays {
		out := hallOf(ends[0]) == hall
		in := ends[1] != storeName && hallOf(ends[1]) == hall
		switch {
		case ends[1] == storeName && out && store:
			r.cut(cut)
		case ends[1] != storeName && others && (out || (in && !oneWay)):
			r.cut(cut)
		}
	}
}
