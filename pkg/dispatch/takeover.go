package dispatch

import (
	"fmt"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/takeover"
)

// slowClock is how much slower than ours a worker's clock may run.
const slowClock = 0.02

// takeoverState tells which jobs have to wait until the runs of former owners are known.
//
// A former owner goes on for at most AuthorityTerm after most workers were fenced. What it
// starts until then on a worker that has not been fenced lapses within MaxHold. A job that
// was accepted under a former term is free when all workers have reported that may run it (package
// takeover), or when everything has lapsed. One that was accepted under our own term is free at once: a
// former owner that is told of it ends.
type takeoverState struct {
	pending bool
	lapsed  clock.Time // everything of former owners has ended
	orders  clock.Time // until when former owners may give orders to workers that have not answered here
	// silent are the workers that have not reported, and holds what they hold back; nil before that was worked out.
	silent []takeover.Silent
	holds  *takeover.Holds
	// openSettled says that only retired workers were silent once.
	openSettled bool
	// missed says that a worker may have crashed under a start of a former owner that nobody has counted.
	missed bool
	// unknown says that a worker may run something that can't be asked, since the roster's record of it can't be read.
	unknown bool
}

func newTakeover(cfg Config, now clock.Time) takeoverState {
	orders := now.Add(cfg.AuthorityTerm)
	return takeoverState{pending: cfg.Takeover, orders: orders, lapsed: orders.Add(lapseTime(cfg.MaxHold))}
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

// settleTakeover frees the jobs whose runs are all known, and ends the waiting when nothing is left to be known.
func (p *Pool) settleTakeover(now clock.Time) {
	if !p.takeover.pending || !p.loaded {
		return
	}
	silent := p.silentWorkers()
	presumed := false
	if len(silent) > 0 || p.takeover.unknown {
		if at := p.formerRunsOver(); now < at || !p.confirmedSince(at) {
			p.holdJobs(silent)
			return
		}
		presumed = true
	}
	p.takeover.pending = false
	p.cfg.Log(Event{Name: "takeover_settled"})
	p.forgetUnended()
	p.sumUnheard()
	for _, j := range p.jobsByID() {
		if j.held {
			j.presumed = presumed
			p.freeJob(j)
		}
		p.forgetIfIdle(j)
	}
}

// silentWorkers lists the lives of workers that have not told what they run, by id.
func (p *Pool) silentWorkers() []takeover.Silent {
	var out []takeover.Silent
	for _, w := range p.workersByID() {
		if !w.reported && !w.gone {
			out = append(out, takeover.Silent{Worker: w.info.ID.Name(), Retired: w.retired, Jobs: w.retiredJobs})
		}
	}
	return out
}

// holdJobs holds back the jobs that may have runs on silent workers, and frees the others.
func (p *Pool) holdJobs(silent []takeover.Silent) {
	t := &p.takeover
	if t.unknown || t.holds != nil && slices.EqualFunc(silent, t.silent, takeover.Silent.Equal) {
		return
	}
	t.silent, t.holds = silent, takeover.New(silent)
	held := 0
	for _, j := range p.jobsByID() {
		if !j.held {
			continue
		}
		if p.mayRunUnknown(j) {
			held++
			continue
		}
		p.freeJob(j)
		p.forgetIfIdle(j)
	}
	p.sumUnheard()
	if !t.openSettled && !t.mayRunAnything() {
		t.openSettled = true
		p.cfg.Log(Event{Name: "takeover_open_settled", Detail: fmt.Sprintf("jobs_held=%d retired_workers=%d", held, len(silent))})
	}
}

// freeJob takes in that all runs of former owners are known of a job.
func (p *Pool) freeJob(j *jobState) {
	j.held = false
	p.news = true
	p.stopPartialGangs(j)
}

// mayRunUnknown says that silent workers may have runs of a job.
func (p *Pool) mayRunUnknown(j *jobState) bool {
	if !p.takeover.pending || p.unknownToFormer(j) {
		return false
	}
	return p.takeover.holds == nil || p.takeover.holds.Holds(j.job.ID, p.storedNames(j))
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

// mayRunAnything says that there may be a worker with runs of any job.
func (t *takeoverState) mayRunAnything() bool {
	return t.pending && (t.unknown || t.holds == nil || t.holds.Open() > 0)
}

// blocked says that a former owner may have started tasks of the job that we don't know of.
func (p *Pool) blocked(j *jobState) bool {
	return p.takeover.pending && j.held
}

// unknownToFormer says that no former owner can have started the job.
func (p *Pool) unknownToFormer(j *jobState) bool {
	return !p.cfg.Takeover || j.free
}
