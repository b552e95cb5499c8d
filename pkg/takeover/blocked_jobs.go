package takeover

import (
	"slices"

	"foldarch.dev/foldarch/pkg/job"
)

// SilentWorker is an incarnation of a worker that has not reported to the new owner and may still run
// tasks that a previous owner started.
type SilentWorker struct {
	Worker string // name, the same for all incarnations of the worker
	// Retired says that a previous owner retired the worker, so that Jobs has every job that may have a
	// run on it. Otherwise any job may have one.
	Retired bool
	Jobs    []job.ID
}

// Equal reports whether two silent workers block the same jobs.
func (s SilentWorker) Equal(o SilentWorker) bool {
	return s.Worker == o.Worker && s.Retired == o.Retired && slices.Equal(s.Jobs, o.Jobs)
}

// StoredWorkers are the workers to which starts of a job may have been sent, according to the store.
type StoredWorkers struct {
	// Complete says that every owner that may have started tasks of the job stored a worker's name before
	// its first start there. Otherwise the job may also run on other workers.
	Complete bool
	Workers  []string // names
}

// BlockedJobs are the jobs that may have runs which previous owners started and this owner does not know
// of, because some workers are silent. NewBlockedJobs makes them.
type BlockedJobs struct {
	retiredWorkers      map[job.ID]int  // number of silent retired workers that may run a job
	unrestrictedWorkers map[string]bool // silent workers that may run any job
}

// NewBlockedJobs returns the jobs that a set of silent workers blocks.
func NewBlockedJobs(silent []SilentWorker) *BlockedJobs {
	b := &BlockedJobs{retiredWorkers: map[job.ID]int{}, unrestrictedWorkers: map[string]bool{}}
	for _, s := range silent {
		if !s.Retired {
			b.unrestrictedWorkers[s.Worker] = true
			continue
		}
		for _, id := range s.Jobs {
			b.retiredWorkers[id]++
		}
	}
	return b
}

// IsBlocked reports whether a job may have unknown runs. stored has the workers of the job in the store.
func (b *BlockedJobs) IsBlocked(id job.ID, stored StoredWorkers) bool {
	switch {
	case b.retiredWorkers[id] > 0:
		return true
	case len(b.unrestrictedWorkers) == 0:
		return false
	case !stored.Complete:
		return true
	}
	return slices.ContainsFunc(stored.Workers, func(w string) bool { return b.unrestrictedWorkers[w] })
}

// UnrestrictedWorkers returns the number of silent workers that may run any job.
func (b *BlockedJobs) UnrestrictedWorkers() int {
	return len(b.unrestrictedWorkers)
}
