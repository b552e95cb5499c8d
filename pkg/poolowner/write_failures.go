package poolowner

import (
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"github.com/sirupsen/logrus"
)

// writeFailures logs one line when writes into the store begin to fail and one when they succeed again, however many tries fail in between.
// It is safe for concurrent use.
type writeFailures struct {
	what string // is written, such as "roster"
	clk  clock.Clock
	log  *logrus.Entry

	mu    sync.Mutex
	since clock.Time // of the first failure; 0 when the last write succeeded
}

// failed takes in a write that has to be tried again.
func (f *writeFailures) failed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since != 0 {
		return
	}
	f.since = f.clk.Now()
	f.log.WithFields(logrus.Fields{"what": f.what, "error": err}).Error("write_fails")
}

// succeeded takes in a write that was done.
func (f *writeFailures) succeeded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.since == 0 {
		return
	}
	took := f.clk.Now().Sub(f.since)
	f.since = 0
	f.log.WithFields(logrus.Fields{"what": f.what, "after_ms": int64(took / time.Millisecond)}).Info("write_succeeds_again")
}
