package takeover

import (
	"slices"

	"foldarch.dev/foldarch/pkg/job"
)

// SilentWorker is a life of a worker that has not reported to the new owner and may still run something of a former one.
type SilentWorker struct {
	Worker string // name, which all lives of a worker share
	// Retired says that Jobs has every job that may have a run on the worker; otherwise any job may.
	Retired bool
	Jobs    []job.ID
}

// Equal says that two hold back the same jobs.
func (s SilentWorker) Equal(o SilentWorker) bool {
	return s.Worker == o.Worker && s.Retired == o.Retired && slices.Equal(s.Jobs, o.Jobs)
}

// StoredWorkers are the workers to which starts of a job may have gone.
type StoredWorkers struct {
	// Stored says that every owner that may have started the job stored the worker's name first; otherwise nothing is known.
	Complete bool
	Workers  []string // by name
}

// Holds are the jobs that may have unknown runs of former owners, by the workers that are silent. New makes them.
type BlockedJobs struct {
	retiredWorkers      map[job.ID]int  // how many retired workers may run a job
	unrestrictedWorkers map[string]bool // workers that may run anything
}

// NewBlockedJobs returns what a set of silent workers holds back.
func NewBlockedJobs(silent []SilentWorker) *BlockedJobs {
	h := &BlockedJobs{retiredWorkers: map[job.ID]int{}, unrestrictedWorkers: map[string]bool{}}
	for _, s := range silent {
		if !s.Retired {
			h.unrestrictedWorkers[s.Worker] = true
			continue
		}
		for _, id := range s.Jobs {
			h.retiredWorkers[id]++
		}
	}
	return h
}

// Holds says whether a job may have unknown runs.
func (h *BlockedJobs) IsBlocked(id job.ID, names StoredWorkers) bool {
	switch {
	case h.retiredWorkers[id] > 0:
		return true
	case len(h.unrestrictedWorkers) == 0:
		return false
	case !names.Complete:
		return true
	}
	return slices.ContainsFunc(names.Workers, func(w string) bool { return h.unrestrictedWorkers[w] })
}

// UnrestrictedWorkers counts the silent workers that may run anything.
func (h *BlockedJobs) UnrestrictedWorkers() int {
	return len(h.unrestrictedWorkers)
}
