package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
)

// ticket lets a step's tasks start on a worker for some time.
type ticket struct {
	text  string
	until clock.Time
	use   *ticketUse
}

// ticketUse is what became of a ticket.
type ticketUse struct {
	worker  WorkerID
	hadRoom bool // the worker was not only named to learn of it
	used    bool
}

// issue is what one call brought, until its tickets have lapsed.
type issue struct {
	step    *step
	until   clock.Time
	tickets []*ticketUse
}

// useTicket takes in that a start goes out with a ticket.
func (p *Pool) useTicket(t ticket) {
	if t.use != nil {
		t.use.used = true
		p.advice.tally.AddStart()
	}
}

// countLapsed counts how tickets ended that are of no use any more.
func (p *Pool) countLapsed(now clock.Time) {
	p.advice.issues = slices.DeleteFunc(p.advice.issues, func(i *issue) bool {
		if now.Add(ticketMargin) < i.until {
			return false
		}
		for _, t := range i.tickets {
			p.advice.tally.AddTickets(p.ticketEnd(i.step, t, now), 1)
		}
		return true
	})
}

// ticketEnd says how a ticket ended that lapses now. What holds at this moment stands for the time in which it was valid.
func (p *Pool) ticketEnd(s *step, t *ticketUse, now clock.Time) advice.TicketEnd {
	w, known := p.workers[t.worker]
	switch {
	case t.used:
		return advice.TicketUsed
	case s.time.job.outcome != "" || s.waiting() == 0:
		return advice.TicketStepDone
	case p.awaitsQuota(s):
		return advice.TicketQuota
	case known && p.eligible(s, w, now) && fits(s, w) > 0:
		if s.spec.Gang {
			return advice.TicketGangShort
		}
		return advice.TicketExpired
	case t.hadRoom:
		return advice.TicketRoomTaken
	}
	return advice.TicketNoRoom
}
