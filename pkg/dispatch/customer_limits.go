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
	totalSlack float64 // of all jobs, in ns; the sum of a few long ones overflows a duration
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
		t := totals[name][q.Name]
		if t == nil {
			t = &queueTotals{demand: admission.QueueDemand{Queue: q.Name, Pool: q.Pool, Priority: q.Priority}}
			totals[name][q.Name] = t
		}
		if t.addJob(j) && j.overShare {
			customersOverShare[name] = true
		}
	}
	var out []admission.Demand
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		d := admission.Demand{Customer: name, Weight: p.accounts[name].Customer().Weight, OverShare: customersOverShare[name]}
		for _, queueName := range slices.Sorted(maps.Keys(totals[name])) {
			t := totals[name][queueName]
			d.Queues = append(d.Queues, t.toDemand(p.poolLoad(t.demand.Pool).capacity))
		}
		out = append(out, d)
	}
	return out
}

// addJob adds a job's work, including that of steps that wait for other steps, and reports whether some
// tasks of the job have no run. Long-running and filler tasks are left out, since they never finish.
func (t *queueTotals) addJob(j *jobState) (waits bool) {
	for s := range j.steps() {
		if s.spec.LongRunning || s.spec.Filler {
			continue
		}
		need := s.spec.Need()
		work := need.Times(s.spec.Estimate.Milliseconds())
		t.waiting = t.waiting.Add(work.Times(int64(s.idleTasks)))
		t.work = t.work.Add(work.Times(int64(s.spec.Count)))
		t.running = t.running.Add(need.Times(int64(s.countedRuns)))
		waits = waits || s.idleTasks > 0
	}
	longest := slices.Max(j.chainEstimates)
	objective, _ := worth.Deadlines(0, longest, j.queue.Extension, j.queue.TargetLatency)
	t.totalSlack += float64(objective.Sub(clock.Time(0).Add(longest)))
	t.jobs++
	return waits
}

// maxPoolTime is the longest time, in ns, that work is assumed to take the pool; longer ones overflow.
const maxPoolTime = 1 << 61

// toDemand returns the totals as a demand on a pool with the given capacity.
func (t *queueTotals) toDemand(capacity cell.Resources) admission.QueueDemand {
	poolTime := func(work cell.Resources) time.Duration {
		return time.Duration(min(work.DominantShare(capacity)*float64(time.Millisecond), maxPoolTime))
	}
	t.demand.Waiting, t.demand.WorkPerJob = poolTime(t.waiting), poolTime(t.work)/time.Duration(t.jobs)
	t.demand.Slack = time.Duration(t.totalSlack / float64(t.jobs))
	t.demand.Running = t.running.DominantShare(capacity)
	return t.demand
}
