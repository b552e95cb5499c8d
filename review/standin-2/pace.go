package main

import (
	"fmt"
	"time"
)

// What the case of late pace orders plays, as shares of the target.
const (
	paceWorkers = 48
	quietTail   = 0.05
	busyTail    = 0.85
	lateShare   = 0.055 // of the site's list of troubles: applied_late, x = 0.055, for_s = 5.5
	lateFor     = 5500 * time.Millisecond
	lastLate    = 12 * time.Second // "carried out 2 to 12 s later"
)

// playPace plays serving tasks beside tasks that fill: a busy time, a quiet time in which some pace orders come
// late, and a busy time again. HARM is judged from contactMs after the last late order on.
func playPace(w *world) int {
	w.putConfig()
	for n := range paceWorkers {
		x, err := newWorker(w, n)
		if err != nil {
			return couldNotPlay
		}
		x.ownTail = quietTail
		w.workers = append(w.workers, x)
	}
	serve := map[string]any{"spec": "serve target=100", "steps": []any{map[string]any{
		"count": paceWorkers, "cpu": 4000, "memMb": 4096, "estimatedMs": 60000, "longRunning": true, "antiAffinity": 1, "image": "scores", "targetMs": 100}}}
	fill := map[string]any{"spec": "fill ms=600000", "steps": []any{map[string]any{
		"count": paceWorkers, "cpu": 8000, "memMb": 4096, "estimatedMs": 600000, "utilization": true, "antiAffinity": 1, "image": "recaps"}}}
	if !w.submit("serve", "00000000000000a1", serve) || !w.submit("fill", "00000000000000b2", fill) {
		return couldNotPlay
	}
	if !until(15*time.Second, func() bool { return w.running() == 2*paceWorkers }) {
		w.note("only %d tasks run", w.running())
		return couldNotPlay
	}
	time.Sleep(2 * time.Second)
	w.setOwnTail(busyTail)
	time.Sleep(5 * time.Second)
	w.setOwnTail(quietTail)
	time.Sleep(2 * time.Second)
	w.setLate(lateShare)
	time.Sleep(lateFor)
	w.setLate(0)
	w.setOwnTail(busyTail)
	time.Sleep(lastLate)
	calmFrom := time.Now().Add(contact)
	w.note("the last late order is carried out; judged from %.3f on", w.at(calmFrom))
	time.Sleep(contact + impact + 2*time.Second)
	return w.judgeHarm(calmFrom)
}

// running counts the runs on all workers that are at work.
func (w *world) running() int {
	n := 0
	for _, x := range w.workers {
		x.mu.Lock()
		for _, r := range x.runs {
			if !r.spec.serves || x.done(r) == 100 {
				n++
			}
		}
		x.mu.Unlock()
	}
	return n
}

func (w *world) setOwnTail(share float64) {
	w.note("serving tasks alone have a tail of %.2f of their target", share)
	for _, x := range w.workers {
		x.mu.Lock()
		x.ownTail = share
		x.mu.Unlock()
	}
}

func (w *world) setLate(share float64) {
	if !w.trouble {
		return
	}
	w.note("workers leave a share of %.3f of their orders unanswered and carry them out 2 to 12 s later", share)
	for _, x := range w.workers {
		x.mu.Lock()
		x.lateShare = share
		x.mu.Unlock()
	}
}

// judgeHarm looks for serving tasks that are over their target for impactMs without a break since a time.
func (w *world) judgeHarm(since time.Time) int {
	code := ruleHeld
	for _, x := range w.workers {
		x.mu.Lock()
		for _, r := range x.runs {
			if !r.spec.serves {
				continue
			}
			over := time.Duration(0)
			if !r.overFrom.IsZero() {
				over = time.Since(r.overFrom)
				if r.overFrom.Before(since) {
					over = time.Since(since)
				}
			}
			line := fmt.Sprintf("%s %s: tail %.0f of %.0f ms, alone %.0f ms, what fills works at %.0f percent, over for %d ms of the calm",
				x.machine, r.task, x.tail(r), r.spec.target, r.spec.target*x.ownTail, 100*x.filling(), over.Milliseconds())
			if over > impact {
				code = ruleBroken
				line = "HARM: " + line
			}
			w.note("%s", line)
		}
		x.mu.Unlock()
	}
	return code
}
