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
	// longAsk is the length of a call from which it must leave some processes free for
	// short ones.
	longAsk = 150 * time.Millisecond
	// spareForShort is how many processes long calls leave free, but no more than half of them.
	spareForShort = 2
	// askSlack is how much longer than it should a call may take.
	askSlack = 300 * time.Millisecond
	// choicesPerPlan is for how many steps one plan chooses workers to be named at most: choosing takes as
	// long as there are workers, and a plan must not hold up what workers answer.
	choicesPerPlan = 16
	// askLate is how much longer than it should a call may take before others are made for its step.
	askLate = 150 * time.Millisecond
	// askAgain is the least time between two calls for a step.
	askAgain = 60 * time.Millisecond
	// nameAgain is the pause after there was nobody to be named in a call, in parts of the fixed time of a
	// call: choosing goes over all workers, and the pause delays the answer by that part at most.
	nameAgain = 0.125
)

// stepAdvice is what is known of the workers that may run a step. Which ones may does not
// change, but tickets lapse.
type stepAdvice struct {
	good    map[WorkerID]bool
	denied  map[WorkerID]bool
	tickets map[WorkerID]ticket
	// ticketsUntil is when the last of them lapses.
	ticketsUntil clock.Time
	pending      []*pendingAsk
	notBefore    clock.Time
	// spent is what the calls for the step have taken.
	spent time.Duration
	// answeredAt is when a call for the step was answered last, or failed; 0 for never.
	answeredAt clock.Time
}

type pendingAsk struct {
	ask    Ask
	step   *step // nil when the answer is of no use any more
	known  int   // how many of the named were known to be allowed; they come first
	roomy  int   // how many had room, or were expected to; those without come last
	sentAt clock.Time
	cost   time.Duration
	queue  string
	over   advice.CallOver // but for how it ended
}

// adviceCalls are the calls for advice that are on their way, with those who make them and what earlier ones have told of queues.
type adviceCalls struct {
	advisers *advice.Advisers
	asks     map[int64]*pendingAsk
	last     int64 // number of a call
	long     int   // how many of them are long (longAsk)
	rates    advice.Rates
	rounds   advice.Rounds
	offset   int // shifts which of like workers are named
	choices  int // of workers to be named, in this plan
	tally    *advice.Tally
	issues   []*issue
}

func newAdviceCalls() adviceCalls {
	return adviceCalls{advisers: advice.NewAdvisers(), asks: map[int64]*pendingAsk{}, rates: advice.Rates{}, rounds: advice.Rounds{}, tally: advice.NewTally()}
}

// longAtOnce is how many long calls may be on their way.
func (p *Pool) longAtOnce() int {
	n := p.advice.advisers.Joined()
	if p.without(SpareAdvisers) {
		return n
	}
	return max(1, n-min(spareForShort, n/2))
}

// PutAdviser takes in a process that can make calls for advice.
func (p *Pool) PutAdviser(name string) {
	p.advice.advisers.Put(name)
}

// RemoveAdviser takes in that a process can't be reached any more.
func (p *Pool) RemoveAdviser(name string, now clock.Time) {
	for n, a := range p.advice.asks {
		if a.ask.Adviser == name {
			p.AdviceAnswered(n, nil, false, now)
		}
	}
	p.advice.advisers.Remove(name)
}

// ask has advice called for, if a step needs it and processes are free for calls. No more than so
// many long calls are to be on their way then.
func (p *Pool) ask(s *step, longAtOnce int, reserved *reservations, now clock.Time, out *Actions) {
	if !p.mayAsk(s, now) {
		return
	}
	calls := p.callPrices(s.time.job.queue.Advice, longAtOnce)
	if calls.Most <= 0 {
		return
	}
	p.advice.choices++
	names := p.name(s, reserved, calls, now)
	if len(names.workers) == 0 {
		s.advice.notBefore = now.Add(time.Duration(nameAgain * float64(calls.Cost.Of(1))))
		return
	}
	for _, part := range names.parts(calls.Size(len(names.workers))) {
		p.call(s, part, longAtOnce, now, out)
	}
}

// callPrices returns the prices for a queue at present, when no more than so many long calls are to be on
// their way.
func (p *Pool) callPrices(cost *queue.AdviceCost, longAtOnce int) advice.Prices {
	most := p.advice.advisers.Free()
	if cost.Of(1) >= longAsk {
		most = min(most, longAtOnce-p.advice.long)
	}
	if p.without(AdviceInParts) {
		most = min(most, 1)
	}
	return advice.Prices{Cost: *cost, Free: max(p.advice.advisers.Free(), 1), Most: most}
}

// mayAsk says whether calls for a step may be made in this plan.
func (p *Pool) mayAsk(s *step, now clock.Time) bool {
	return p.advice.advisers.Free() > 0 && p.advice.choices < choicesPerPlan && now >= s.advice.notBefore && !s.advice.awaits(now) &&
		s.time.job.queue.Advice != nil && s.time.job.outcome == ""
}

// call has one call made that names workers.
func (p *Pool) call(s *step, names naming, longAtOnce int, now clock.Time, out *Actions) {
	q := s.time.job.queue
	cost := q.Advice.Of(len(names.workers))
	if p.advice.advisers.Free() == 0 || cost >= longAsk && p.advice.long >= longAtOnce {
		return
	}
	adviser := p.advice.advisers.Take()
	p.advice.last++
	a := &pendingAsk{step: s, known: names.known, roomy: names.roomy, sentAt: now, cost: cost, queue: q.Name, ask: Ask{
		Number: p.advice.last, Step: s.id(), Workers: names.workers, Adviser: adviser, Limit: cost + cost/2 + askSlack,
	}}
	a.over = advice.CallOver{Customer: s.time.job.customer.Name, Standing: s.standing(now), Starving: p.starves(s, now)}
	if cost >= longAsk {
		p.advice.long++
	}
	p.advice.asks[a.ask.Number] = a
	s.advice.pending = append(s.advice.pending, a)
	for _, id := range names.workers {
		p.nameWorker(s.time.job, id)
	}
	out.Asks = append(out.Asks, a.ask)
	p.cfg.Log(Event{Name: "advice_asked", Task: job.TaskID{StepID: s.id()}, Detail: fmt.Sprintf(
		"workers=%d known=%d waiting=%d by=%s cost_ms=%d", len(names.workers), names.known, s.waiting(), adviser, cost.Milliseconds())})
}

// AdviceAnswered takes in the answer of a call for advice, or that it failed.
func (p *Pool) AdviceAnswered(number int64, tickets []Ticket, ok bool, now clock.Time) {
	a, known := p.advice.asks[number]
	if !known {
		return
	}
	delete(p.advice.asks, number)
	p.advice.advisers.Answered(a.ask.Adviser, ok, now)
	if a.cost >= longAsk {
		p.advice.long--
	}
	a.over.Took, a.over.OK = now.Sub(a.sentAt), ok
	p.advice.tally.AddCall(a.over)
	if ok {
		p.learnRate(a, tickets)
	}
	s := a.step
	if s == nil {
		p.advice.tally.AddTickets(advice.TicketStepDone, len(tickets))
		return
	}
	s.advice.pending = slices.DeleteFunc(s.advice.pending, func(other *pendingAsk) bool { return other == a })
	p.cfg.Log(Event{Name: "advice_answered", Task: job.TaskID{StepID: s.id()}, Detail: fmt.Sprintf(
		"allowed=%d of=%d ok=%t took_ms=%d", len(tickets), len(a.ask.Workers), ok, now.Sub(a.sentAt).Milliseconds())})
	s.advice.answeredAt = now
	s.advice.spent += now.Sub(a.sentAt)
	s.advice.notBefore = now.Add(askAgain)
	if ok {
		p.advice.issues = append(p.advice.issues, s.learnAdvice(a, tickets))
	}
}

// learnRate takes the share of allowed workers among those named for the first time.
func (p *Pool) learnRate(a *pendingAsk, tickets []Ticket) {
	fresh := a.ask.Workers[a.known:]
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

// learnAdvice keeps what a call for the step told, and returns what it brought.
func (s *step) learnAdvice(a *pendingAsk, tickets []Ticket) *issue {
	i := &issue{step: s, until: a.sentAt.Add(a.cost + s.time.job.queue.Advice.Validity)}
	uses := make(map[WorkerID]*ticketUse, len(tickets))
	for _, t := range tickets {
		u := &ticketUse{worker: t.Worker, hadRoom: slices.Index(a.ask.Workers, t.Worker) < a.roomy}
		uses[t.Worker] = u
		i.tickets = append(i.tickets, u)
	}
	s.advice.learn(a, tickets, i.until, uses)
	return i
}

// learn keeps what a call told. The tickets hold from when the service gave them, which it
// did not do before the call had taken its time.
func (s *stepAdvice) learn(a *pendingAsk, tickets []Ticket, until clock.Time, uses map[WorkerID]*ticketUse) {
	if s.good == nil {
		s.good, s.denied, s.tickets = map[WorkerID]bool{}, map[WorkerID]bool{}, map[WorkerID]ticket{}
	}
	for _, id := range a.ask.Workers {
		s.denied[id] = true
	}
	for _, t := range tickets {
		delete(s.denied, t.Worker)
		s.good[t.Worker] = true
		s.tickets[t.Worker] = ticket{t.Text, until, uses[t.Worker]}
		s.ticketsUntil = max(s.ticketsUntil, until)
	}
}

// awaits says that calls for the step are on their way, and not too late.
func (s *stepAdvice) awaits(now clock.Time) bool {
	return slices.ContainsFunc(s.pending, func(a *pendingAsk) bool { return now <= a.sentAt.Add(a.cost+askLate) })
}

// dropAsk makes the answers of a step's pending calls useless.
func (p *Pool) dropAsk(s *step) {
	for _, a := range s.advice.pending {
		a.step = nil
	}
	s.advice.pending = nil
}

// expireAsks gives up calls whose answers do not come.
func (p *Pool) expireAsks(now clock.Time) {
	const grace = 500 * time.Millisecond
	p.advice.choices = 0
	p.advice.advisers.EndRests(now)
	p.countLapsed(now)
	for n, a := range p.advice.asks {
		if now.Sub(a.sentAt) > a.ask.Limit+grace {
			p.AdviceAnswered(n, nil, false, now)
		}
	}
}

func isNotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}
