package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"foldarch.dev/foldarch/pkg/cell"
)

// CustomerStatus is what one customer has in the owner's pools.
type CustomerStatus struct {
	Name   string         `json:"name"`
	Weight float64        `json:"weight"`
	Quota  cell.Resources `json:"quota"` // 0 means no limit on that resource
	Used   cell.Resources `json:"used"`
	// Share is the share of the capacity of all workers that its runs use, for the resource of which that
	// share is largest.
	Share float64 `json:"share"`
	Jobs  int     `json:"jobs"` // not ended
	// Waiting are its tasks that could start if it had quota and room, and AwaitQuota those of them that
	// wait for its quota.
	Waiting    int `json:"waiting"`
	AwaitQuota int `json:"await_quota"`
	// AdviceMs is the total duration of the advice calls for its steps since this owner began, in
	// milliseconds.
	AdviceMs int64 `json:"advice_ms"`
}

// Customers lists the customers, those with the largest share first.
func (p *Pool) Customers() []CustomerStatus {
	var capacity cell.Resources
	for _, w := range p.workers {
		if !w.terminated {
			capacity = capacity.Add(w.info.Capacity)
		}
	}
	rows := make(map[string]*CustomerStatus, len(p.accounts))
	for name, a := range p.accounts {
		c, used := a.Customer(), a.Used()
		rows[name] = &CustomerStatus{Name: name, Weight: c.Weight, Quota: c.Quota, Used: used, Share: used.DominantShare(capacity), AdviceMs: p.advice.tally.CustomerCallTime(name).Milliseconds()}
	}
	for _, j := range p.jobs {
		if row := rows[j.customer.Name]; row != nil && j.outcome == "" {
			row.Jobs++
		}
	}
	for s := range p.waitingSteps.all() {
		row := rows[s.occurrence.job.customer.Name]
		if row == nil {
			continue
		}
		waiting := s.waitingTasks()
		row.Waiting += waiting
		row.AwaitQuota += waiting - p.startableTasks(s)
	}
	out := make([]CustomerStatus, 0, len(rows))
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		out = append(out, *rows[name])
	}
	slices.SortStableFunc(out, func(a, b CustomerStatus) int { return cmp.Compare(b.Share, a.Share) })
	return out
}
