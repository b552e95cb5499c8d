package dispatch

import (
	"fmt"
	"time"
)

// The calls of the random histories: they are delayed, lost, answered late or carried out seconds later.

// relayLimit is how long an answer to a hold that waits may be on its way over a relay.
const relayLimit = 1400 * time.Millisecond

// answerTime is how long an answer is on its way.
func (w *world) answerTime() time.Duration {
	if w.relayed && w.chance(0.1) {
		return w.between(30*time.Millisecond, relayLimit)
	}
	return w.between(time.Millisecond, 30*time.Millisecond)
}

// send has a call carried out by a worker and its answer taken in, unless one of them is lost or the
// answer comes after the limit. A call without an answer may be carried out seconds later. carryOut returns nil when nothing arrived.
func (w *world) send(m *modelWorker, limit time.Duration, carryOut func() (answer func()), unanswered func()) {
	w.sendUnless(m, limit, carryOut, unanswered, func() bool { return false })
}

// sendUnless is send for a call that is not carried out late when dropped says so.
func (w *world) sendUnless(m *modelWorker, limit time.Duration, carryOut func() (answer func()), unanswered func(), dropped func() bool) {
	lost := m.cut || m.dead || w.chance(0.03)
	if lost {
		if !m.dead && w.chance(0.3) {
			w.later(w.between(time.Second, latestCall), func() {
				if !m.dead && !dropped() {
					w.late = true
					carryOut()
					w.late = false
				}
			})
		}
		w.later(callLimit, unanswered)
		return
	}
	w.later(w.between(time.Millisecond, 30*time.Millisecond), func() {
		if m.dead {
			w.later(callLimit, unanswered)
			return
		}
		answer := carryOut()
		if answer == nil || m.cut || w.chance(0.02) {
			w.later(callLimit, unanswered)
			return
		}
		took := w.answerTime()
		if took > limit {
			w.later(limit, unanswered)
			return
		}
		w.later(took, answer)
	})
}

func (w *world) later(d time.Duration, do func()) {
	w.calls = append(w.calls, call{at: w.now.Add(d), do: do})
}

// sendStart sends a start as platform.Workers do: only over a connection over which the life that is meant has answered. With that life the connection ends, so
// another one gets no start from the network. It may carry one out late that the former life held back.
func (w *world) sendStart(o *modelOwner, s StartOrder) {
	w.checkOrdered(o, s)
	m := w.worker[numberOf(s.Worker)]
	if m.replaced {
		a := Answer{Verdict: VerdictWrongWorker}
		w.later(callLimit/2, func() { o.pool.HandleStartAnswer(s, a, nil, w.now) })
		return
	}
	if m.born != s.Worker.StartedAt() {
		w.later(callLimit/2, func() { o.pool.HandleStartAnswer(s, Answer{}, ErrNotSent, w.now) })
		return
	}
	sentAt, born := w.now, m.born
	w.sendUnless(m, callLimit, func() func() {
		if m.born != born && !w.late {
			return nil
		}
		a := w.start(m, s)
		if a.Verdict == VerdictDone && w.now.Sub(sentAt) < callLimit {
			w.checkNotShown(m, s)
		}
		return func() { o.pool.HandleStartAnswer(s, a, nil, w.now) }
	}, func() { o.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), w.now) }, func() bool { return m.born != born && o != w.present() && !w.awaited(m, s) })
}

func (w *world) sendStop(o *modelOwner, s StopOrder) {
	m := w.worker[numberOf(s.Worker)]
	w.send(m, callLimit, func() func() {
		a := w.stop(m, s)
		return func() { o.pool.HandleStopAnswer(s, a, w.now) }
	}, func() {})
}

func (w *world) sendHold(o *modelOwner, id WorkerID, raise bool) {
	h, ok := o.pool.NewPoll(id, raise, true, w.now)
	if !ok {
		return
	}
	m := w.worker[numberOf(id)]
	if m.replaced {
		a := Answer{Verdict: VerdictWrongWorker}
		w.later(callLimit/2, func() { o.pool.HandlePollAnswer(h, a, Report{}, w.now) })
		return
	}
	pause := w.between(historyTick, 300*time.Millisecond)
	if w.chance(0.05) {
		pause = w.between(time.Second, 3*time.Second) // the owner has too much to do
	}
	o.holding[id] = w.now.Add(callLimit + pause)
	w.send(m, relayLimit, func() func() {
		a, report := w.hold(m, h)
		return func() {
			o.pool.HandlePollAnswer(h, a, report, w.now)
			w.holdAnswered(o, id, report)
		}
	}, func() {
		o.pool.HandlePollFailure(id, w.now)
		if raise {
			w.sendHold(o, id, true)
		}
	})
}
