package advice

// Claims sum up, in a plan, what calls under way are expected to use of each pool's room, by the names of pools. A step whose room is all claimed by
// steps that go before it makes no call: its tickets would lapse unused. They are made as Claims{}.
type Claims map[string]float64

// Add takes in that a number of tasks are expected to start that take a share of the pool each.
func (c Claims) Add(pool string, tasks, share float64) {
	c[pool] += tasks * share
}

// Tasks is for how many tasks that take a share of the pool each the room is claimed, on a part of the workers.
func (c Claims) Tasks(pool string, share, part float64) float64 {
	if share <= 0 {
		return 0
	}
	return c[pool] * part / share
}
