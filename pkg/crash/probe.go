package crash

import (
	"cmp"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// ClaimTimeout is how long a worker is claimed for a step before something begins there: SurvivalTime and the longest wait of a hold,
	// with as much to spare for a busy owner.
	ClaimTimeout = 2 * time.Second
	// maxClaimedShare is the part of the workers, at least one, that may be claimed at once: with all of them a crash of many
	// workers would stop what has nothing to do with it.
	maxClaimedShare = 0.25
)

// MayClaimWorker says whether one more worker may be claimed, of so many, of which some are.
func MayClaimWorker(claimed, all int) bool {
	return claimed < max(1, int(maxClaimedShare*float64(all)))
}

// ProbeFitness is how well a worker suits a task that is to be started alone.
type ProbeFitness struct {
	RecentRuns int        // runs of other jobs that are not proven
	CrashedAt  clock.Time // at its address; 0 for not lately. Such a worker may crash on its own again
	LastSeenAt clock.Time // one that was heard of lately has not crashed yet
}

// Compare puts workers first on which nothing else is beginning.
func (f ProbeFitness) Compare(g ProbeFitness) int {
	return cmp.Or(
		cmp.Compare(min(f.RecentRuns, 1), min(g.RecentRuns, 1)), cmp.Compare(f.CrashedAt, g.CrashedAt),
		cmp.Compare(f.RecentRuns, g.RecentRuns), cmp.Compare(g.LastSeenAt, f.LastSeenAt),
	)
}
