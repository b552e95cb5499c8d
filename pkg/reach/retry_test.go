package reach

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against callers that all return at once after an outage, or when their time is up.
func TestRetryAfterIsSpreadOverTheTimeLeft(t *testing.T) {
	for left, last := range map[time.Duration]int{
		0: 1, time.Millisecond: 1, time.Second: 1, 1900 * time.Millisecond: 1, 2 * time.Second: 1, 2900 * time.Millisecond: 2, 3 * time.Second: 2, 5 * time.Second: 4,
	} {
		t.Run(left.String(), func(t *testing.T) {
			g := NewWithT(t)
			const callers = 1000
			at := map[time.Duration]int{}
			for n := range callers {
				id := fmt.Sprintf("%016x", n)
				at[RetryAfter(id, left)]++
				g.Expect(RetryAfter(id, left)).To(Equal(RetryAfter(id, left)), "all hosts agree")
			}
			g.Expect(at).To(HaveLen(last))
			for s := range last {
				g.Expect(at[time.Duration(s+1)*time.Second]).To(BeNumerically("~", callers/last, callers/last/4), "after %d s", s+1)
			}
		})
	}
}
