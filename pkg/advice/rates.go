package advice

const (
	// initialRate is the share of allowed workers that is assumed for a queue without answers, and
	// minRate the lowest share that is assumed for any queue.
	initialRate = 0.5
	minRate     = 0.05
	// rateWeight is the weight of a new answer in a queue's rate, if the answer is about at least
	// rateSample workers. A smaller one has less weight: of 8 workers with a rate of 0.3, the share in an
	// answer is off by 0.16.
	rateWeight = 0.15
	rateSample = 20
)

// Rates are the shares of workers that are allowed, by queue, as estimated from the answers to calls. They
// are made as Rates{}.
type Rates map[string]float64

// Of returns the rate of a queue, which is above 0.
func (r Rates) Of(queueName string) float64 {
	if rate, known := r[queueName]; known {
		return max(rate, minRate)
	}
	return initialRate
}

// Update updates a queue's rate by an answer: how many workers it allowed of its call's targets, counting
// those that were asked about for the first time for their step. targets is above 0.
func (r Rates) Update(queueName string, allowed, targets int) {
	share := float64(allowed) / float64(targets)
	weight := rateWeight * min(float64(targets)/rateSample, 1)
	r[queueName] = r.Of(queueName)*(1-weight) + share*weight
}
