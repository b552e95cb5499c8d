package dispatch

import (
	"cmp"
	"slices"
)

// updateOverShare takes in how many jobs a second a job's customer sends.
func (p *Pool) updateOverShare(j *jobState) {
	if a := j.account; a != nil {
		j.overShare = a.RecordArrival(j.accepted)
	}
}

// updateOverShareOfLoaded does so for the jobs that were read from the store, in the order in which they were accepted.
func (p *Pool) updateOverShareOfLoaded() {
	loaded := make([]*jobState, 0, len(p.jobs))
	for _, j := range p.jobs {
		loaded = append(loaded, j)
	}
	slices.SortFunc(loaded, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(a.accepted, b.accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	for _, j := range loaded {
		p.updateOverShare(j)
	}
}
