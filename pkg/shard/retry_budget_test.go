package shard

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestRetryBudgetLimitsRetriesToATenth(t *testing.T) {
	g := NewWithT(t)
	b := newRetryBudget()
	retries := 0
	const requests = 10000
	for range requests {
		b.deposit()
		for range maxResends { // every try fails
			if b.withdraw() {
				retries++
			}
		}
	}
	g.Expect(retries).To(BeNumerically("<=", requests/10+maxTokens))
	g.Expect(retries).To(BeNumerically(">", requests/11))
}
