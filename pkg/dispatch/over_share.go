package dispatch

import (
	"cmp"
	"slices"
)

// updateOverShare records the arrival of a job in its customer's account and marks the job if the
// customer sends more jobs per second than its weight allows.
func (p *Pool) updateOverShare(j *jobState) {
	if a := j.account; a != nil {
		j.overShare = a.RecordArrival(j.accepted)
	}
}

// updateOverShareOfLoaded calls updateOverShare for all jobs that were read from the store, in the order
// in which they were accepted.
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
