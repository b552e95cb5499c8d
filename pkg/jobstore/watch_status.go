package jobstore

import (
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"github.com/sirupsen/logrus"
)

// Following is how well a process follows the keys under a prefix of the store. It logs one line when the keys are not
// followed any more and one when they are again, however many tries fail in between. It is safe for concurrent use.
type Following struct {
	prefix  string
	clk     clock.Clock
	log     *logrus.Entry
	knownAt atomic.Int64 // a clock.Time
	lost    atomic.Bool
}

// NewFollowing returns a Following whose keys count as known now.
func NewFollowing(prefix string, clk clock.Clock, log *logrus.Entry) *Following {
	f := &Following{prefix: prefix, clk: clk, log: log}
	f.knownAt.Store(int64(clk.Now()))
	return f
}

// Age is how long ago the keys were last known as they stood in the store.
func (f *Following) Age() time.Duration {
	return f.clk.Now().Sub(clock.Time(f.knownAt.Load()))
}

// Known takes in that the keys are known as they stood at a time. One that another reader has gone beyond changes nothing.
func (f *Following) Known(at clock.Time) {
	if f.lost.CompareAndSwap(true, false) {
		f.log.WithFields(logrus.Fields{"keys": f.prefix, "age_ms": f.Age().Milliseconds()}).Info("keys_regained")
	}
	for {
		before := f.knownAt.Load()
		if int64(at) <= before || f.knownAt.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}

// Lost takes in that a list or a watch of the keys failed.
func (f *Following) Lost(err error) {
	if f.lost.CompareAndSwap(false, true) {
		f.log.WithFields(logrus.Fields{"keys": f.prefix, "age_ms": f.Age().Milliseconds(), "error": err}).Warn("keys_lost")
	}
}
