package poolowner

import (
	"fmt"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// logStatus logs a summary of the pool, and which jobs stand still beside room.
func (o *Owner) logStatus() {
	s := o.Status()
	plans := o.plans.Snapshot()
	rates := o.linkUse.Sample(o.deps.Clock.Now())
	fields := logrus.Fields{
		"workers": s.Workers, "suspended": s.SuspendedWorkers, "silent": s.UnresponsiveWorkers, "evacuated": s.EvacuatedWorkers, "jobs": s.Jobs, "steps": s.WaitingSteps, "waiting": s.WaitingTasks, "runs": s.Runs,
		"calls": s.AdviceCalls, "advisers": s.FreeAdvisers, "takeover": s.TakeoverPending, "held": s.BlockedJobs, "retired": s.SilentRetiredWorkers, "calls_waiting": o.WaitingCalls(), "relayed": o.RelayedWorkers(), "used": s.Used, "capacity": s.Capacity,
		"plan_p50_us": time.Duration(plans.Percentile(0.5)).Microseconds(), "plan_p99_us": time.Duration(plans.Percentile(0.99)).Microseconds(),
		"sent_kbps": fmt.Sprint(rates.Sent), "received_kbps": fmt.Sprint(rates.Received), "link_mbps": o.deps.LinkMbps,
	}
	for name, n := range s.Advice {
		fields[name] = n
	}
	o.deps.Log.WithFields(fields).Info("pool_status")
	o.logIdleJobs()
	o.logDelayedSteps()
}

// idleJobThreshold is the waiting time from which jobs without runs are counted in the log.
const idleJobThreshold = 1500 * time.Millisecond

// logIdleJobs logs how many jobs have nothing running in a pool with room, what they wait for, which workers get
// no tasks, and whether this owner plans.
func (o *Owner) logIdleJobs() {
	o.mu.Lock()
	now := o.deps.Clock.Now()
	idle := o.pool.IdleJobs(idleJobThreshold, now)
	authority, planAge := o.hasAuthority(now), now.Sub(o.plannedAt)
	o.mu.Unlock()
	if idle.Jobs == 0 {
		return
	}
	w := idle.Workers
	o.deps.Log.WithFields(logrus.Fields{
		"jobs": idle.Jobs, "authority": authority, "causes": fmt.Sprint(idle.Causes), "plan_age_ms": planAge.Milliseconds(),
		"usable": w.Usable, "suspended": w.Suspended, "silent": w.Silent, "not_in_roster": w.NotInRoster, "no_entry": w.NoEntry, "other": w.Other,
	}).Warn("jobs_idle")
}

const (
	// delayedStepThreshold is the waiting time from which a step in a pool with room is logged. The
	// platform counts a job as lost when it waits for 3 s there.
	delayedStepThreshold = 3 * time.Second
	// maxLoggedSteps is the maximum number of delayed steps that are logged with each pool_status.
	maxLoggedSteps = 5
)

// logDelayedSteps logs steps that have waited for long in a pool with room, and what they wait for.
func (o *Owner) logDelayedSteps() {
	o.mu.Lock()
	steps := o.pool.DelayedSteps(delayedStepThreshold, maxLoggedSteps, o.deps.Clock.Now())
	o.mu.Unlock()
	for _, step := range steps {
		o.deps.Log.WithFields(logrus.Fields{
			"cause": step.Cause, "step": step.Step, "customer": step.Customer, "waited_ms": step.Waited.Milliseconds(), "left_ms": step.TimeLeft.Milliseconds(), "waits": step.WaitReason,
		}).Warn("step_waits")
	}
}

// logEvent logs an event of the pool.
func (o *Owner) logEvent(e dispatch.Event) {
	o.countEvent(e)
	fields := logrus.Fields{}
	if e.Task.Job != "" {
		fields["task"] = e.Task.String()
		fields["run"] = e.Run
	}
	if e.Job != "" {
		fields["job"] = e.Job
	}
	if e.Customer != "" {
		fields["customer"] = e.Customer
	}
	if e.Worker != "" {
		fields["worker"] = e.Worker
	}
	if e.Detail != "" {
		fields["detail"] = e.Detail
	}
	o.deps.Log.WithFields(fields).Info(e.Name)
}

// countEvent counts an event under its name; run ends, rejected starts and job ends also by their
// reason.
func (o *Owner) countEvent(e dispatch.Event) {
	name := "pool." + e.Name
	if e.Name == "run_ended" || e.Name == "start_rejected" || e.Name == "job_ended" {
		name += "." + e.Detail
	}
	metrics.GetOrRegisterCounter(name, o.deps.Metrics).Inc(1)
}
