package jobapi

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobapi/jobsapi"
)

// toJob converts a request to a job.
func toJob(id job.ID, r *jobsapi.JobRequest) job.Job {
	j := job.Job{ID: id, Spec: r.Spec.Value}
	if s, ok := r.Schedule.Get(); ok {
		j.Schedule = job.Schedule{Repeat: s.Repeat, Start: s.Start, Interval: milliseconds(s.IntervalMs)}
	}
	for _, s := range r.Steps {
		j.Steps = append(j.Steps, toStep(s))
	}
	return j
}

// toStep converts a step of a request.
func toStep(s jobsapi.Step) job.Step {
	return job.Step{
		Count: s.Count,
		Resources: cell.Resources{
			CPUMillis: s.CPUMillis.Value, MemoryMB: s.MemoryMB.Value, Accelerators: s.Accelerators.Value,
		},
		Estimate: milliseconds(s.EstimateMs.Value), After: s.After, Checkpointing: s.Checkpointing.Value,
		Gang: s.Gang.Value, SameRack: s.SameRack.Value, Requirement: s.Requirement.Value, Affinity: s.Affinity.Value,
		MaxPerWorker: s.MaxPerWorker.Value, Speculative: s.Speculative.Value, LongRunning: s.LongRunning.Value,
		Filler: s.Filler.Value, Image: s.Image.Value, TargetTail: milliseconds(s.TargetTailMs.Value),
		MissAllowed: s.MissAllowed.Value,
	}
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
