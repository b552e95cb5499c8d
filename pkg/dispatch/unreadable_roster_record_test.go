package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A worker whose roster record can't be read may have the longest lease, whichever workers are known.
func TestUnreadableRecordMayBeOfAWorkerWithIncarnations(t *testing.T) {
	for name, addAt := range map[string]time.Duration{
		"a worker with incarnations is known from the start": 0,
		"no worker is known at first":                        9 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 0, func(c *Config) {
				afterPreviousOwner(c)
				withLongWorkerLeases(c)
			})
			until := f.now.Add(f.pool.cfg.AuthorityTerm + f.pool.cfg.WorkerMaxLease)
			f.pool.RecordUnreadableWorker()
			f.add(testJob("a", testStep(1)))
			for deadline := f.now.Add(addAt); f.now < deadline; f.advance(100 * time.Millisecond) {
				f.Expect(f.plan().Starts).To(BeEmpty())
			}
			f.beginIncarnation(firstIncarnation(0), Report{})
			f.expectNoStartUntil(until, firstIncarnation(0), "the worker whose record can't be read may have a run")
		})
	}
}
