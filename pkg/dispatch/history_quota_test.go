package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// fullQuota and lowQuota are quotas of a customer, in thousandths of a core: 3/8 and 1/8 of the
	// capacity of all workers.
	fullQuota = 6000
	lowQuota  = 2000
	// maxConfigDelay is how long a configuration takes at most to reach an owner.
	maxConfigDelay = time.Second
	// maxLateCallDelay is how long after it was sent a call without an answer is carried out at the
	// latest.
	maxLateCallDelay = 6 * time.Second
	// quotaTolerance is the share by which a customer may exceed its quota, in addition to one task.
	quotaTolerance = 0.1
)

// modelQuotas are the quotas of the customers in a random history, as the operator has configured them.
// They bind, and change.
type modelQuotas struct {
	version int64
	quota   map[string]int64
	// previousQuota is a quota that was lowered; it counts until previousQuotaUntil.
	previousQuota      map[string]int64
	previousQuotaUntil map[string]clock.Time
}

var historyCustomers = []string{"north", "south"}

func newModelQuotas() *modelQuotas {
	q := &modelQuotas{version: 1, quota: map[string]int64{}, previousQuota: map[string]int64{}, previousQuotaUntil: map[string]clock.Time{}}
	for _, name := range historyCustomers {
		q.quota[name] = fullQuota
	}
	return q
}

// config returns the configuration in force with the queue of the jobs; without quotas it has no customers.
func (q *modelQuotas) config(jobQueue queue.Queue) *queue.Config {
	cfg := queue.NewConfig(1, []queue.Queue{jobQueue}, nil)
	if q == nil {
		return cfg
	}
	cfg.Version = q.version
	var entries []customer.Entry
	for _, name := range historyCustomers {
		if q.quota[name] != 0 { // otherwise the customer is not configured
			entries = append(entries, customer.Entry{Customer: q.customer(name)})
		}
	}
	cfg.Customers, _ = customer.NewDirectory(entries)
	return cfg
}

func (q *modelQuotas) customer(name string) customer.Customer {
	return customer.Customer{Name: name, Weight: 1, Quota: cell.Resources{CPUMillis: q.quota[name]}}
}

// drawCustomer draws the customer of a job. Gangs that exceed the full quota become plain steps, since a
// host would refuse them.
func (q *modelQuotas) drawCustomer(w *world, steps []job.Step) customer.Customer {
	for i := range steps {
		s := &steps[i]
		s.Gang = s.Gang && s.Resources.CPUMillis*int64(s.Count) <= fullQuota
	}
	c := q.customer(historyCustomers[w.rand.IntN(len(historyCustomers))])
	c.Quota.CPUMillis = max(c.Quota.CPUMillis, lowQuota)
	return c
}

// change lowers or raises a random customer's quota.
func (q *modelQuotas) change(w *world) {
	name := historyCustomers[w.rand.IntN(len(historyCustomers))]
	was := q.quota[name]
	now := []int64{lowQuota, fullQuota}[w.rand.IntN(2)]
	if now < was {
		q.previousQuota[name], q.previousQuotaUntil[name] = was, w.now.Add(maxConfigDelay+callTimeout)
		w.maybeScheduleTakeover()
	}
	q.setQuota(w, name, now)
}

func (q *modelQuotas) setQuota(w *world, name string, quota int64) {
	q.quota[name] = quota
	q.version++
	w.logf("quota of %s is %d", name, quota)
	cfg := q.config(w.queue())
	for _, o := range w.owners {
		w.schedule(w.drawDuration(historyTick, maxConfigDelay), func() { o.pool.SetConfig(cfg) })
	}
}

// raiseAll gives all customers their full quotas, so that all jobs can end.
func (q *modelQuotas) raiseAll(w *world) {
	for _, name := range historyCustomers {
		if q.quota[name] != fullQuota {
			q.setQuota(w, name, fullQuota)
		}
	}
}

// checkRun checks that a run that begins does not bring its customer above its quota.
func (q *modelQuotas) checkRun(w *world, m *modelWorker, r modelRun) {
	if q == nil {
		return
	}
	name := w.store[r.task.Job].record.Customer.Name
	running := r.need.CPUMillis
	for _, other := range w.workers {
		for _, x := range other.runs {
			if w.store[x.task.Job].record.Customer.Name == name {
				running += x.need.CPUMillis
			}
		}
	}
	limit := q.quota[name]
	until := q.previousQuotaUntil[name]
	if w.late {
		until = until.Add(maxLateCallDelay) // the start was ordered before that, and cannot be revoked
	}
	if w.now < until {
		limit = max(limit, q.previousQuota[name])
	}
	if running > limit+int64(quotaTolerance*float64(limit))+r.need.CPUMillis {
		w.reportViolation("%s begins run %d on %s: customer %s has %d running of %d; the owner counts %+v", r.task, r.run, m.id, name, running, limit, w.presentOwner().pool.Customers())
	}
}
