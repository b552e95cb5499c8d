package crash

import (
	"cmp"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// ClaimTimeout is how long a worker stays claimed for a step before something starts there:
	// SurvivalTime and the longest wait of a poll, and as much again for a busy owner.
	ClaimTimeout = 2 * time.Second
	// maxClaimedShare is the share of the workers that may be claimed at once; one always may. If all
	// could be, a crash of many workers would stop work that has nothing to do with it.
	maxClaimedShare = 0.25
)

// MayClaimWorker reports whether one more worker may be claimed, given how many of all workers are claimed.
func MayClaimWorker(claimed, all int) bool {
	return claimed < max(1, int(maxClaimedShare*float64(all)))
}

// ProbeFitness says how well a worker suits a probe: the start of a suspect task alone on a worker.
type ProbeFitness struct {
	RecentRuns int // runs of other jobs that the worker has not survived yet
	// CrashedAt is when a worker at this address last crashed, since it may crash again without a task's
	// fault; 0 when that was not recent.
	CrashedAt  clock.Time
	LastSeenAt clock.Time // a worker that was seen recently has not crashed yet
}

// Compare orders workers by fitness, the best first: above all those on which no other run is recent.
func (f ProbeFitness) Compare(g ProbeFitness) int {
	return cmp.Or(
		cmp.Compare(min(f.RecentRuns, 1), min(g.RecentRuns, 1)), cmp.Compare(f.CrashedAt, g.CrashedAt),
		cmp.Compare(f.RecentRuns, g.RecentRuns), cmp.Compare(g.LastSeenAt, f.LastSeenAt),
	)
}
