package dispatch

import (
	"fmt"
	"time"
)

// relayedAnswerTimeout is how long the answer to a poll may take on its way over a relay.
const relayedAnswerTimeout = 1400 * time.Millisecond

// answerDelay returns a random time that an answer takes on its way.
func (w *world) answerDelay() time.Duration {
	if w.slowRelays && w.chance(0.1) {
		return w.drawDuration(30*time.Millisecond, relayedAnswerTimeout)
	}
	return w.drawDuration(time.Millisecond, 30*time.Millisecond)
}

// sendCall has a worker carry out a call and delivers its answer, after random delays. It calls unanswered
// instead if the call or its answer is lost or the answer takes longer than the limit. A call without an
// answer may be carried out seconds later. carryOut returns nil if nothing arrived.
func (w *world) sendCall(m *modelWorker, limit time.Duration, carryOut func() (answer func()), unanswered func()) {
	w.sendCallUnless(m, limit, carryOut, unanswered, func() bool { return false })
}

// sendCallUnless is sendCall for a call that is not carried out late if dropped returns true.
func (w *world) sendCallUnless(m *modelWorker, limit time.Duration, carryOut func() (answer func()), unanswered func(), dropped func() bool) {
	lost := m.unreachable || m.dead || w.chance(0.03)
	if lost {
		if !m.dead && w.chance(0.3) {
			w.schedule(w.drawDuration(time.Second, maxLateCallDelay), func() {
				if !m.dead && !dropped() {
					w.late = true
					carryOut()
					w.late = false
				}
			})
		}
		w.schedule(callTimeout, unanswered)
		return
	}
	w.schedule(w.drawDuration(time.Millisecond, 30*time.Millisecond), func() {
		if m.dead {
			w.schedule(callTimeout, unanswered)
			return
		}
		answer := carryOut()
		if answer == nil || m.unreachable || w.chance(w.lostAnswerProbability()) {
			w.schedule(callTimeout, unanswered)
			return
		}
		delay := w.answerDelay()
		if delay > limit {
			w.schedule(limit, unanswered)
			return
		}
		w.schedule(delay, answer)
	})
}

// lostAnswerProbability is the probability that the answer to a call that was carried out is lost.
func (w *world) lostAnswerProbability() float64 {
	if w.answersLost && w.now < w.faultsUntil {
		return 0.33
	}
	return 0.02
}

func (w *world) schedule(d time.Duration, do func()) {
	w.pendingCalls = append(w.pendingCalls, delayedCall{arrivesAt: w.now.Add(d), do: do})
}

// sendStart sends a start as platform.Workers does: only over a connection on which the addressed incarnation
// of the worker has answered. The connection ends with that incarnation, so a later one receives no start
// from the network. It may still carry out late a start that the earlier incarnation had delayed.
func (w *world) sendStart(o *modelOwner, s StartOrder) {
	w.checkNotOrderedAgain(o, s)
	m := w.workers[workerNumber(s.Worker)]
	if m.replaced {
		a := Answer{Verdict: VerdictWrongWorker}
		w.schedule(callTimeout/2, func() { o.pool.HandleStartAnswer(s, a, nil, w.now) })
		return
	}
	if m.startedAt != s.Worker.StartedAt() {
		w.schedule(callTimeout/2, func() { o.pool.HandleStartAnswer(s, Answer{}, ErrNotSent, w.now) })
		return
	}
	sentAt, startedAt := w.now, m.startedAt
	w.sendCallUnless(m, callTimeout, func() func() {
		if m.startedAt != startedAt && !w.late {
			return nil
		}
		a := w.handleStart(m, s)
		if a.Verdict == VerdictDone && w.now.Sub(sentAt) < callTimeout {
			w.checkNotShownCompleted(m, s)
		}
		return func() { o.pool.HandleStartAnswer(s, a, nil, w.now) }
	}, func() { o.pool.HandleStartAnswer(s, Answer{}, fmt.Errorf("no answer"), w.now) }, func() bool { return m.startedAt != startedAt && o != w.presentOwner() && !w.isStartExpected(m, s) })
}

func (w *world) sendStop(o *modelOwner, s StopOrder) {
	m := w.workers[workerNumber(s.Worker)]
	w.sendCall(m, callTimeout, func() func() {
		a := w.handleStop(m, s)
		return func() { o.pool.HandleStopAnswer(s, a, w.now) }
	}, func() {})
}

func (w *world) sendPoll(o *modelOwner, id WorkerID, raiseToken bool) {
	order, ok := o.pool.NewPoll(id, raiseToken, true, w.now)
	if !ok {
		return
	}
	m := w.workers[workerNumber(id)]
	if m.replaced {
		a := Answer{Verdict: VerdictWrongWorker}
		w.schedule(callTimeout/2, func() { o.pool.HandlePollAnswer(order, a, Report{}, w.now) })
		return
	}
	pause := w.drawDuration(historyTick, 300*time.Millisecond)
	if w.chance(0.05) {
		pause = w.drawDuration(time.Second, 3*time.Second) // the owner has too much to do
	}
	o.nextPollAt[id] = w.now.Add(callTimeout + pause)
	w.sendCall(m, relayedAnswerTimeout, func() func() {
		a, report := w.handlePoll(m, order)
		return func() {
			o.pool.HandlePollAnswer(order, a, report, w.now)
			w.handleReportedEnds(o, id, report)
		}
	}, func() {
		o.pool.HandlePollFailure(id, w.now)
		if raiseToken {
			w.sendPoll(o, id, true)
		}
	})
}
