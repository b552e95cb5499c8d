package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// The waits of holds: how long a worker lets a hold wait for an end. They grow with the pool,
// so that the calls to workers don't grow as it does, and stay below usableWithin and the
// term of an owner's authority.
const (
	holdWait     = 600 * time.Millisecond  // in pools of up to usualPool workers
	longHoldWait = time.Second             // at most, while something runs there
	idleHoldWait = 1500 * time.Millisecond // at most, while nothing does
	usualPool    = 400
	// probeWait is the wait while a task that was started alone is not proven: other tasks wait for the worker. With it and a
	// crash.ProvenAfter of 0.3 s in place of 0.5 s jobs earn 0.024 more in a pool of 48 workers of which two crash each second (12 plays each).
	probeWait = 100 * time.Millisecond
)

// HoldWait is how long a worker is to let its next hold wait for an end.
func (p *Pool) HoldWait(id WorkerID) time.Duration {
	most := idleHoldWait
	w, known := p.workers[id]
	if known && len(w.runs) > 0 {
		most = longHoldWait
	}
	if known && w.claim.step != nil {
		return probeWait
	}
	scaled := holdWait * time.Duration(len(p.workers)) / usualPool
	return min(max(scaled, holdWait), most)
}

// HoldFor returns the next hold for a worker; ok is false when there is none to be sent any
// more. raise asks for a higher token, which settles lost answers.
func (p *Pool) HoldFor(id WorkerID, raise, extend bool, now clock.Time) (h Hold, ok bool) {
	w, known := p.workers[id]
	if !known || w.gone {
		return Hold{}, false
	}
	if raise {
		w.line.raise(p.cfg.Token)
	}
	w.asked(now)
	h = Hold{Worker: id, Address: w.info.Address, Token: w.line.token, SentAt: now}
	if w.doubted() {
		return h, true // the life that takes it may be another one, also seconds later: it is only asked
	}
	if w.mayNote(now) {
		h.LastSeen = w.noted
	}
	if w.fenced && extend && now.Sub(w.lastAnswer) < extendWithin {
		h.Deadline = w.deadline(now, p.cfg.Hold)
		w.bound = max(w.bound, h.Deadline)
	}
	return h, true
}
