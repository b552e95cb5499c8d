package poolowner

import (
	"sync"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"github.com/sirupsen/logrus"
)

// storeFailures logs when store calls for one purpose begin to fail and when they succeed again, one
// line each however many attempts fail in between. It is safe for concurrent use.
type storeFailures struct {
	purpose string // what the calls are for, such as "roster"
	clk     clock.Clock
	log     *logrus.Entry

	mu           sync.Mutex
	failingSince clock.Time // time of the first failure; 0 when the last call succeeded
}

// recordFailure records that a call failed and will be repeated.
func (f *storeFailures) recordFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince != 0 {
		return
	}
	f.failingSince = f.clk.Now()
	f.log.WithFields(logrus.Fields{"what": f.purpose, "error": err}).Error("store_call_fails")
}

// recordSuccess records that a call succeeded.
func (f *storeFailures) recordSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince == 0 {
		return
	}
	duration := f.clk.Now().Sub(f.failingSince)
	f.failingSince = 0
	f.log.WithFields(logrus.Fields{"what": f.purpose, "after_ms": int64(duration / time.Millisecond)}).Info("store_call_succeeds_again")
}
