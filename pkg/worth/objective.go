package worth

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// maxLatenessFactor times the objective is the last moment at which a late end is worth something.
const maxLatenessFactor = 3

// Deadlines returns when a job should have ended that began to wait at a time, and the last moment at which that is still worth something.
// longest is the estimated time of its longest chain of steps, of which its queue allows extension times, at least one, and target besides.
func Deadlines(from clock.Time, longest time.Duration, extension float64, target time.Duration) (objective, latest clock.Time) {
	span := time.Duration(float64(longest)*max(extension, 1)) + target
	return from.Add(span), from.Add(maxLatenessFactor * span)
}

// ChainEstimates returns for each step of a job the estimated time from its start to the end of the job. advice is how long a call for advice
// takes that each step waits for. Steps come after earlier ones only.
func ChainEstimates(steps []job.Step, advice time.Duration) []time.Duration {
	out := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		out[i] += steps[i].Estimate + advice
		for _, a := range steps[i].After {
			out[a] = max(out[a], out[i])
		}
	}
	return out
}
