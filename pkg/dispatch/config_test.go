package dispatch

import (
	"testing"

	"foldarch.dev/foldarch/pkg/queue"
	. "github.com/onsi/gomega"
)

// Symptom: an owner places jobs by an older configuration than it had. Sequence: a host takes over and reads the configuration in
// force; a newer one is put in force and told to the new owner; then the one that was read before is. Cause: the pool took
// whatever it was told last.
func TestOlderConfigurationIsNotPutInForce(t *testing.T) {
	f := newFixture(t, 1, nil)
	moved := testQueue
	moved.Pool = "another"
	f.pool.SetConfig(queue.NewConfig(3, []queue.Queue{moved}, nil))
	f.pool.SetConfig(queue.NewConfig(2, []queue.Queue{testQueue}, nil))
	f.reportAll(1)
	f.add(testJob("a", testStep(1)))
	f.Expect(f.plan().Starts).To(BeEmpty(), "the worker is of the pool that the queue has left")
}
