package shard

const (
	tokensPerRequest = 0.1 // tokens that each admitted request adds
	maxTokens        = 20  // largest number of tokens
)

// retryBudget is a token bucket that limits the retries of all callers together. A retry
// takes one token, so that retries add at most a tenth to the load in the long run,
// however many requests fail. The engine's lock guards it.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget {
	return retryBudget{tokens: maxTokens}
}

// deposit adds the tokens of one admitted request.
func (b *retryBudget) deposit() {
	b.tokens = min(b.tokens+tokensPerRequest, maxTokens)
}

// withdraw takes one token and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
