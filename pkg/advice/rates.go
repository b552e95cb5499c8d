package advice

const (
	// initialRate is the share of allowed workers that is assumed of a queue at first, and minRate the smallest that is.
	initialRate = 0.5
	minRate     = 0.05
	// rateWeight is the weight of a new answer in a queue's rate, if it tells of rateSample workers or more. A
	// small part of a call tells less: of 8 workers with a rate of 0.3, the share in an answer is off by 0.16.
	rateWeight = 0.15
	rateSample = 20
)

// Rates are the shares of workers that are allowed, by queue, as the answers of calls have told. They are made as Rates{}.
type Rates map[string]float64

// Of is the rate of a queue, above 0.
func (r Rates) Of(queueName string) float64 {
	if rate, known := r[queueName]; known {
		return max(rate, minRate)
	}
	return initialRate
}

// Learn takes in how many workers an answer allowed of those that its call named for the first time for their step; named is above 0.
func (r Rates) Learn(queueName string, allowed, named int) {
	share := float64(allowed) / float64(named)
	weight := rateWeight * min(float64(named)/rateSample, 1)
	r[queueName] = r.Of(queueName)*(1-weight) + share*weight
}
