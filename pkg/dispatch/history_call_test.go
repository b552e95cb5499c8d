package dispatch

import (
	"fmt"
	"time"
)

// relayedAnswerTimeout is how long the answer to a poll may take on its way over a relay.
const relayLimit = 1400 * time.Millisecond

// answerDelay returns a random time that an answer takes on its way.
func (w *world) answerTime() time.Duration {
	if w.relayed && w.chance(0.1) {
		return w.between(30*time.Millisecond, relayLimit)
	}
	return w.between(time.Millisecond, 30*time.Millisecond)
}

// sendCall has a worker carry out a call and delivers its answer, after random delays. It calls unanswered
// instead if the call or its answer is lost or the answer takes longer than the limit. A call without an
// answer may be carried out seconds later. carryOut returns nil if nothing arrived.
func (w *world) send(m *modelWorker, limit time.Duration, carryOut func() (answer func()), unanswered func()) {
	w.sendUnless(m, limit, carryOut, unanswered, func() bool { return false })
}

// sendCallUnless is sendCall for a call that is not carried out late if dropped returns true.
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
		delay := w.answerTime()
		if delay > limit {
			w.later(limit, unanswered)
			return
		}
		w.later(delay, answer)
	})
}

func (w *world) later(d time.Duration, do func()) {
	w.calls = append(w.calls, call{at: w.now.Add(d), do: do})
}

// sendStart sends a start as platform.Workers does: only over a connection on which the addressed incarnation
// of the worker has answered. The connection ends with that incarnation, so a later one receives no start
// from the network. It may still carry out late a start that the earlier incarnation had delayed.
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
	sentAt, startedAt := w.now, m.born
	w.sendUnless(m, callLimit, func() func() {
		if m.born != startedAt && !w.late {
			return nil
		}
		a := w.start(m, s)
		if a.Verdict == VerdictDone && w.now.Sub(sentAt) < callLimit {
			w.checkNotShown(m, s)
		}
		return func() { o.pool.HandleStartAnswer(s, a, nil, w.now) }
	}, func() { o.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), w.now) }, func() bool { return m.born != startedAt && o != w.present() && !w.awaited(m, s) })
}

func (w *world) sendStop(o *modelOwner, s StopOrder) {
	m := w.worker[numberOf(s.Worker)]
	w.send(m, callLimit, func() func() {
		a := w.stop(m, s)
		return func() { o.pool.HandleStopAnswer(s, a, w.now) }
	}, func() {})
}

func (w *world) sendHold(o *modelOwner, id WorkerID, raiseToken bool) {
	order, ok := o.pool.NewPoll(id, raiseToken, true, w.now)
	if !ok {
		return
	}
	m := w.worker[numberOf(id)]
	if m.replaced {
		a := Answer{Verdict: VerdictWrongWorker}
		w.later(callLimit/2, func() { o.pool.HandlePollAnswer(order, a, Report{}, w.now) })
		return
	}
	pause := w.between(historyTick, 300*time.Millisecond)
	if w.chance(0.05) {
		pause = w.between(time.Second, 3*time.Second) // the owner has too much to do
	}
	o.holding[id] = w.now.Add(callLimit + pause)
	w.send(m, relayLimit, func() func() {
		a, report := w.hold(m, order)
		return func() {
			o.pool.HandlePollAnswer(order, a, report, w.now)
			w.holdAnswered(o, id, report)
		}
	}, func() {
		o.pool.HandlePollFailure(id, w.now)
		if raiseToken {
			w.sendHold(o, id, true)
		}
	})
}
