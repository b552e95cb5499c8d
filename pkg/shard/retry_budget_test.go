package shard

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestRetriesAddATenthAtMost(t *testing.T) {
	g := NewWithT(t)
	b := newRetryBudget()
	retries := 0
	const requests = 10000
	for range requests {
		b.earn()
		for range resendMost { // every try fails
			if b.take() {
				retries++
			}
		}
	}
	g.Expect(retries).To(BeNumerically("<=", requests/10+retryBurst))
	g.Expect(retries).To(BeNumerically(">", requests/11))
}
