package entry

import (
	"net"
	"sync"
)

// peerListener is the listener for peers. Refuse closes the port but keeps the connections that
// were accepted. To the successors of this process's shards a closed port proves, like the end
// of the process, that it has given up its shards and won't act as their owner again.
type peerListener struct {
	net.Listener
	closed chan struct{}
	once   sync.Once
}

func newPeerListener(l net.Listener) *peerListener {
	return &peerListener{Listener: l, closed: make(chan struct{})}
}

// Accept returns the next connection. After Refuse it blocks until Close, since the server
// would end its connections if Accept returned an error.
func (l *peerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.closed
	}
	return conn, err
}

// Refuse closes the port, so that further connections are refused.
func (l *peerListener) Refuse() {
	_ = l.Listener.Close()
}

// Close closes the listener and ends a blocked Accept.
func (l *peerListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
