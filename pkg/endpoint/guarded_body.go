package endpoint

import (
	"io"
	"sync"
)

// guardedBody is a request body that checks the authority once more when the HTTP transport
// begins to read it. Until then the transport keeps the headers of the request in its buffer.
// If the authority has ended, Read fails: the endpoint never receives a complete request,
// since the headers announce a body that does not follow.
type guardedBody struct {
	mu          sync.Mutex
	data        []byte
	authorized  func() bool // may be nil
	readStarted bool
	denied      bool
}

// Read reads from the body, or returns ErrNoAuthority.
func (b *guardedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted && !b.denied && b.authorized != nil {
		b.denied = !b.authorized()
	}
	if b.denied {
		return 0, ErrNoAuthority
	}
	b.readStarted = true
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer; there is nothing to release.
func (b *guardedBody) Close() error {
	return nil
}

// preventRead makes all later reads fail unless the body has been read from already. It
// reports whether the body has not been and will not be read. This is needed because the
// transport may begin to read a body after http.Client.Do has returned.
func (b *guardedBody) preventRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.readStarted {
		b.denied = true
	}
	return b.denied
}
