package entry

import (
	"net"
	"sync"
)

// peerListener is the listener for peers. Refuse closes the port while connections that
// were taken go on: a closed port tells the successors that this process has given up its
// shards for good, which is as good as its end.
type peerListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

func newPeerListener(l net.Listener) *peerListener {
	return &peerListener{Listener: l, closed: make(chan struct{})}
}

// Accept returns the next connection. After Refuse it waits for Close, so that the server
// keeps the connections that it has.
func (l *peerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.closed
	}
	return conn, err
}

// Refuse closes the port.
func (l *peerListener) Refuse() {
	_ = l.Listener.Close()
}

// Close ends the listener.
func (l *peerListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
