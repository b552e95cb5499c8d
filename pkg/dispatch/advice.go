package dispatch

import (
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/job"
)

const (
	// longAsk is the length of a call from which it must leave some processes free for
	// short ones.
	longAsk = 150 * time.Millisecond
	// spareForShort is how many processes long calls leave free, but no more than half of them.
	spareForShort = 2
	// askSlack is how much longer than it should a call may take.
	askSlack = 300 * time.Millisecond
	// asksPerPlan is how many calls one plan makes at most: choosing the workers to be named
	// takes as long as there are workers, and a plan must not hold up what workers answer.
	asksPerPlan = 16
	// askAgain is the least time between two calls for a step.
	askAgain = 60 * time.Millisecond
	// nameAgain is the pause after there was nobody to be named in a call, in parts of the fixed time of a
	// call: choosing goes over all workers, and the pause delays the answer by that part at most.
	nameAgain = 0.125
	// firstRate is the share of allowed workers that is assumed of a queue at first.
	firstRate = 0.5
	// rateWeight is the weight of a new answer in a queue's rate.
	rateWeight = 0.15
)

// stepAdvice is what is known of the workers that may run a step. Which ones may does not
// change, but tickets lapse.
type stepAdvice struct {
	good      map[WorkerID]bool
	denied    map[WorkerID]bool
	tickets   map[WorkerID]ticket
	pending   *pendingAsk
	notBefore clock.Time
	// answeredAt is when a call for the step was answered last, or failed; 0 for never.
	answeredAt clock.Time
}

type ticket struct {
	text  string
	until clock.Time
}

type pendingAsk struct {
	ask    Ask
	step   *step // nil when the answer is of no use any more
	known  int   // how many of the named were known to be allowed; they come first
	sentAt clock.Time
	cost   time.Duration
	queue  string
}

// advisers are the processes that make calls for advice, one at a time each.
type advisers struct {
	idle   map[string]bool
	free   int // how many are idle
	asks   map[int64]*pendingAsk
	last   int64
	long   int
	rates  map[string]float64
	offset int // shifts which of like workers are named
}

func newAdvisers() advisers {
	return advisers{idle: map[string]bool{}, asks: map[int64]*pendingAsk{}, rates: map[string]float64{}}
}

func (a *advisers) setIdle(name string, idle bool) {
	if was := a.idle[name]; was && !idle {
		a.free--
	} else if !was && idle {
		a.free++
	}
	a.idle[name] = idle
}

// longAtOnce is how many long calls may be on their way.
func (p *Pool) longAtOnce() int {
	n := len(p.advice.idle)
	if p.without(SpareAdvisers) {
		return n
	}
	return max(1, n-min(spareForShort, n/2))
}

// PutAdviser takes in a process that can make calls for advice.
func (p *Pool) PutAdviser(name string) {
	p.advice.setIdle(name, true)
}

// RemoveAdviser takes in that a process can't be reached any more.
func (p *Pool) RemoveAdviser(name string, now clock.Time) {
	for n, a := range p.advice.asks {
		if a.ask.Adviser == name {
			p.AdviceAnswered(n, nil, false, now)
		}
	}
	p.advice.setIdle(name, false)
	delete(p.advice.idle, name)
}

// ask has advice called for, if a step needs it and a process is free for the call. No more than so
// many long calls are to be on their way then.
func (p *Pool) ask(s *step, longAtOnce int, reserved *reservations, now clock.Time, out *Actions) {
	q := s.time.job.queue
	if q.Advice == nil || p.advice.free == 0 || len(out.Asks) >= asksPerPlan || s.advice.pending != nil || now < s.advice.notBefore || s.time.job.outcome != "" {
		return
	}
	if q.Advice.Of(1) >= longAsk && p.advice.long >= longAtOnce {
		return
	}
	named, known := p.name(s, reserved, now)
	if len(named) == 0 {
		s.advice.notBefore = now.Add(time.Duration(nameAgain * float64(q.Advice.Of(1))))
		return
	}
	adviser := p.idleAdviser()
	cost := q.Advice.Of(len(named))
	if cost >= longAsk && p.advice.long >= longAtOnce {
		return
	}
	p.advice.last++
	a := &pendingAsk{step: s, known: known, sentAt: now, cost: cost, queue: q.Name, ask: Ask{
		Number: p.advice.last, Step: s.id(), Workers: named, Adviser: adviser, Limit: cost + cost/2 + askSlack,
	}}
	if cost >= longAsk {
		p.advice.long++
	}
	p.advice.setIdle(adviser, false)
	p.advice.asks[a.ask.Number] = a
	s.advice.pending = a
	out.Asks = append(out.Asks, a.ask)
	p.cfg.Log(Event{Name: "advice_asked", Task: job.TaskID{StepID: s.id()}, Detail: fmt.Sprintf(
		"workers=%d known=%d waiting=%d by=%s cost_ms=%d", len(named), known, s.waiting(), adviser, cost.Milliseconds())})
}

// idleAdviser is the first by name of those that are free; there is one.
func (p *Pool) idleAdviser() string {
	best := ""
	for name, idle := range p.advice.idle {
		if idle && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// AdviceAnswered takes in the answer of a call for advice, or that it failed.
func (p *Pool) AdviceAnswered(number int64, tickets []Ticket, ok bool, now clock.Time) {
	a, known := p.advice.asks[number]
	if !known {
		return
	}
	delete(p.advice.asks, number)
	if _, there := p.advice.idle[a.ask.Adviser]; there {
		p.advice.setIdle(a.ask.Adviser, true)
	}
	if a.cost >= longAsk {
		p.advice.long--
	}
	if ok {
		p.learnRate(a, tickets)
	}
	s := a.step
	if s == nil || s.advice.pending != a {
		return
	}
	p.cfg.Log(Event{Name: "advice_answered", Task: job.TaskID{StepID: s.id()}, Detail: fmt.Sprintf(
		"allowed=%d of=%d ok=%t took_ms=%d", len(tickets), len(a.ask.Workers), ok, now.Sub(a.sentAt).Milliseconds())})
	s.advice.pending = nil
	s.advice.answeredAt = now
	s.advice.notBefore = now.Add(askAgain)
	if ok {
		s.advice.learn(a, tickets, s.time.job.queue.Advice.Validity)
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
	share := float64(allowed) / float64(len(fresh))
	p.advice.rates[a.queue] = p.rate(a.queue)*(1-rateWeight) + share*rateWeight
}

// learn keeps what a call told. The tickets hold from when the service gave them, which it
// did not do before the call had taken its time.
func (s *stepAdvice) learn(a *pendingAsk, tickets []Ticket, validity time.Duration) {
	if s.good == nil {
		s.good, s.denied, s.tickets = map[WorkerID]bool{}, map[WorkerID]bool{}, map[WorkerID]ticket{}
	}
	for _, id := range a.ask.Workers {
		s.denied[id] = true
	}
	until := a.sentAt.Add(a.cost + validity)
	for _, t := range tickets {
		delete(s.denied, t.Worker)
		s.good[t.Worker] = true
		s.tickets[t.Worker] = ticket{t.Text, until}
	}
}

// dropAsk makes the answer of a step's pending call useless.
func (p *Pool) dropAsk(s *step) {
	if a := s.advice.pending; a != nil {
		a.step = nil
		s.advice.pending = nil
	}
}

// expireAsks gives up calls whose answers do not come.
func (p *Pool) expireAsks(now clock.Time) {
	const grace = 500 * time.Millisecond
	for n, a := range p.advice.asks {
		if now.Sub(a.sentAt) > a.ask.Limit+grace {
			p.AdviceAnswered(n, nil, false, now)
		}
	}
}

func isNotSent(err error) bool {
	return errors.Is(err, ErrNotSent)
}
