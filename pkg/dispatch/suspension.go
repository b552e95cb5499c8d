package dispatch

import (
	"math"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

const (
	// distrustFor is how long a worker is distrusted after consecutive failures or a stuck run.
	distrustFor = 4 * time.Second
	// A worker is distrusted after failures in a row that are not all of the same job: at least
	// minFailuresInRow, and so many that a worker like the others of its pool has them with a probability of
	// at most maxCoincidence.
	minFailuresInRow = 2
	maxCoincidence   = 0.01
	// initialFailureShare is the share of runs of a pool that are assumed to fail before any has ended, and
	// failureShareWeight the weight of a new end in that share.
	initialFailureShare = 0.1
	failureShareWeight  = 0.02
	// maxDistrustedShare is the share of the workers of a pool that may be distrusted at once; one always may.
	maxDistrustedShare = 0.25
	// maxDistrustWait is how long a job without runs waits for other workers than distrusted ones. The platform
	// counts a job as lost that has waited 3 s while there was room; a call for advice and a start take up to
	// 0.9 s of these.
	maxDistrustWait = time.Second
)

// suspendWorker gives a worker no tasks for the given time, since it has refused a start or could not be reached.
func (p *Pool) suspendWorker(w *worker, d time.Duration, reason string, now clock.Time) {
	w.suspendedUntil = max(w.suspendedUntil, now.Add(d))
	p.cfg.Log(Event{Name: "worker_suspended", Worker: w.info.ID, Detail: reason})
}

// distrustWorker lets tasks start on other workers for some time, where there are any, and reports whether it
// did. It does not when too many workers are distrusted: what fails on so many of them is more likely the work
// than the workers.
func (p *Pool) distrustWorker(w *worker, reason string, now clock.Time) bool {
	if p.isDisabled(Suspension) || !p.mayDistrustAnother(w, now) {
		return false
	}
	w.distrustedUntil = now.Add(distrustFor)
	p.cfg.Log(Event{Name: "worker_suspended", Worker: w.info.ID, Detail: reason})
	return true
}

// mayDistrustAnother reports whether one more worker of a worker's pool may be distrusted.
func (p *Pool) mayDistrustAnother(w *worker, now clock.Time) bool {
	distrusted, all := 0, 0
	for _, o := range p.workers {
		if o.info.Pool != w.info.Pool || !o.isHealthy(now) {
			continue
		}
		all++
		if o != w && o.isDistrusted(now) {
			distrusted++
		}
	}
	return distrusted < max(1, int(maxDistrustedShare*float64(all)))
}

// isDistrusted reports whether tasks are to start on other workers, where there are any.
func (w *worker) isDistrusted(now clock.Time) bool {
	return now < w.distrustedUntil
}

// mayUseDistrusted reports whether a step has waited so long that its tasks may start on distrusted workers.
func (s *step) mayUseDistrusted(now clock.Time) bool {
	return (s.spec.LongRunning || !s.occurrence.job.hasRuns()) && now.Sub(s.readySince) >= maxDistrustWait
}

// preferTrusted removes the distrusted workers if the others have room for what the step starts at once.
func preferTrusted(s *step, workers []*worker, now clock.Time) []*worker {
	need := 1
	if s.spec.Gang {
		need = s.waitingTasks()
	}
	var trusted []*worker
	for _, w := range workers {
		if !w.isDistrusted(now) {
			trusted = append(trusted, w)
			need -= roomFor(s, w)
		}
	}
	if need > 0 {
		return workers
	}
	return trusted
}

// failureShares are the shares of runs that fail, by pool of workers.
type failureShares map[string]float64

func (f failureShares) of(pool string) float64 {
	if share, known := f[pool]; known {
		return share
	}
	return initialFailureShare
}

func (f failureShares) add(pool string, failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	f[pool] = f.of(pool)*(1-failureShareWeight) + x*failureShareWeight
}

// failuresInRow returns how many failures in a row speak against a worker of a pool.
func (f failureShares) failuresInRow(pool string) int {
	n := math.Log(maxCoincidence) / math.Log(f.of(pool))
	return max(minFailuresInRow, int(min(math.Ceil(n), math.MaxInt32)))
}

// recordWorkerResult counts the ends of runs on a worker, and distrusts it when it fails more than the others of
// its pool do. A run whose task has failed on another worker before says nothing about this one.
func (p *Pool) recordWorkerResult(w *worker, r *run, reason EndReason, now clock.Time) {
	switch reason {
	case EndDone:
		p.failureShares.add(w.info.Pool, false)
		w.consecutiveFailures, w.onProbation = 0, false
	case EndFailed:
		if avoided := r.task.avoidedWorker; avoided != "" && avoided != w.info.ID {
			return
		}
		p.failureShares.add(w.info.Pool, true)
		id := r.task.step.occurrence.job.job.ID
		if w.consecutiveFailures == 0 || w.lastFailedJob != id {
			w.consecutiveFailures++
		}
		w.lastFailedJob = id
		needed := p.failureShares.failuresInRow(w.info.Pool)
		if w.onProbation {
			needed--
		}
		if w.consecutiveFailures >= needed && p.distrustWorker(w, "failures", now) {
			w.consecutiveFailures, w.onProbation = 0, true
		}
	}
}
