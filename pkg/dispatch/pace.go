package dispatch

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
)

// Tasks that fill what others leave unused disturb those that serve. When the tail of a
// serving task comes near its target, the fillers on its worker are slowed down at once; when
// all tails there have stayed well below for a while, they are let go faster step by step.
const (
	fullPace = 100 // percent
	// startPace, in percent, is the pace of a filler that has just started beside a task that serves:
	// its disturbance is not known yet.
	startPace = 30
	// paceDownTo times the present pace is the next lower one. Four reports of a high tail bring a filler
	// from full pace to a standstill nearly, within the 4 s in which the platform counts no harm.
	paceDownTo = 0.4
	// paceUpBy, in percentage points, takes seven seconds from a standstill to full pace.
	paceUpBy = 15
	// tailHigh and tailLow are shares of a target. Tails are rough figures over half a second, off by a
	// fifth or so, so that fillers are slowed down a fifth before the target.
	tailHigh = 0.8
	tailLow  = 0.55
	// calmFor is how long all tails must have been low before fillers go faster.
	calmFor = time.Second
)

// pacing is what is known of the disturbance on a worker.
type pacing struct {
	calmSince clock.Time // 0 while a tail is not low
}

// paceFillers decides how fast the fillers on a worker go.
func (p *Pool) paceFillers(w *worker, now clock.Time) {
	highest, serves := worstTail(w)
	if !serves || p.without(Pacing) {
		p.paceEach(w, func(int) int { return fullPace })
		return
	}
	switch {
	case highest > tailHigh:
		w.pacing.calmSince = 0
		p.paceEach(w, func(pace int) int { return int(float64(pace) * paceDownTo) })
	case highest > tailLow:
		w.pacing.calmSince = 0
		p.paceEach(w, func(pace int) int { return min(pace, startPace) })
	case w.pacing.calmSince == 0:
		w.pacing.calmSince = now
	case now.Sub(w.pacing.calmSince) >= calmFor:
		w.pacing.calmSince = now
		p.paceEach(w, func(pace int) int { return min(pace+paceUpBy, fullPace) })
	default:
		p.paceEach(w, func(pace int) int { return pace })
	}
}

// worstTail is the highest tail on a worker as a share of its target.
func worstTail(w *worker) (share float64, serves bool) {
	for _, r := range w.runs {
		target := r.task.step.spec.TargetTail
		if target <= 0 || r.state != runActive {
			continue
		}
		serves = true
		share = max(share, float64(r.load)/float64(target.Milliseconds()))
	}
	return share, serves
}

// paceEach sets the pace of each filler by its present one. One that has just started beside
// a serving task begins slowly.
func (p *Pool) paceEach(w *worker, next func(int) int) {
	for _, r := range sortedRuns(w) {
		if !r.task.step.spec.Filler || r.state != runActive || r.stopSentAt != 0 {
			continue
		}
		if r.pace == 0 && !r.paced {
			r.pace = fullPace
		}
		want := next(r.pace)
		if !r.paced && want < fullPace {
			want = min(want, startPace)
		}
		if want == r.pace && (r.paced || want == fullPace) {
			continue
		}
		r.pace, r.paced = want, true
		p.paces = append(p.paces, r)
	}
}

func (p *Pool) takePaces(out *Actions) {
	for _, r := range p.paces {
		w := r.worker
		if w.gone || w.runs[runKey{r.task.id(), r.number}] != r {
			continue
		}
		out.Paces = append(out.Paces, Pace{Percent: r.pace, Stop: r.stop()})
	}
	p.paces = p.paces[:0]
}

// PaceFailed takes in that an order for a pace was not carried out, so that it is sent again.
func (p *Pool) PaceFailed(o Pace) {
	w, ok := p.workers[o.Worker]
	if !ok {
		return
	}
	if r, ok := w.runs[runKey{o.Task, o.Run}]; ok {
		r.pace, r.paced = fullPace, false
	}
}
