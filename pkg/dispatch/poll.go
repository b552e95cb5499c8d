package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// The waits of holds: how long a worker lets a hold wait for an end. They grow with the pool,
// so that the calls to workers don't grow as it does, and stay below answerTimeout and the
// term of an owner's authority.
const (
	pollWait          = 600 * time.Millisecond  // in pools of up to referencePoolSize workers
	maxPollWait       = time.Second             // at most, while something runs there
	maxIdlePollWait   = 1500 * time.Millisecond // at most, while nothing does
	referencePoolSize = 400
	// probeWait is the wait while a task that was started alone is not proven: other tasks wait for the worker. With it and a
	// crash.SurvivalTime of 0.3 s in place of 0.5 s jobs earn 0.024 more in a pool of 48 workers of which two crash each second (12 plays each).
	probeWait = 100 * time.Millisecond
)

// PollWait is how long a worker is to let its next hold wait for an end.
func (p *Pool) PollWait(id WorkerID) time.Duration {
	most := maxIdlePollWait
	w, known := p.workers[id]
	if known && len(w.runs) > 0 {
		most = maxPollWait
	}
	if known && w.claim.step != nil {
		return probeWait
	}
	scaled := pollWait * time.Duration(len(p.workers)) / referencePoolSize
	return min(max(scaled, pollWait), most)
}

// NewPoll returns the next hold for a worker; ok is false when there is none to be sent any
// more. raise asks for a higher token, which settles lost answers.
func (p *Pool) NewPoll(id WorkerID, raise, extend bool, now clock.Time) (h PollOrder, ok bool) {
	w, known := p.workers[id]
	if !known || w.terminated {
		return PollOrder{}, false
	}
	if raise {
		w.history.raiseToken(p.cfg.Token)
	}
	w.recordPollSent(now)
	h = PollOrder{Worker: id, Address: w.info.Address, Token: w.history.token, SentAt: now}
	if w.mayBeReplaced() {
		return h, true // the life that takes it may be another one, also seconds later: it is only asked
	}
	if w.mayAcknowledge(now) {
		h.AckedEnd = w.lastCommittedEnd
	}
	if w.fenced && extend && now.Sub(w.lastAnsweredAt) < leaseExtensionTimeout {
		h.Deadline = w.leaseDeadline(now, p.cfg.LeaseDuration)
		w.latestDeadline = max(w.latestDeadline, h.Deadline)
	}
	return h, true
}
