package poolowner

import (
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/relay"
	"foldarch.dev/foldarch/platform"
)

const (
	// patienceStep is added to the time limit of a hold with each that got no answer.
	patienceStep = 150 * time.Millisecond
	mostPatience = 600 * time.Millisecond
	// holdRetry is the pause after a hold that failed.
	holdRetry = 100 * time.Millisecond
	// noteWait bounds the waiting for the commit of reported ends before the next hold.
	noteWait = 400 * time.Millisecond
	// loadingHold is the time between two holds while the jobs are read.
	loadingHold = 300 * time.Millisecond
	// settleTries bounds the holds that settle one lost answer.
	settleTries = 60
)

// workerSession talks with one life of a worker.
type workerSession struct {
	owner  *Owner
	id     dispatch.WorkerID
	orders *orderQueue
	cancel context.CancelFunc
	// failures counts the holds in a row that got no answer; of the duty runHolds.
	failures int
	// settling is of size 1: a hold with a higher token is on its way.
	settling chan struct{}
}

// openSession begins to talk with a worker. The caller holds o.mu.
func (o *Owner) openSession(ctx context.Context, w dispatch.WorkerInfo) {
	id := w.ID
	if o.sessions[id] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &workerSession{
		owner: o, id: id, orders: newOrderQueue(ctx, &o.duties), cancel: cancel, settling: make(chan struct{}, 1),
	}
	o.relays.PutWorker(id, w.Zone)
	o.sessions[id] = s
	o.duties.Go(func() {
		s.runHolds(ctx)
		s.close()
	})
}

func (s *workerSession) close() {
	s.cancel()
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.owner.sessions[s.id] == s {
		s.owner.relays.RemoveWorker(s.id)
		delete(s.owner.sessions, s.id)
	}
}

// runHolds is the duty that renews leases and takes in reports.
func (s *workerSession) runHolds(ctx context.Context) {
	met := false // the first hold, which does not wait, learned the worker's clock
	for ctx.Err() == nil {
		answered, known := s.hold(ctx, s.holdClass(met), false, met)
		if !known {
			return
		}
		if answered {
			s.failures = 0
		} else {
			s.failures++
			met = false
			clock.Sleep(ctx, holdRetry)
			continue
		}
		if !s.owner.loaded.Load() {
			s.owner.awaitLoaded(ctx)
			continue
		}
		if !met {
			met = true
			continue
		}
		s.awaitNote(ctx)
	}
}

// awaitLoaded waits until the jobs are known, but not so long that leases lapse.
func (o *Owner) awaitLoaded(ctx context.Context) {
	limit := time.NewTimer(loadingHold)
	defer limit.Stop()
	select {
	case <-o.jobsKnown:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// hold sends one hold and takes in its answer; with waits, the worker lets it wait for an end.
// known is false when there is nothing to be asked of the worker any more.
func (s *workerSession) hold(ctx context.Context, class callClass, raise, waits bool) (answered, known bool) {
	if m := s.holdPath(&raise); m != nil {
		return s.sendHold(ctx, m, raise, waits)
	}
	leave, ok := s.owner.calls.enter(ctx, class, holdCounts(waits))
	if !ok {
		return false, false
	}
	defer leave()
	return s.sendHold(ctx, nil, raise, waits)
}

// sendHold makes the call of a hold, by a member or, without one, by this host.
func (s *workerSession) sendHold(ctx context.Context, m *member, raise, waits bool) (answered, known bool) {
	o := s.owner
	o.mu.Lock()
	now := o.deps.Clock.Now()
	h, ok := o.pool.NewPoll(s.id, raise, o.authority(now), now)
	wait := time.Duration(0)
	if waits {
		wait = o.pool.PollWait(s.id)
	}
	o.mu.Unlock()
	if !ok {
		return false, false
	}
	a, report, err := o.callsBy(m).Hold(ctx, platform.HoldOrder{
		Order:    platform.Order{Worker: h.Worker, Address: h.Address, Token: h.Token},
		LastSeen: h.AckedEnd, Deadline: h.Deadline, Wait: wait, Patience: s.patience(raise),
	})
	if m != nil {
		s.relayAnswered(m, err == nil)
	}
	if err != nil {
		o.holdFailed(h.Worker)
		return false, true
	}
	o.mu.Lock()
	news := o.pool.HandlePollAnswer(h, a, report, o.deps.Clock.Now())
	o.tellUnknownJobs()
	o.mu.Unlock()
	if news {
		o.wake()
	}
	return a.Verdict == dispatch.VerdictDone, true
}

func (o *Owner) holdFailed(id dispatch.WorkerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.HandlePollFailure(id, o.deps.Clock.Now())
}

// holdClass is how urgent the session's next hold is; met says that the worker has answered.
func (s *workerSession) holdClass(met bool) callClass {
	switch {
	case met:
		return callHold
	case s.failures > 0:
		return callSilent
	}
	return callFirst
}

// holdCounts is how long a hold counts among the calls on their way.
func holdCounts(waits bool) time.Duration {
	if waits {
		return waitCounts
	}
	return callCounts
}

// patience gives a worker more time whose answers have not come in the usual one: it may be
// far away or slow.
func (s *workerSession) patience(raise bool) time.Duration {
	if raise || s.failures == 0 {
		return 0
	}
	return min(time.Duration(s.failures)*patienceStep, mostPatience)
}

// awaitNote waits until the ends that were reported are committed, since the worker would
// report them again at once.
func (s *workerSession) awaitNote(ctx context.Context) {
	limit := time.NewTimer(noteWait)
	defer limit.Stop()
	for {
		s.owner.mu.Lock()
		noted, committed := s.owner.pool.AreEndsCommitted(s.id), s.owner.committed
		s.owner.mu.Unlock()
		if noted {
			return
		}
		select {
		case <-committed:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// settle sends holds with a higher token until one is answered, so that orders without an
// answer are settled.
func (s *workerSession) settle(ctx context.Context) {
	select {
	case s.settling <- struct{}{}:
	default:
		return // one that has not been sent yet will do
	}
	s.owner.duties.Go(func() {
		clock.Sleep(ctx, 5*time.Millisecond)
		<-s.settling
		class := callOrder
		for range settleTries {
			answered, known := s.hold(ctx, class, true, false)
			if answered || !known || ctx.Err() != nil {
				return
			}
			class = callSilent
			clock.Sleep(ctx, holdRetry)
		}
	})
}

// put queues an order; it says whether there was room. An order whose
// session ends before its turn is dropped, as one that waits in the queue is.
func (s *workerSession) put(order func(context.Context, relay.Calls)) bool {
	if s == nil {
		return false
	}
	return s.orders.put(func(ctx context.Context) {
		if m := s.orderPath(); m != nil {
			order(ctx, s.owner.callsBy(m))
			return
		}
		leave, ok := s.owner.calls.enter(ctx, callOrder, callCounts)
		if !ok {
			return
		}
		defer leave()
		order(ctx, s.owner.callsBy(nil))
	})
}

func (o *Owner) sendStart(s *workerSession, a dispatch.StartOrder) {
	sent := s.put(func(ctx context.Context, calls relay.Calls) {
		if !o.mayOrder() {
			o.startAnswered(a, dispatch.Answer{}, dispatch.ErrNotSent)
			return
		}
		if o.withhold(a) {
			return
		}
		answer, err := calls.Start(ctx, platform.StartOrder{
			Order: platform.Order{Worker: a.Worker, Address: a.Address, Token: a.Token},
			Task:  a.Task, Run: a.Run, Spec: a.Spec, Checkpoint: a.Checkpoint, Ticket: a.Ticket, Deadline: a.Deadline,
		})
		o.startAnswered(a, answer, err)
	})
	if !sent {
		o.startAnswered(a, dispatch.Answer{}, dispatch.ErrNotSent)
	}
}

// mayOrder asks for the authority once more, right before an order is sent.
func (o *Owner) mayOrder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.authority(o.deps.Clock.Now())
}

// withhold keeps back a start whose worker gets nothing new since the start was decided. It says whether it did.
func (o *Owner) withhold(a dispatch.StartOrder) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.pool.IsStartObsolete(a) {
		return false
	}
	o.pool.CancelUnsentStart(a, o.deps.Clock.Now())
	o.wake()
	return true
}

func (o *Owner) startAnswered(a dispatch.StartOrder, answer dispatch.Answer, err error) {
	o.mu.Lock()
	o.pool.HandleStartAnswer(a, answer, err, o.deps.Clock.Now())
	o.mu.Unlock()
	if err != nil || answer.Verdict != dispatch.VerdictDone {
		o.wake()
	}
}

func (o *Owner) sendStop(s *workerSession, a dispatch.StopOrder) {
	s.put(func(ctx context.Context, calls relay.Calls) {
		answer, err := calls.Stop(ctx, platform.Order{Worker: a.Worker, Address: a.Address, Token: a.Token}, a.Task, a.Run)
		if err != nil {
			return // sent again when the end does not come
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		o.pool.HandleStopAnswer(a, answer, o.deps.Clock.Now())
	})
}

func (o *Owner) sendPace(s *workerSession, a dispatch.PaceOrder) {
	sent := s.put(func(ctx context.Context, calls relay.Calls) {
		answer, err := calls.Pace(ctx, platform.Order{Worker: a.Worker, Address: a.Address, Token: a.Token}, a.Task, a.Run, a.Percent)
		if err == nil && answer.Verdict == dispatch.VerdictDone {
			return
		}
		o.paceFailed(a)
	})
	if !sent {
		o.paceFailed(a)
	}
}

func (o *Owner) paceFailed(a dispatch.PaceOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.HandlePaceFailure(a)
}
