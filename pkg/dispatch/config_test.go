package dispatch

import (
	"testing"

	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// Guards against an owner that goes back to an older configuration. When a host takes over, it reads the
// configuration in force; the new owner may be sent a newer one before it gets the one that was read.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t, 1, nil)
	moved := testQueue
	moved.Pool = "another"
	f.pool.SetConfig(queue.NewConfig(3, []queue.Queue{moved}, nil))
	f.pool.SetConfig(queue.NewConfig(2, []queue.Queue{testQueue}, nil))
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the worker is in the pool that the queue was moved out of")
}
