package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/queue"
)

const (
	// longCallThreshold is the length of a call from which it must leave some processes free for
	// short ones.
	longCallThreshold = 150 * time.Millisecond
	// advisersKeptFree is how many processes long calls leave free, but no more than half of them.
	advisersKeptFree = 2
	// adviceTimeoutMargin is how much longer than it should a call may take.
	adviceTimeoutMargin = 300 * time.Millisecond
	// maxAdviceSelectionsPerPlan is for how many steps one plan chooses workers to be named at most: choosing takes as
	// long as there are workers, and a plan must not hold up what workers answer.
	maxAdviceSelectionsPerPlan = 16
	// adviceLateAfter is how much longer than it should a call may take before others are made for its step.
	adviceLateAfter = 150 * time.Millisecond
	// minAdviceInterval is the least time between two calls for a step.
	minAdviceInterval = 60 * time.Millisecond
	// noTargetBackoff is the pause after there was nobody to be named in a call, in parts of the fixed time of a
	// call: choosing goes over all workers, and the pause delays the answer by that part at most.
	noTargetBackoff = 0.125
)

// stepAdvice is what is known of the workers that may run a step. Which ones may does not
// change, but tickets lapse.
type stepAdvice struct {
	allowed map[WorkerID]bool
	denied  map[WorkerID]bool
	tickets map[WorkerID]ticket
	// ticketsExpireAt is when the last of them lapses.
	ticketsExpireAt clock.Time
	pendingCalls    []*pendingAdviceCall
	notBefore       clock.Time
	// callTime is what the calls for the step have taken.
	callTime time.Duration
	// lastAnsweredAt is when a call for the step was answered last, or failed; 0 for never.
	lastAnsweredAt clock.Time
}

type pendingAdviceCall struct {
	call            AdviceCall
	step            *step // nil when the answer is of no use any more
	knownTargets    int   // how many of the named were known to be allowed; they come first
	targetsWithRoom int   // how many had room, or were expected to; those without come last
	sentAt          clock.Time
	expectedTime    time.Duration
	queue           string
	result          advice.CallResult // but for how it ended
}

// adviceState are the calls for advice that are on their way, with those who make them and what earlier ones have told of queues.
type adviceState struct {
	advisers         *advice.Advisers
	pendingCalls     map[int64]*pendingAdviceCall
	last             int64 // number of a call
	longCalls        int   // how many of them are long (longCallThreshold)
	rates            advice.Rates
	rounds           advice.Rounds
	targetOffset     int // shifts which of like workers are named
	selectionsInPlan int // of workers to be named, in this plan
	tally            *advice.Tally
	issuedTickets    []*ticketIssue
}

func newAdviceState() adviceState {
	return adviceState{advisers: advice.NewAdvisers(), pendingCalls: map[int64]*pendingAdviceCall{}, rates: advice.Rates{}, rounds: advice.Rounds{}, tally: advice.NewTally()}
}

// maxLongCalls is how many long calls may be on their way.
func (p *Pool) maxLongCalls() int {
	n := p.advice.advisers.Count()
	if p.isDisabled(ReservedAdvisers) {
		return n
	}
	return max(1, n-min(advisersKeptFree, n/2))
}

// AddAdviser takes in a process that can make calls for advice.
func (p *Pool) AddAdviser(name string) {
	p.advice.advisers.Put(name)
}

// RemoveAdviser takes in that a process can't be reached any more.
func (p *Pool) RemoveAdviser(name string, now clock.Time) {
	for n, a := range p.advice.pendingCalls {
		if a.call.Adviser == name {
			p.HandleAdviceAnswer(n, nil, false, now)
		}
	}
	p.advice.advisers.Remove(name)
}

// ask has advice called for, if a step needs it and processes are free for calls. No more than so
// many long calls are to be on their way then.
func (p *Pool) requestAdvice(s *step, longAtOnce int, reserved *reservations, now clock.Time, out *Actions) {
	if !p.mayRequestAdvice(s, now) {
		return
	}
	calls := p.callPrices(s.occurrence.job.queue.Advice, longAtOnce)
	if calls.MaxCalls <= 0 {
		return
	}
	p.advice.selectionsInPlan++
	names := p.selectAdviceTargets(s, reserved, calls, now)
	if len(names.workers) == 0 {
		s.advice.notBefore = now.Add(time.Duration(noTargetBackoff * float64(calls.Cost.Of(1))))
		return
	}
	for _, part := range names.split(calls.WorkersPerCall(len(names.workers))) {
		p.sendAdviceCall(s, part, longAtOnce, now, out)
	}
}

// callPrices returns the prices for a queue at present, when no more than so many long calls are to be on
// their way.
func (p *Pool) callPrices(cost *queue.AdviceCost, longAtOnce int) advice.Prices {
	most := p.advice.advisers.IdleCount()
	if cost.Of(1) >= longCallThreshold {
		most = min(most, longAtOnce-p.advice.longCalls)
	}
	if p.isDisabled(ParallelAdvice) {
		most = min(most, 1)
	}
	return advice.Prices{Cost: *cost, FreeAdvisers: max(p.advice.advisers.IdleCount(), 1), MaxCalls: most}
}

// mayRequestAdvice says whether calls for a step may be made in this plan.
func (p *Pool) mayRequestAdvice(s *step, now clock.Time) bool {
	return p.advice.advisers.IdleCount() > 0 && p.advice.selectionsInPlan < maxAdviceSelectionsPerPlan && now >= s.advice.notBefore && !s.advice.hasTimelyCall(now) &&
		s.occurrence.job.queue.Advice != nil && s.occurrence.job.outcome == ""
}

// call has one call made that names workers.
func (p *Pool) sendAdviceCall(s *step, names adviceTargets, longAtOnce int, now clock.Time, out *Actions) {
	q := s.occurrence.job.queue
	cost := q.Advice.Of(len(names.workers))
	if p.advice.advisers.IdleCount() == 0 || cost >= longCallThreshold && p.advice.longCalls >= longAtOnce {
		return
	}
	adviser := p.advice.advisers.Acquire()
	p.advice.last++
	a := &pendingAdviceCall{step: s, knownTargets: names.known, targetsWithRoom: names.withRoom, sentAt: now, expectedTime: cost, queue: q.Name, call: AdviceCall{
		Number: p.advice.last, Step: s.id(), Workers: names.workers, Adviser: adviser, Timeout: cost + cost/2 + adviceTimeoutMargin,
	}}
	a.result = advice.CallResult{Customer: s.occurrence.job.customer.Name, ValueClass: s.valueClass(now), Delayed: p.isAdviceDelayed(s, now)}
	if cost >= longCallThreshold {
		p.advice.longCalls++
	}
	p.advice.pendingCalls[a.call.Number] = a
	s.advice.pendingCalls = append(s.advice.pendingCalls, a)
	for _, id := range names.workers {
		p.recordWorker(s.occurrence.job, id)
	}
	out.AdviceCalls = append(out.AdviceCalls, a.call)
	p.cfg.Log(Event{Name: "advice_asked", Task: job.TaskID{StepID: s.id()}, Detail: fmt.Sprintf(
		"workers=%d known=%d waiting=%d by=%s cost_ms=%d", len(names.workers), names.known, s.waitingTasks(), adviser, cost.Milliseconds())})
}

// HandleAdviceAnswer takes in the answer of a call for advice, or that it failed.
func (p *Pool) HandleAdviceAnswer(number int64, tickets []Ticket, ok bool, now clock.Time) {
	a, known := p.advice.pendingCalls[number]
	if !known {
		return
	}
	delete(p.advice.pendingCalls, number)
	p.advice.advisers.Release(a.call.Adviser, ok, now)
	if a.expectedTime >= longCallThreshold {
		p.advice.longCalls--
	}
	a.result.Duration, a.result.OK = now.Sub(a.sentAt), ok
	p.advice.tally.AddCall(a.result)
	if ok {
		p.updateAllowedRate(a, tickets)
	}
	s := a.step
	if s == nil {
		p.advice.tally.AddTickets(advice.TicketStepDone, len(tickets))
		return
	}
	s.advice.pendingCalls = slices.DeleteFunc(s.advice.pendingCalls, func(other *pendingAdviceCall) bool { return other == a })
	p.cfg.Log(Event{Name: "advice_answered", Task: job.TaskID{StepID: s.id()}, Detail: fmt.Sprintf(
		"allowed=%d of=%d ok=%t took_ms=%d", len(tickets), len(a.call.Workers), ok, now.Sub(a.sentAt).Milliseconds())})
	s.advice.lastAnsweredAt = now
	s.advice.callTime += now.Sub(a.sentAt)
	s.advice.notBefore = now.Add(minAdviceInterval)
	if ok {
		p.advice.issuedTickets = append(p.advice.issuedTickets, s.recordAdvice(a, tickets))
	}
}

// updateAllowedRate takes the share of allowed workers among those named for the first time.
func (p *Pool) updateAllowedRate(a *pendingAdviceCall, tickets []Ticket) {
	fresh := a.call.Workers[a.knownTargets:]
	if len(fresh) == 0 {
		return
	}
	allowed := 0
	for _, t := range tickets {
		if slices.Contains(fresh, t.Worker) {
			allowed++
		}
	}
	p.advice.rates.Learn(a.queue, allowed, len(fresh))
}

// recordAdvice keeps what a call for the step told, and returns what it brought.
func (s *step) recordAdvice(a *pendingAdviceCall, tickets []Ticket) *ticketIssue {
	i := &ticketIssue{step: s, expireAt: a.sentAt.Add(a.expectedTime + s.occurrence.job.queue.Advice.Validity)}
	uses := make(map[WorkerID]*ticketUse, len(tickets))
	for _, t := range tickets {
		u := &ticketUse{worker: t.Worker, selectedForRoom: slices.Index(a.call.Workers, t.Worker) < a.targetsWithRoom}
		uses[t.Worker] = u
		i.tickets = append(i.tickets, u)
	}
	s.advice.recordAnswer(a, tickets, i.expireAt, uses)
	return i
}

// recordAnswer keeps what a call told. The tickets hold from when the service gave them, which it
// did not do before the call had taken its time.
func (s *stepAdvice) recordAnswer(a *pendingAdviceCall, tickets []Ticket, until clock.Time, uses map[WorkerID]*ticketUse) {
	if s.allowed == nil {
		s.allowed, s.denied, s.tickets = map[WorkerID]bool{}, map[WorkerID]bool{}, map[WorkerID]ticket{}
	}
	for _, id := range a.call.Workers {
		s.denied[id] = true
	}
	for _, t := range tickets {
		delete(s.denied, t.Worker)
		s.allowed[t.Worker] = true
		s.tickets[t.Worker] = ticket{t.Text, until, uses[t.Worker]}
		s.ticketsExpireAt = max(s.ticketsExpireAt, until)
	}
}

// hasTimelyCall says that calls for the step are on their way, and not too late.
func (s *stepAdvice) hasTimelyCall(now clock.Time) bool {
	return slices.ContainsFunc(s.pendingCalls, func(a *pendingAdviceCall) bool { return now <= a.sentAt.Add(a.expectedTime+adviceLateAfter) })
}

// abandonAdviceCalls makes the answers of a step's pending calls useless.
func (p *Pool) abandonAdviceCalls(s *step) {
	for _, a := range s.advice.pendingCalls {
		a.step = nil
	}
	s.advice.pendingCalls = nil
}

// expireAdviceCalls gives up calls whose answers do not come.
func (p *Pool) expireAdviceCalls(now clock.Time) {
	const grace = 500 * time.Millisecond
	p.advice.selectionsInPlan = 0
	p.advice.advisers.EndBackoffs(now)
	p.countExpiredTickets(now)
	for n, a := range p.advice.pendingCalls {
		if now.Sub(a.sentAt) > a.call.Timeout+grace {
			p.HandleAdviceAnswer(n, nil, false, now)
		}
	}
}

func isNotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}
