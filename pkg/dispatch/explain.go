package dispatch

import (
	"fmt"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

// Explanation is what the owner knows of a job, and why its tasks wait.
type Explanation struct {
	Job   job.ID    `json:"job"`
	State job.State `json:"state"`
	Queue string    `json:"queue,omitempty"`
	// Customer is the name of the job's customer.
	Customer string `json:"customer,omitempty"`
	Blocked  string `json:"blocked,omitempty"`
	// FinishedTimes counts the times of a schedule at which all tasks are done. Steps has those of other times
	// that have been due.
	FinishedTimes int        `json:"finished_times,omitempty"`
	Steps         []StepView `json:"steps,omitempty"`
}

// StepView is one step of one occurrence of a job.
type StepView struct {
	Step  string `json:"step"`
	Done  int    `json:"done"`
	Count int    `json:"count"`
	// LeftMs is the time until the job's objective, negative once that has passed; 0 for long-running tasks,
	// which have none.
	LeftMs     int64     `json:"left_ms"`
	WaitReason string    `json:"waits,omitempty"`
	Runs       []RunView `json:"runs,omitempty"`
	Failures   int       `json:"failures,omitempty"`
	// Crashes counts the consecutive worker crashes that are counted against its tasks.
	Crashes int `json:"crashes,omitempty"`
}

// RunView is a run that counts against a worker.
type RunView struct {
	Task    int    `json:"task"`
	Run     int    `json:"run"`
	Worker  string `json:"worker"`
	Percent int    `json:"percent"`
	State   string `json:"state"`
}

// blockedJobReason is shown for a job that a previous owner may have started.
const blockedJobReason = "runs of a former owner are still looked for"

var runStateNames = [...]string{"starting", "unsettled", "running", "being stored"}

// Explain returns what is known of a job; ok is false when nothing is.
func (p *Pool) Explain(id job.ID, now clock.Time) (e Explanation, ok bool) {
	state, customerName, ok := p.JobState(id)
	e = Explanation{Job: id, State: state, Customer: customerName}
	j, known := p.jobs[id]
	if !known {
		return e, ok
	}
	e.Queue = j.queue.Name
	if p.isBlockedByTakeover(j) {
		e.Blocked = blockedJobReason
	}
	if j.job.Schedule.Repeat > 0 {
		e.FinishedTimes = j.finishedOccurrences
	}
	for s := range j.steps() {
		e.Steps = append(e.Steps, p.explainStep(s, now))
	}
	return e, ok
}

func (p *Pool) explainStep(s *step, now clock.Time) StepView {
	v := StepView{
		Step: s.id().String(), Done: s.doneTasks, Count: s.spec.Count, LeftMs: s.timeLeft(now).Milliseconds(), WaitReason: p.waitReason(s, now), Failures: s.forgottenFailures,
	}
	for _, t := range s.tasks {
		v.Failures += len(t.failures)
		v.Crashes += len(t.crash.Crashes())
		if r := t.current; r != nil {
			v.Runs = append(v.Runs, RunView{t.index, r.number, string(r.worker.info.ID), r.progress.Percent, runStateNames[r.state]})
		}
	}
	return v
}

// waitReason says what the waiting tasks of a step wait for; it is empty when none waits.
func (p *Pool) waitReason(s *step, now clock.Time) string {
	switch {
	case s.finished():
		return ""
	case !s.dependenciesDone():
		return fmt.Sprintf("steps %v", s.spec.After)
	case s.waitingTasks() == 0:
		return ""
	case p.awaitsQuota(s):
		return p.quotaWaitReason(s)
	case s.awaitsProbe(now):
		return "a start to be proven, since a worker crashed under one of its tasks"
	case s.blockedUntil() != 0:
		return fmt.Sprintf("an earlier start without an answer, which its worker may carry out for %s", max(s.blockedUntil().Sub(now), 0))
	case len(s.advice.pendingCalls) > 0:
		return "advice from " + s.advice.pendingCalls[0].call.Adviser + p.gangRoomText(s, now)
	case s.spec.Gang && len(s.advice.allowed) > 0:
		return "tickets and room" + p.gangRoomText(s, now)
	case len(p.candidates(s, newReservations(), now)) > 0:
		return "its turn"
	case s.occurrence.job.queue.Advice != nil && len(s.advice.allowed) == 0:
		return fmt.Sprintf("a call for advice (%d of %d hosts are free)", p.advice.advisers.IdleCount(), p.advice.advisers.Count())
	}
	eligible := 0
	for _, w := range p.workers {
		if p.isEligible(s, w, now) && !s.advice.denied[w.info.ID] {
			eligible++
		}
	}
	reason := fmt.Sprintf("room for %s on one of %d workers that may run it", s.spec.Need(), eligible)
	if n := p.evacuatedWorkerCount(s.occurrence.job.queue.Pool); n > 0 {
		reason += fmt.Sprintf("; %d workers get nothing while halls are evacuated: %s", n, strings.Join(p.evacuatedHalls, ", "))
	}
	return reason
}

// quotaWaitReason says what the quota of a step's customer lacks, and what counts against it besides runs.
func (p *Pool) quotaWaitReason(s *step) string {
	a := s.occurrence.job.account
	reason := fmt.Sprintf("its customer's quota: %s runs, and %s may", a.Used(), a.Customer().Quota)
	if s.spec.Gang {
		reason += fmt.Sprintf("; %d members need %s at once", s.spec.Count, s.spec.MinResources())
	}
	if n := a.Unreported(); n != (cell.Resources{}) {
		reason += fmt.Sprintf("; %s may run on workers that have not told", n)
	}
	if n := a.ReservedFor(s.claimant()); n != (cell.Resources{}) {
		reason += fmt.Sprintf("; %s is kept for it", n)
	}
	if n := a.ReservedForOthers(s.claimant()); n != (cell.Resources{}) {
		reason += fmt.Sprintf("; %s is kept for steps that go first", n)
	}
	if n := a.Orphans(); n > 0 {
		reason += fmt.Sprintf("; %d runs of its ended jobs are being stopped", n)
	}
	if p.HasUnknownJobs() {
		reason += "; records of jobs that workers list are being read"
	}
	return reason
}

// gangRoomText says how many members of a gang have room and tickets at present. It is empty for other
// steps, and while no worker is known to be allowed.
func (p *Pool) gangRoomText(s *step, now clock.Time) string {
	if !s.spec.Gang || len(s.advice.allowed) == 0 {
		return ""
	}
	allowed := totalRoomFor(s, p.allowedWorkers(s, now))
	withTickets := totalRoomFor(s, p.candidates(s, newReservations(), now))
	return fmt.Sprintf("; %d members at once, room for %d on %d workers known to be allowed, for %d of them with tickets",
		s.spec.Count, allowed, len(s.advice.allowed), withTickets)
}

// totalRoomFor returns how many more tasks of a step some workers have room for.
func totalRoomFor(s *step, workers []*worker) int {
	room := 0
	for _, w := range workers {
		room += roomFor(s, w)
	}
	return room
}
