package jobstore

import (
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"github.com/sirupsen/logrus"
)

// WatchStatus tracks how current a process's copy of the keys under a prefix of the store is. It logs one
// line when the copy can no longer be kept current and one when it can again, however many attempts fail
// in between. It is safe for concurrent use.
type WatchStatus struct {
	prefix    string
	clk       clock.Clock
	log       *logrus.Entry
	currentAt atomic.Int64 // a clock.Time
	lost      atomic.Bool
}

// NewWatchStatus returns a WatchStatus whose keys count as current now.
func NewWatchStatus(prefix string, clk clock.Clock, log *logrus.Entry) *WatchStatus {
	s := &WatchStatus{prefix: prefix, clk: clk, log: log}
	s.currentAt.Store(int64(clk.Now()))
	return s
}

// Age returns the time since the copy was last known to be current.
func (s *WatchStatus) Age() time.Duration {
	return s.clk.Now().Sub(clock.Time(s.currentAt.Load()))
}

// RecordCurrent records that the copy was current at a time. An earlier time than one already recorded,
// by another reader, changes nothing but the log.
func (s *WatchStatus) RecordCurrent(at clock.Time) {
	if s.lost.CompareAndSwap(true, false) {
		s.log.WithFields(logrus.Fields{"keys": s.prefix, "age_ms": s.Age().Milliseconds()}).Info("keys_regained")
	}
	for {
		before := s.currentAt.Load()
		if int64(at) <= before || s.currentAt.CompareAndSwap(before, int64(at)) {
			return
		}
	}
}

// RecordFailure records that a list or a watch of the keys failed.
func (s *WatchStatus) RecordFailure(err error) {
	if s.lost.CompareAndSwap(false, true) {
		s.log.WithFields(logrus.Fields{"keys": s.prefix, "age_ms": s.Age().Milliseconds(), "error": err}).Warn("keys_lost")
	}
}
