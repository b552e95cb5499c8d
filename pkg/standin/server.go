package standin

import (
	"net/http"
	"time"
)

// Limits of the stand-ins' servers, so that a client that does not behave can't take much of the machine that they
// are tried out on.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 16 << 20 // more than the largest request that entry hosts forward
)

// newServer returns a server with the limits.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: http.MaxBytesHandler(h, maxBodyBytes), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
}
