package shard

// The budget of retries: each request that is admitted earns a part of a retry, so that
// retries add a tenth to the load at most, however many requests fail. A few are allowed
// at once.
const (
	retryPart  = 0.1
	retryBurst = 20
)

// retryBudget bounds retries of all callers together. The engine's lock guards it.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: retryBurst}
}

// earn is called for each request that is admitted.
func (b *retryBudget) earn() {
	b.tokens = min(b.tokens+retryPart, retryBurst)
}

// take says whether a further try is within the budget.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
