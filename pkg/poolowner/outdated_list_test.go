package poolowner

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against an upkeep that ends tasks on a worker that has not been vacated: an order waited behind others
// that got no answer, and its machine started again meanwhile with another worker.
func TestOrdersAreNotSentByAnOutdatedList(t *testing.T) {
	f := newUpkeepFixture(t)
	f.silent = true
	f.o.PutWave(f.request("m1", "m2"))
	f.advance()
	f.Expect(f.orders()).To(HaveLen(1))
	f.advance()
	f.Expect(f.orders()).To(HaveLen(2), "the other machine is ordered by the next list")
}
