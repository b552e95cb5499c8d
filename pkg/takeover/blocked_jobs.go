package takeover

import (
	"slices"

	"foldarch.dev/foldarch/pkg/job"
)

// Silent is a life of a worker that has not reported to the new owner and may still run something of a former one.
type Silent struct {
	Worker string // name, which all lives of a worker share
	// Retired says that Jobs has every job that may have a run on the worker; otherwise any job may.
	Retired bool
	Jobs    []job.ID
}

// Equal says that two hold back the same jobs.
func (s Silent) Equal(o Silent) bool {
	return s.Worker == o.Worker && s.Retired == o.Retired && slices.Equal(s.Jobs, o.Jobs)
}

// Names are the workers to which starts of a job may have gone.
type Names struct {
	// Stored says that every owner that may have started the job stored the worker's name first; otherwise nothing is known.
	Stored  bool
	Workers []string // by name
}

// Holds are the jobs that may have unknown runs of former owners, by the workers that are silent. New makes them.
type Holds struct {
	retired map[job.ID]int  // how many retired workers may run a job
	open    map[string]bool // workers that may run anything
}

// New returns what a set of silent workers holds back.
func New(silent []Silent) *Holds {
	h := &Holds{retired: map[job.ID]int{}, open: map[string]bool{}}
	for _, s := range silent {
		if !s.Retired {
			h.open[s.Worker] = true
			continue
		}
		for _, id := range s.Jobs {
			h.retired[id]++
		}
	}
	return h
}

// Holds says whether a job may have unknown runs.
func (h *Holds) Holds(id job.ID, names Names) bool {
	switch {
	case h.retired[id] > 0:
		return true
	case len(h.open) == 0:
		return false
	case !names.Stored:
		return true
	}
	return slices.ContainsFunc(names.Workers, func(w string) bool { return h.open[w] })
}

// Open counts the silent workers that may run anything.
func (h *Holds) Open() int {
	return len(h.open)
}
