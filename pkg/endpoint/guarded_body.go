package endpoint

import (
	"io"
	"sync"
)

// guardedBody is a request body that asks for authority once more when the transport
// begins to read it, and remembers whether it did. The transport holds the head of a
// request back in its buffer until then, so a refusal keeps the whole request from being
// understood by the endpoint: it announces a body that never comes.
type guardedBody struct {
	mu         sync.Mutex
	data       []byte
	authorized func() bool
	begun      bool
	refused    bool
}

// Read gives the body out, or ErrNoAuthority.
func (b *guardedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun && !b.refused && b.authorized != nil {
		b.refused = !b.authorized()
	}
	if b.refused {
		return 0, ErrNoAuthority
	}
	b.begun = true
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close does nothing: the data needs no release.
func (b *guardedBody) Close() error {
	return nil
}

// withhold makes sure that a body which has not been read yet never will be, and reports
// whether that is so. The transport may still be about to read it after Do has returned.
func (b *guardedBody) withhold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.begun {
		b.refused = true
	}
	return b.refused
}
