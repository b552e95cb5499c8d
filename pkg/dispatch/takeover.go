package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// slowClock is how much slower than ours a worker's clock may run.
const slowClock = 0.02

// takeover tells which jobs have to wait until the runs of former owners are known.
//
// A former owner goes on for at most AuthorityTerm after most workers were fenced. What it
// starts until then on a worker that has not been fenced lapses within MaxHold. Jobs that
// were accepted under a former term are free when all workers have reported, or when
// everything has lapsed. A job that was accepted under our own term is free at once: a
// former owner that is told of it ends.
type takeover struct {
	pending bool
	lapsed  clock.Time // everything of former owners has ended
	orders  clock.Time // until when former owners may give orders to workers that have not answered here
	// presumed says that the waiting ended by time: some workers have not told what they ran.
	presumed bool
	// missed says that a worker may have crashed under a start of a former owner that nobody has counted.
	missed bool
	// unknown says that a worker may run something that can't be asked, since the roster's record of it can't be read.
	unknown bool
}

func newTakeover(cfg Config, now clock.Time) takeover {
	orders := now.Add(cfg.AuthorityTerm)
	return takeover{pending: cfg.Takeover, orders: orders, lapsed: orders.Add(lapseTime(cfg.MaxHold))}
}

// lapseTime is the time by our clock after which a lease of a duration by a worker's clock
// has certainly ended.
func lapseTime(hold time.Duration) time.Duration {
	const slack = 20 * time.Millisecond
	return time.Duration(float64(hold)*(1+2*slowClock)) + slack
}

// longestLease is the longest lease that orders of others, or for another life, may have given on a worker. A deadline by
// the clock of another life may be far ahead.
func (p *Pool) longestLease(w *worker) time.Duration {
	if w.info.ID.Born() != 0 {
		return max(p.cfg.LongestLease, p.cfg.MaxHold)
	}
	return p.cfg.MaxHold
}

// Fencing begins anew to count the terms of a takeover: most workers are fenced only now.
func (p *Pool) Fencing(now clock.Time) {
	if p.takeover.pending {
		t := newTakeover(p.cfg, now)
		p.takeover.orders, p.takeover.lapsed = t.orders, t.lapsed
	}
}

// settleTakeover ends the waiting when all is known.
func (p *Pool) settleTakeover(now clock.Time) {
	if !p.takeover.pending || !p.loaded {
		return
	}
	if !p.allReported() {
		if at := p.formerRunsOver(); now < at || !p.confirmedSince(at) {
			return
		}
		p.takeover.presumed = true
	}
	p.takeover.pending = false
	p.cfg.Log(Event{Name: "takeover_settled"})
	p.stopPartialGangs()
	p.forgetUnended()
	p.sumUnheard()
	for _, j := range p.jobs {
		p.forgetIfIdle(j)
	}
}

// MissWorker takes in that a worker may run something of former owners and can't be asked, so that all of theirs has to lapse.
func (p *Pool) MissWorker() {
	p.takeover.unknown = true
}

// formerRunsOver is when nothing of former owners runs any more that no worker has told of. A worker that answers without lists that count is
// held on by this owner.
func (p *Pool) formerRunsOver() clock.Time {
	at := p.takeover.lapsed
	for _, w := range p.workers {
		if w.fenced && !w.reported && !w.gone {
			at = max(at, w.lapsedAt())
		}
	}
	return at
}

// allReported says that all workers have told what they run.
func (p *Pool) allReported() bool {
	if p.takeover.unknown {
		return false
	}
	for _, w := range p.workers {
		if !w.reported && !w.gone {
			return false
		}
	}
	return true
}

// blocked says that a former owner may have started tasks of the job that we don't know of.
func (p *Pool) blocked(j *jobState) bool {
	return p.takeover.pending && !p.unknownToFormer(j)
}

// unknownToFormer says that no former owner can have started the job.
func (p *Pool) unknownToFormer(j *jobState) bool {
	return !p.cfg.Takeover || j.free
}
