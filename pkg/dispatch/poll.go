package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// The waits of polls: how long a worker delays its answer to a poll while nothing has ended. They grow
// with the pool, so that the rate of calls does not grow with it, and they stay below answerTimeout and
// the term of an owner's authority.
const (
	pollWait          = 600 * time.Millisecond  // in pools of up to referencePoolSize workers
	maxPollWait       = time.Second             // maximum while the worker has runs
	maxIdlePollWait   = 1500 * time.Millisecond // maximum while the worker has no runs
	referencePoolSize = 400
	// probeWait is the wait while a worker is claimed for a task that was started alone and has not
	// survived yet: other tasks wait for the worker. With it and a crash.SurvivalTime of 0.3 s in place
	// of 0.5 s jobs earn 0.024 more in a pool of 48 workers of which two crash each second (12 trials
	// each).
	probeWait = 100 * time.Millisecond
)

// PollWait returns how long a worker may delay its answer to the next poll while nothing has ended.
func (p *Pool) PollWait(id WorkerID) time.Duration {
	limit := maxIdlePollWait
	w, known := p.workers[id]
	if known && len(w.runs) > 0 {
		limit = maxPollWait
	}
	if known && w.claim.step != nil {
		return probeWait
	}
	scaled := pollWait * time.Duration(len(p.workers)) / referencePoolSize
	return min(max(scaled, pollWait), limit)
}

// NewPoll returns the next poll for a worker; ok is false when the worker is to be polled no more.
// raise raises the token of the worker, so that starts whose answers were lost are resolved by the next
// report. extend allows the poll to extend the worker's leases.
func (p *Pool) NewPoll(id WorkerID, raise, extend bool, now clock.Time) (poll PollOrder, ok bool) {
	w, known := p.workers[id]
	if !known || w.terminated {
		return PollOrder{}, false
	}
	if raise {
		w.history.raiseToken(p.cfg.Token)
	}
	w.recordPollSent(now)
	poll = PollOrder{Worker: id, Address: w.info.Address, Token: w.history.token, SentAt: now}
	if w.mayBeReplaced() {
		// Another incarnation may receive the poll, even seconds later, so it extends and acknowledges
		// nothing.
		return poll, true
	}
	if w.mayAcknowledge(now) {
		poll.AckedEnd = w.lastCommittedEnd
	}
	if w.fenced && extend && now.Sub(w.lastAnsweredAt) < leaseExtensionTimeout {
		poll.Deadline = w.leaseDeadline(now, p.cfg.LeaseDuration)
		w.latestDeadline = max(w.latestDeadline, poll.Deadline)
		w.history.leasesExtendedBy, w.extensionPending = now, true
	}
	return poll, true
}
