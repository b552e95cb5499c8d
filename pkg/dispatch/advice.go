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
	// longCallThreshold is the expected duration from which an advice call counts as long. Long calls must
	// leave some advisers, the processes that make the calls, free for short ones.
	longCallThreshold = 150 * time.Millisecond
	// advisersKeptFree is how many advisers long calls leave free, but at most half of all advisers.
	advisersKeptFree = 2
	// adviceTimeoutMargin is added to one and a half times the expected duration of a call for its timeout.
	adviceTimeoutMargin = 300 * time.Millisecond
	// maxAdviceSelectionsPerPlan is for how many steps at most one plan selects advice targets: a selection
	// goes over all workers, and a plan must not delay the handling of worker answers.
	maxAdviceSelectionsPerPlan = 16
	// maxRepeatedSelections is how many of these may be for steps whose last selection found no targets, and
	// maxEarlyRepeats how many of those for steps that have no turn yet (isRepeatDue). In a mostly used pool, where
	// many steps have no targets, more are left to those of high rank.
	maxRepeatedSelections         = 8
	maxEarlyRepeats               = 4
	maxRepeatedSelectionsWhenBusy = 14
	maxEarlyRepeatsWhenBusy       = 12
	// repeatInterval is the mean time between two selections for steps that have their turn, so that plans made
	// every 50 ms can serve them beside maxEarlyRepeats others.
	repeatInterval = 12 * time.Millisecond
	// adviceLateAfter is by how much a call may exceed its expected duration before more calls are made for
	// its step.
	adviceLateAfter = 150 * time.Millisecond
	// minAdviceInterval is the least time between the answer to a call for a step and the next call for it.
	minAdviceInterval = 60 * time.Millisecond
	// noTargetBackoff is the pause after a selection that found no targets, as a fraction of the expected
	// duration of a call about one worker. A selection goes over all workers, so it isn't repeated in each
	// plan; the pause delays an answer by at most this fraction.
	noTargetBackoff = 0.125
)

// stepAdvice is what is known about the workers that may run a step. Whether a worker may run the step does
// not change, but tickets expire.
type stepAdvice struct {
	allowed map[WorkerID]bool
	denied  map[WorkerID]bool
	tickets map[WorkerID]ticket
	// ticketsExpireAt is when the last ticket expires.
	ticketsExpireAt clock.Time
	pendingCalls    []*pendingAdviceCall
	notBefore       clock.Time
	// selectedAt is when targets were last selected for the step, and hadNoTargets says that none were found.
	selectedAt   clock.Time
	hadNoTargets bool
	// insufficientRounds counts the rounds of calls since the step became ready after which not all of its members had
	// workers. It is used for gangs only.
	insufficientRounds int
	// callTime is the total duration of the calls for the step.
	callTime time.Duration
	// lastAnsweredAt is when a call for the step was last answered or failed; 0 for never.
	lastAnsweredAt clock.Time
}

// pendingAdviceCall is an advice call that has not been answered.
type pendingAdviceCall struct {
	call            AdviceCall
	step            *step // nil when the answer is no longer needed
	knownTargets    int   // how many targets were known to be allowed; they come first
	targetsWithRoom int   // how many targets had room, or were expected to; the others come last
	sentAt          clock.Time
	expectedTime    time.Duration
	queue           string
	result          advice.CallResult // complete except for the duration and whether the call succeeded
}

// adviceState has the pending advice calls, the advisers that make them, and what earlier calls have shown
// about queues.
type adviceState struct {
	advisers         *advice.Advisers
	pendingCalls     map[int64]*pendingAdviceCall
	lastCallNumber   int64 // number of the last call
	longCalls        int   // how many pending calls are long (longCallThreshold)
	rates            advice.Rates
	rounds           advice.Rounds
	targetOffset     int // shifts the start of a selection, so that calls ask about different workers
	selectionsInPlan int // how many steps this plan has selected targets for
	// repeatedSelections counts those for steps that had no targets the last time, and earlyRepeats those among
	// them that had no turn yet.
	repeatedSelections, earlyRepeats int
	stepsWithoutTargets              int // how many waiting steps had no targets the last time
	tally                            *advice.Tally
	issuedTickets                    []*ticketIssue
}

func newAdviceState() adviceState {
	return adviceState{advisers: advice.NewAdvisers(), pendingCalls: map[int64]*pendingAdviceCall{}, rates: advice.Rates{}, rounds: advice.Rounds{}, tally: advice.NewTally()}
}

// maxLongCalls is how many long calls may be pending at once.
func (p *Pool) maxLongCalls() int {
	n := p.advice.advisers.Count()
	if p.isDisabled(ReservedAdvisers) {
		return n
	}
	return max(1, n-min(advisersKeptFree, n/2))
}

// AddAdviser registers a process that can make advice calls.
func (p *Pool) AddAdviser(name string) {
	p.advice.advisers.Add(name)
}

// RemoveAdviser removes a process that can't be reached any more; its pending calls count as failed.
func (p *Pool) RemoveAdviser(name string, now clock.Time) {
	for n, a := range p.advice.pendingCalls {
		if a.call.Adviser == name {
			p.HandleAdviceAnswer(n, nil, false, now)
		}
	}
	p.advice.advisers.Remove(name)
}

// requestAdvice makes advice calls for a step if the step needs them and advisers are free. A long call is
// made only while fewer than maxLong long calls are pending.
func (p *Pool) requestAdvice(s *step, maxLong int, reserved *reservations, now clock.Time, out *Actions) {
	if !p.mayRequestAdvice(s, now) {
		return
	}
	prices := p.callPrices(s.occurrence.job.queue.Advice, maxLong)
	if prices.MaxCalls <= 0 {
		return
	}
	p.countSelection(s, now)
	targets := p.selectAdviceTargets(s, reserved, prices, now)
	s.advice.selectedAt, s.advice.hadNoTargets = now, len(targets.workers) == 0
	if s.advice.hadNoTargets {
		s.advice.notBefore = now.Add(time.Duration(noTargetBackoff * float64(prices.Cost.CallTime(1))))
		return
	}
	if s.advice.lastAnsweredAt >= s.readySince {
		s.advice.insufficientRounds++
	}
	for _, part := range targets.split(prices.WorkersPerCall(len(targets.workers))) {
		p.sendAdviceCall(s, part, maxLong, now, out)
	}
}

// countSelection counts a selection of targets in the present plan.
func (p *Pool) countSelection(s *step, now clock.Time) {
	p.advice.selectionsInPlan++
	if !s.advice.hadNoTargets {
		return
	}
	p.advice.repeatedSelections++
	if !p.isRepeatDue(s, now) {
		p.advice.earlyRepeats++
	}
}

// maySelectTargets reports whether this plan may select targets for a step. Steps whose last selection found none
// don't use up all selections: those of high rank would be selected for in each plan, and no other step would
// ever get a call.
func (p *Pool) maySelectTargets(s *step, now clock.Time) bool {
	switch {
	case p.advice.selectionsInPlan >= maxAdviceSelectionsPerPlan:
		return false
	case !s.advice.hadNoTargets:
		return true
	}
	repeated, early := maxRepeatedSelections, maxEarlyRepeats
	if p.poolLoad(s.occurrence.job.queue.Pool).isMostlyUsed() {
		repeated, early = maxRepeatedSelectionsWhenBusy, maxEarlyRepeatsWhenBusy
	}
	return p.advice.repeatedSelections < repeated && (p.advice.earlyRepeats < early || p.isRepeatDue(s, now))
}

// isRepeatDue reports whether all other steps whose last selection found no targets have had their turn since
// that of this one.
func (p *Pool) isRepeatDue(s *step, now clock.Time) bool {
	return now.Sub(s.advice.selectedAt) >= time.Duration(p.advice.stepsWithoutTargets)*repeatInterval
}

// callPrices returns the present prices of advice calls for a queue, given that at most maxLong long
// calls may be pending.
func (p *Pool) callPrices(cost *queue.AdviceCost, maxLong int) advice.Prices {
	maxCalls := p.advice.advisers.IdleCount()
	if cost.CallTime(1) >= longCallThreshold {
		maxCalls = min(maxCalls, maxLong-p.advice.longCalls)
	}
	if p.isDisabled(ParallelAdvice) {
		maxCalls = min(maxCalls, 1)
	}
	return advice.Prices{Cost: *cost, IdleAdvisers: max(p.advice.advisers.IdleCount(), 1), MaxCalls: maxCalls}
}

// mayRequestAdvice reports whether this plan may make advice calls for a step.
func (p *Pool) mayRequestAdvice(s *step, now clock.Time) bool {
	return p.advice.advisers.IdleCount() > 0 && p.maySelectTargets(s, now) && now >= s.advice.notBefore && !s.advice.hasTimelyCall(now) &&
		s.occurrence.job.queue.Advice != nil && s.occurrence.job.outcome == ""
}

// sendAdviceCall makes one call that asks about some workers, if an adviser is free for it.
func (p *Pool) sendAdviceCall(s *step, targets adviceTargets, maxLong int, now clock.Time, out *Actions) {
	q := s.occurrence.job.queue
	cost := q.Advice.CallTime(len(targets.workers))
	if p.advice.advisers.IdleCount() == 0 || cost >= longCallThreshold && p.advice.longCalls >= maxLong {
		return
	}
	adviser := p.advice.advisers.Acquire()
	p.advice.lastCallNumber++
	a := &pendingAdviceCall{step: s, knownTargets: targets.known, targetsWithRoom: targets.withRoom, sentAt: now, expectedTime: cost, queue: q.Name, call: AdviceCall{
		Number: p.advice.lastCallNumber, Step: s.id(), Workers: targets.workers, Adviser: adviser, Timeout: cost + cost/2 + adviceTimeoutMargin,
	}}
	a.result = advice.CallResult{Customer: s.occurrence.job.customer.Name, ValueClass: s.valueClass(now), Delayed: p.isAdviceDelayed(s, now)}
	if cost >= longCallThreshold {
		p.advice.longCalls++
	}
	p.advice.pendingCalls[a.call.Number] = a
	s.advice.pendingCalls = append(s.advice.pendingCalls, a)
	for _, id := range targets.workers {
		p.recordWorker(s.occurrence.job, id)
	}
	out.AdviceCalls = append(out.AdviceCalls, a.call)
	p.cfg.Log(Event{Name: "advice_asked", Task: job.TaskID{StepID: s.id()}, Detail: fmt.Sprintf(
		"workers=%d known=%d waiting=%d by=%s cost_ms=%d", len(targets.workers), targets.known, s.waitingTasks(), adviser, cost.Milliseconds())})
}

// HandleAdviceAnswer processes the answer to an advice call, or its failure.
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

// updateAllowedRate updates a queue's rate of allowed workers from the targets that were asked about for the
// first time.
func (p *Pool) updateAllowedRate(a *pendingAdviceCall, tickets []Ticket) {
	newTargets := a.call.Workers[a.knownTargets:]
	if len(newTargets) == 0 {
		return
	}
	allowed := 0
	for _, t := range tickets {
		if slices.Contains(newTargets, t.Worker) {
			allowed++
		}
	}
	p.advice.rates.Update(a.queue, allowed, len(newTargets))
}

// recordAdvice records the answer to a call for the step, and returns the tickets that it issued.
func (s *step) recordAdvice(a *pendingAdviceCall, tickets []Ticket) *ticketIssue {
	issue := &ticketIssue{step: s, expiresAt: a.sentAt.Add(a.expectedTime + s.occurrence.job.queue.Advice.Validity)}
	uses := make(map[WorkerID]*ticketUse, len(tickets))
	for _, t := range tickets {
		u := &ticketUse{worker: t.Worker, selectedForRoom: slices.Index(a.call.Workers, t.Worker) < a.targetsWithRoom}
		uses[t.Worker] = u
		issue.tickets = append(issue.tickets, u)
	}
	s.advice.recordAnswer(a, tickets, issue.expiresAt, uses)
	return issue
}

// recordAnswer records which workers a call allowed and denied. Tickets are valid from when the advice
// service issued them, which was not before the expected duration of the call had passed.
func (s *stepAdvice) recordAnswer(a *pendingAdviceCall, tickets []Ticket, expireAt clock.Time, uses map[WorkerID]*ticketUse) {
	if s.allowed == nil {
		s.allowed, s.denied, s.tickets = map[WorkerID]bool{}, map[WorkerID]bool{}, map[WorkerID]ticket{}
	}
	for _, id := range a.call.Workers {
		s.denied[id] = true
	}
	for _, t := range tickets {
		delete(s.denied, t.Worker)
		s.allowed[t.Worker] = true
		s.tickets[t.Worker] = ticket{t.Text, expireAt, uses[t.Worker]}
		s.ticketsExpireAt = max(s.ticketsExpireAt, expireAt)
	}
}

// hasTimelyCall reports whether a call for the step is pending that is not late yet.
func (s *stepAdvice) hasTimelyCall(now clock.Time) bool {
	return slices.ContainsFunc(s.pendingCalls, func(a *pendingAdviceCall) bool { return now <= a.sentAt.Add(a.expectedTime+adviceLateAfter) })
}

// abandonAdviceCalls makes sure that the answers to a step's pending calls are ignored.
func (p *Pool) abandonAdviceCalls(s *step) {
	for _, a := range s.advice.pendingCalls {
		a.step = nil
	}
	s.advice.pendingCalls = nil
}

// expireAdviceCalls gives up calls whose timeout has passed without an answer.
func (p *Pool) expireAdviceCalls(now clock.Time) {
	const grace = 500 * time.Millisecond
	p.advice.selectionsInPlan, p.advice.repeatedSelections, p.advice.earlyRepeats = 0, 0, 0
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
