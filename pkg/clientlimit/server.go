package clientlimit

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Server returns an HTTP server for the connections of this listener.
func (l *Listener) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:                      l.handler(h),
		DisableGeneralOptionsHandler: true, // it reads bodies without the limits
		ReadHeaderTimeout:            headTime,
		IdleTimeout:                  l.limiter.options.IdleTime,
		MaxHeaderBytes:               l.limiter.options.HeadKB << 10,
		ConnState:                    awaitNextHead,
		ConnContext:                  func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// awaitNextHead notes that the answer to a request is written and its connection is kept open.
func awaitNextHead(c net.Conn, s http.ConnState) {
	if limited, ok := c.(*Conn); ok && s == http.StateIdle {
		limited.setPhase(awaitingHead)
	}
}

// connKey is the context key of a request's connection.
type connKey struct{}

// handler returns a handler that follows the progress of requests and limits their bodies.
func (l *Listener) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if l.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength == 0 {
			c.setPhase(processing)
			next.ServeHTTP(w, r)
			return
		}
		c.setPhase(readingBody)
		b := &body{ReadCloser: r.Body, limits: l, conn: c, control: http.NewResponseController(w), header: w.Header()}
		defer b.release()
		b.setDeadline(time.Now().Add(l.limiter.options.BodyTime))
		r.Body = b
		if !hasBody(r.Method) && b.skip() != nil {
			w.WriteHeader(http.StatusRequestTimeout)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// hasBody reports whether the requests of a method have bodies that handlers read.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// body is the body of a request whose memory is charged to the budget as it is read.
type body struct {
	io.ReadCloser
	limits  *Listener
	conn    *Conn
	control *http.ResponseController
	header  http.Header

	size    jsonSize
	charged int64 // for what was read
	held    int64 // of the budget
	ended   bool  // read to its end
	err     error // why reading has failed
}

// Read reads the next part of the body. Errors: ErrBusy.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case !b.charge(p[:n]):
		b.limits.bodies.exceeded()
		b.fail(ErrBusy)
		return 0, b.err
	case errors.Is(err, io.EOF):
		b.end()
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.limits.late.exceeded()
		b.fail(err)
	}
	return n, err
}

// charge charges a part of the body. It returns false if the budget does not suffice. A body is charged at most the
// whole budget, so that one body alone is always taken.
func (b *body) charge(part []byte) bool {
	objects, commas := b.size.add(part)
	b.charged += int64(len(part)) + objectBytes*objects + elementBytes*commas
	need := min(b.charged-freeBodyBytes, b.limits.limiter.resources.bodyBytes()) - b.held
	if need <= 0 {
		return true
	}
	if !b.limits.limiter.bodyBudget.TryAcquire(need) {
		return false
	}
	b.held += need
	return true
}

// skip reads a body that the handler does not read, so that the request is known to be whole. It leaves the rest of a
// large one to net/http, which closes the connection after the answer. Errors: those of limits (IsUnread).
func (b *body) skip() error {
	if _, err := io.CopyN(io.Discard, b, freeBodyBytes); IsUnread(err) {
		return err
	}
	return nil
}

// release returns what the body holds of the budget.
func (b *body) release() {
	if b.held > 0 {
		b.limits.limiter.bodyBudget.Release(b.held)
		b.held = 0
	}
}

// fail makes all further reads fail. The connection is closed after the answer.
func (b *body) fail(err error) {
	b.err = err
	b.header.Set("Connection", "close")
}

// end is called when the body was read to its end.
func (b *body) end() {
	if b.ended {
		return
	}
	b.ended = true
	b.setDeadline(time.Time{})
	b.conn.setPhase(processing)
}

// setDeadline sets the time by which the body must have arrived.
func (b *body) setDeadline(t time.Time) {
	_ = b.control.SetReadDeadline(t) // fails only on a closed connection, which the next read finds out
}
