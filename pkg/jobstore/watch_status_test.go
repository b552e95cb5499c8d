package jobstore

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

func TestWatchStatusLogsEachLossOnceWithItsAge(t *testing.T) {
	g := NewWithT(t)
	now := clock.Time(1_000)
	log, hook := logtest.NewNullLogger()
	s := NewWatchStatus(JobsPrefix, clock.Clock{Now: func() clock.Time { return now }}, logrus.NewEntry(log))
	s.RecordCurrent(now)
	g.Expect(hook.AllEntries()).To(BeEmpty(), "nothing was lost")

	now = now.Add(1400 * time.Millisecond)
	s.RecordFailure(errors.New("no answer"))
	now = now.Add(time.Second)
	s.RecordFailure(errors.New("no answer again"))
	g.Expect(s.Age()).To(Equal(2400 * time.Millisecond))
	g.Expect(hook.AllEntries()).To(HaveLen(1))
	g.Expect(hook.LastEntry().Message).To(Equal("keys_lost"))
	g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("age_ms", int64(1400)))

	s.RecordCurrent(now.Add(-100 * time.Millisecond)) // a list that was requested 0.1 s ago
	g.Expect(hook.AllEntries()).To(HaveLen(2))
	g.Expect(hook.LastEntry().Message).To(Equal("keys_regained"))
	g.Expect(hook.LastEntry().Data).To(HaveKeyWithValue("age_ms", int64(2400)))
	g.Expect(s.Age()).To(Equal(100 * time.Millisecond))

	s.RecordFailure(errors.New("no answer"))
	g.Expect(hook.AllEntries()).To(HaveLen(3))
}
