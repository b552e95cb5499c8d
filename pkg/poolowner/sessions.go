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
	// extraTimeoutStep is added to the time limit of a poll for each unanswered poll before it.
	patienceStep = 150 * time.Millisecond
	mostPatience = 600 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll.
	holdRetry = 100 * time.Millisecond
	// maxCommitWait is the longest wait for the commit of reported ends before the next poll.
	noteWait = 400 * time.Millisecond
	// loadingPollInterval is the time between two polls while the jobs are being loaded.
	loadingHold = 300 * time.Millisecond
	// maxFencingPolls is the maximum number of polls that are sent to fence a worker once.
	settleTries = 60
)

// workerSession communicates with one incarnation of a worker.
type workerSession struct {
	owner  *Owner
	id     dispatch.WorkerID
	orders *orderQueue
	cancel context.CancelFunc
	// failures is the number of consecutive unanswered polls; used by runPolls only.
	failures int
	// fencing is of size 1: a poll with a higher token is about to be sent.
	settling chan struct{}
}

// startSession starts communicating with a worker. The caller holds o.mu.
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

// runPolls polls the worker until nothing is left to ask it. Polls extend leases and bring reports.
func (s *workerSession) runHolds(ctx context.Context) {
	answering := false // the last poll was answered; a first poll, which does not wait, reads the worker's clock
	for ctx.Err() == nil {
		answered, known := s.hold(ctx, s.holdClass(answering), false, answering)
		if !known {
			return
		}
		if answered {
			s.failures = 0
		} else {
			s.failures++
			answering = false
			clock.Sleep(ctx, holdRetry)
			continue
		}
		if !s.owner.loaded.Load() {
			s.owner.awaitLoaded(ctx)
			continue
		}
		if !answering {
			answering = true
			continue
		}
		s.awaitNote(ctx)
	}
}

// awaitLoaded waits until the jobs are loaded, but not so long that leases expire.
func (o *Owner) awaitLoaded(ctx context.Context) {
	limit := time.NewTimer(loadingHold)
	defer limit.Stop()
	select {
	case <-o.jobsKnown:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// poll sends one poll and applies its answer; with waits, the worker may hold the call open until a run
// ends. known is false when the worker needs no more polls.
func (s *workerSession) hold(ctx context.Context, class callClass, raise, waits bool) (answered, known bool) {
	if m := s.holdPath(&raise); m != nil {
		return s.sendHold(ctx, m, raise, waits)
	}
	done, ok := s.owner.calls.enter(ctx, class, holdCounts(waits))
	if !ok {
		return false, false
	}
	defer done()
	return s.sendHold(ctx, nil, raise, waits)
}

// sendPoll makes the call of a poll, through member m or, when m is nil, from this host.
func (s *workerSession) sendHold(ctx context.Context, m *member, raise, waits bool) (answered, known bool) {
	o := s.owner
	o.mu.Lock()
	now := o.deps.Clock.Now()
	p, ok := o.pool.NewPoll(s.id, raise, o.authority(now), now)
	wait := time.Duration(0)
	if waits {
		wait = o.pool.PollWait(s.id)
	}
	o.mu.Unlock()
	if !ok {
		return false, false
	}
	a, report, err := o.callsBy(m).Hold(ctx, platform.HoldOrder{
		Order:    platform.Order{Worker: p.Worker, Address: p.Address, Token: p.Token},
		LastSeen: p.AckedEnd, Deadline: p.Deadline, Wait: wait, Patience: s.patience(raise),
	})
	if m != nil {
		s.relayAnswered(m, err == nil)
	}
	if err != nil {
		o.holdFailed(p.Worker)
		return false, true
	}
	o.mu.Lock()
	changed := o.pool.HandlePollAnswer(p, a, report, o.deps.Clock.Now())
	o.tellUnknownJobs()
	o.mu.Unlock()
	if changed {
		o.wake()
	}
	return a.Verdict == dispatch.VerdictDone, true
}

func (o *Owner) holdFailed(id dispatch.WorkerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.HandlePollFailure(id, o.deps.Clock.Now())
}

// pollClass returns the class of the session's next poll; answering means that the last poll was
// answered.
func (s *workerSession) holdClass(answering bool) callClass {
	switch {
	case answering:
		return callHold
	case s.failures > 0:
		return callSilent
	}
	return callFirst
}

// pollSlotTime returns how long a poll occupies a slot of the call limiter at most.
func holdCounts(waits bool) time.Duration {
	if waits {
		return waitCounts
	}
	return callCounts
}

// extraTimeout returns the extra time for the next poll. A worker that did not answer within the usual
// time may be far away or slow.
func (s *workerSession) patience(raise bool) time.Duration {
	if raise || s.failures == 0 {
		return 0
	}
	return min(time.Duration(s.failures)*patienceStep, mostPatience)
}

// awaitCommit waits until the reported ends are committed, since the worker would report them again at
// once.
func (s *workerSession) awaitNote(ctx context.Context) {
	limit := time.NewTimer(noteWait)
	defer limit.Stop()
	for {
		s.owner.mu.Lock()
		areCommitted, committed := s.owner.pool.AreEndsCommitted(s.id), s.owner.committed
		s.owner.mu.Unlock()
		if areCommitted {
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

// fence sends polls with a higher token until one is answered. An earlier order that got no answer can't
// take effect after that.
func (s *workerSession) settle(ctx context.Context) {
	select {
	case s.settling <- struct{}{}:
	default:
		return // a poll that has not been sent yet will do
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

// enqueue queues an order; it returns whether there was room. An order whose session ends while it
// waits, in the queue or for a slot, is dropped.
func (s *workerSession) put(order func(context.Context, relay.Calls)) bool {
	if s == nil {
		return false
	}
	return s.orders.put(func(ctx context.Context) {
		if m := s.orderPath(); m != nil {
			order(ctx, s.owner.callsBy(m))
			return
		}
		done, ok := s.owner.calls.enter(ctx, callOrder, callCounts)
		if !ok {
			return
		}
		defer done()
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

// maySendOrders checks the authority once more right before an order is sent.
func (o *Owner) mayOrder() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.authority(o.deps.Clock.Now())
}

// cancelIfObsolete cancels a start whose worker may get no new tasks since the start was decided. It
// returns whether it did.
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
			return // the pool sends the stop again when the run does not end
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
