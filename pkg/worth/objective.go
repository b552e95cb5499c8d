package worth

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// An end is worth something until maxLatenessFactor times the time that the objective allows.
const maxLatenessFactor = 3

// maxChain is the longest time that the steps of a job are assumed to take. Longer ones, which callers may
// estimate, would overflow when they are summed up.
const maxChain = 50 * 365 * 24 * time.Hour

// Deadlines returns when a job that began to wait at a time should have ended, and the last moment at
// which its end is still worth something. longest is the estimated time of the job's longest chain of
// steps. The queue allows a job extension times as long, but at least longest, and target in addition.
func Deadlines(from clock.Time, longest time.Duration, extension float64, target time.Duration) (objective, latest clock.Time) {
	span := min(time.Duration(min(float64(longest)*max(extension, 1), float64(maxChain)))+target, maxChain)
	return from.Add(span), from.Add(maxLatenessFactor * span)
}

// ChainEstimates returns for each step of a job the estimated time from the step's start to the end of
// the job. advice is how long each step waits for an advice call. A step depends on earlier steps of
// the list only.
func ChainEstimates(steps []job.Step, advice time.Duration) []time.Duration {
	out := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		out[i] = min(out[i]+min(steps[i].Estimate, maxChain)+advice, maxChain)
		for _, a := range steps[i].After {
			out[a] = max(out[a], out[i])
		}
	}
	return out
}
