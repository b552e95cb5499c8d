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
	extraTimeoutStep    = 150 * time.Millisecond
	maxExtraPollTimeout = 600 * time.Millisecond
	// pollRetryDelay is the pause after a failed poll.
	pollRetryDelay = 100 * time.Millisecond
	// maxCommitWait is the longest wait for the commit of reported ends before the next poll.
	maxCommitWait = 400 * time.Millisecond
	// loadingPollInterval is the time between two polls while the jobs are being loaded.
	loadingPollInterval = 300 * time.Millisecond
	// maxFencingPolls is the maximum number of polls that are sent to fence a worker once.
	maxFencingPolls = 60
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
	fencing chan struct{}
}

// startSession starts communicating with a worker. The caller holds o.mu.
func (o *Owner) startSession(ctx context.Context, w dispatch.WorkerInfo) {
	id := w.ID
	if o.sessions[id] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &workerSession{
		owner: o, id: id, orders: newOrderQueue(ctx, &o.background), cancel: cancel, fencing: make(chan struct{}, 1),
	}
	o.relays.AddWorker(id, w.Zone)
	o.sessions[id] = s
	o.background.Go(func() {
		s.runPolls(ctx)
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
func (s *workerSession) runPolls(ctx context.Context) {
	answering := false // the last poll was answered; a first poll, which does not wait, reads the worker's clock
	for ctx.Err() == nil {
		answered, needed := s.poll(ctx, s.pollClass(answering), false, answering)
		if !needed {
			return
		}
		if answered {
			s.failures = 0
		} else {
			s.failures++
			answering = false
			clock.Sleep(ctx, pollRetryDelay)
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
		s.awaitCommit(ctx)
	}
}

// awaitLoaded waits until the jobs are loaded, but not so long that leases expire.
func (o *Owner) awaitLoaded(ctx context.Context) {
	limit := time.NewTimer(loadingPollInterval)
	defer limit.Stop()
	select {
	case <-o.jobsLoaded:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// poll sends one poll and applies its answer. With raise, the poll has a higher token, which fences the
// worker. With waits, the worker may leave the call open until a run ends. needed is false when the
// worker needs no more polls.
func (s *workerSession) poll(ctx context.Context, class callClass, raise, waits bool) (answered, needed bool) {
	if m := s.pollPath(&raise); m != nil {
		return s.sendPoll(ctx, m, raise, waits)
	}
	done, ok := s.owner.calls.acquire(ctx, class, pollSlotTime(waits))
	if !ok {
		return false, false
	}
	defer done()
	return s.sendPoll(ctx, nil, raise, waits)
}

// sendPoll makes the call of a poll, through member m or, when m is nil, from this host.
func (s *workerSession) sendPoll(ctx context.Context, m *member, raise, waits bool) (answered, needed bool) {
	o := s.owner
	o.mu.Lock()
	now := o.deps.Clock.Now()
	p, ok := o.pool.NewPoll(s.id, raise, o.hasAuthority(now), now)
	wait := time.Duration(0)
	if waits {
		wait = o.pool.PollWait(s.id)
	}
	o.mu.Unlock()
	if !ok {
		return false, false
	}
	a, report, err := o.callsThrough(m).Poll(ctx, platform.PollOrder{
		Order:    platform.Order{Worker: p.Worker, Address: p.Address, Token: p.Token},
		LastSeen: p.AckedEnd, Deadline: p.Deadline, Wait: wait, ExtraTimeout: s.extraTimeout(raise),
	})
	if m != nil {
		s.recordRelayResult(m, err == nil)
	}
	if err != nil {
		o.handlePollFailure(p.Worker)
		return false, true
	}
	o.mu.Lock()
	changed := o.pool.HandlePollAnswer(p, a, report, o.deps.Clock.Now())
	o.requestUnknownJobs()
	o.mu.Unlock()
	if changed {
		o.requestPlan()
	}
	return a.Verdict == dispatch.VerdictDone, true
}

func (o *Owner) handlePollFailure(id dispatch.WorkerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.HandlePollFailure(id, o.deps.Clock.Now())
}

// pollClass returns the class of the session's next poll; answering means that the last poll was
// answered.
func (s *workerSession) pollClass(answering bool) callClass {
	switch {
	case answering:
		return classPoll
	case s.failures > 0:
		return classUnansweredPoll
	}
	return classFirstPoll
}

// pollSlotTime returns how long a poll occupies a slot of the call limiter at most.
func pollSlotTime(waits bool) time.Duration {
	if waits {
		return maxWaitingSlotTime
	}
	return maxSlotTime
}

// extraTimeout returns the extra time for the next poll. A worker that did not answer within the usual
// time may be far away or slow.
func (s *workerSession) extraTimeout(raise bool) time.Duration {
	if raise || s.failures == 0 {
		return 0
	}
	return min(time.Duration(s.failures)*extraTimeoutStep, maxExtraPollTimeout)
}

// awaitCommit waits until the reported ends are committed, since the worker would report them again at
// once.
func (s *workerSession) awaitCommit(ctx context.Context) {
	limit := time.NewTimer(maxCommitWait)
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
func (s *workerSession) fence(ctx context.Context) {
	select {
	case s.fencing <- struct{}{}:
	default:
		return // a poll that has not been sent yet will do
	}
	s.owner.background.Go(func() {
		clock.Sleep(ctx, 5*time.Millisecond)
		<-s.fencing
		class := classOrder
		for range maxFencingPolls {
			answered, needed := s.poll(ctx, class, true, false)
			if answered || !needed || ctx.Err() != nil {
				return
			}
			class = classUnansweredPoll
			clock.Sleep(ctx, pollRetryDelay)
		}
	})
}

// enqueue queues an order; it reports whether there was room. An order whose session ends while it
// waits, in the queue or for a slot, is dropped.
func (s *workerSession) enqueue(order func(context.Context, relay.WorkerCalls)) bool {
	if s == nil {
		return false
	}
	return s.orders.enqueue(func(ctx context.Context) {
		if m := s.orderPath(); m != nil {
			order(ctx, s.owner.callsThrough(m))
			return
		}
		done, ok := s.owner.calls.acquire(ctx, classOrder, maxSlotTime)
		if !ok {
			return
		}
		defer done()
		order(ctx, s.owner.callsThrough(nil))
	})
}

func (o *Owner) sendStart(s *workerSession, a dispatch.StartOrder) {
	sent := s.enqueue(func(ctx context.Context, calls relay.WorkerCalls) {
		if !o.maySendOrders() {
			o.handleStartAnswer(a, dispatch.Answer{}, dispatch.ErrNotSent)
			return
		}
		if o.cancelIfObsolete(a) {
			return
		}
		answer, err := calls.Start(ctx, platform.StartOrder{
			Order: platform.Order{Worker: a.Worker, Address: a.Address, Token: a.Token},
			Task:  a.Task, Run: a.Run, Spec: a.Spec, Checkpoint: a.Checkpoint, Ticket: a.Ticket, Deadline: a.Deadline,
		})
		o.handleStartAnswer(a, answer, err)
	})
	if !sent {
		o.handleStartAnswer(a, dispatch.Answer{}, dispatch.ErrNotSent)
	}
}

// maySendOrders checks the authority once more right before an order is sent.
func (o *Owner) maySendOrders() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hasAuthority(o.deps.Clock.Now())
}

// cancelIfObsolete cancels a start whose worker may get no new tasks since the start was decided. It
// reports whether it did.
func (o *Owner) cancelIfObsolete(a dispatch.StartOrder) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.pool.IsStartObsolete(a) {
		return false
	}
	o.pool.CancelUnsentStart(a, o.deps.Clock.Now())
	o.requestPlan()
	return true
}

func (o *Owner) handleStartAnswer(a dispatch.StartOrder, answer dispatch.Answer, err error) {
	o.mu.Lock()
	o.pool.HandleStartAnswer(a, answer, err, o.deps.Clock.Now())
	o.mu.Unlock()
	if err != nil || answer.Verdict != dispatch.VerdictDone {
		o.requestPlan()
	}
}

func (o *Owner) sendStop(s *workerSession, a dispatch.StopOrder) {
	s.enqueue(func(ctx context.Context, calls relay.WorkerCalls) {
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
	sent := s.enqueue(func(ctx context.Context, calls relay.WorkerCalls) {
		answer, err := calls.Pace(ctx, platform.Order{Worker: a.Worker, Address: a.Address, Token: a.Token}, a.Task, a.Run, a.Percent)
		if err == nil && answer.Verdict == dispatch.VerdictDone {
			return
		}
		o.handlePaceFailure(a)
	})
	if !sent {
		o.handlePaceFailure(a)
	}
}

func (o *Owner) handlePaceFailure(a dispatch.PaceOrder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.HandlePaceFailure(a)
}
