package dispatch

import (
	"maps"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/admission"
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/worth"
)

// CustomerLimits lists, by customer name, the limits on new jobs that apply now. There are none while runs
// of previous owners are looked for, since the work being done is not known then.
func (p *Pool) CustomerLimits(now clock.Time) []admission.Limit {
	if p.config == nil || !p.jobsLoaded || p.takeover.mayRunAnyJob() {
		return nil
	}
	return p.limiter.Limits(p.customerDemands(), now.Sub(p.createdAt), now)
}

// countAcceptedJob counts an accepted job of a customer.
func (p *Pool) countAcceptedJob(j *jobState) {
	if j.account != nil {
		p.limiter.RecordAccepted(j.customer.Name, j.queue.Name, p.now)
	}
}

// queueTotals are the totals of one customer's jobs in one queue.
type queueTotals struct {
	demand     admission.QueueDemand
	jobs       int
	totalSlack time.Duration // of all jobs
	// waiting and work are resources multiplied by milliseconds; running are resources.
	waiting, running, work cell.Resources
}

// customerDemands sums up what each customer has waiting and running.
func (p *Pool) customerDemands() []admission.Demand {
	totals := map[string]map[string]*queueTotals{} // by customer and queue
	customersOverShare := map[string]bool{}
	for _, j := range p.jobs {
		if j.account == nil || j.outcome != "" {
			continue
		}
		name, q := j.customer.Name, &j.queue
		if totals[name] == nil {
			totals[name] = map[string]*queueTotals{}
		}
		w := totals[name][q.Name]
		if w == nil {
			w = &queueTotals{demand: admission.QueueDemand{Queue: q.Name, Pool: q.Pool, Priority: q.Priority}}
			totals[name][q.Name] = w
		}
		if w.addJob(j) && j.overShare {
			customersOverShare[name] = true
		}
	}
	var out []admission.Demand
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		d := admission.Demand{Customer: name, Weight: p.accounts[name].Customer().Weight, OverShare: customersOverShare[name]}
		for _, queueName := range slices.Sorted(maps.Keys(totals[name])) {
			w := totals[name][queueName]
			d.Queues = append(d.Queues, w.toDemand(p.poolLoad(w.demand.Pool).capacity))
		}
		out = append(out, d)
	}
	return out
}

// addJob adds a job's work, including that of steps that wait for other steps, and reports whether some
// tasks of the job have no run. Long-running and filler tasks are left out, since they never finish.
func (w *queueTotals) addJob(j *jobState) (waits bool) {
	for s := range j.steps() {
		if s.spec.LongRunning || s.spec.Filler {
			continue
		}
		need, ms := s.spec.Need(), s.spec.Estimate.Milliseconds()
		w.waiting = w.waiting.Add(need.Times(int64(s.idleTasks) * ms))
		w.work = w.work.Add(need.Times(int64(len(s.tasks)) * ms))
		w.running = w.running.Add(need.Times(int64(s.countedRuns)))
		waits = waits || s.idleTasks > 0
	}
	longest := slices.Max(j.chainEstimates)
	objective, _ := worth.Deadlines(0, longest, j.queue.Extension, j.queue.TargetLatency)
	w.totalSlack += objective.Sub(clock.Time(0).Add(longest))
	w.jobs++
	return waits
}

// toDemand returns the totals as a demand on a pool with the given capacity.
func (w *queueTotals) toDemand(capacity cell.Resources) admission.QueueDemand {
	poolTime := func(work cell.Resources) time.Duration {
		return time.Duration(work.DominantShare(capacity) * float64(time.Millisecond))
	}
	w.demand.Waiting, w.demand.WorkPerJob = poolTime(w.waiting), poolTime(w.work)/time.Duration(w.jobs)
	w.demand.Slack = w.totalSlack / time.Duration(w.jobs)
	w.demand.Running = w.running.DominantShare(capacity)
	return w.demand
}
