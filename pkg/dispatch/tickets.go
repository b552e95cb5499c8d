package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
)

// ticket lets a step's tasks start on a worker for some time.
type ticket struct {
	text      string
	expiresAt clock.Time
	use       *ticketUse
}

// ticketUse is what became of a ticket.
type ticketUse struct {
	worker          WorkerID
	selectedForRoom bool // the worker was not only named to learn of it
	used            bool
}

// ticketIssue is what one call brought, until its tickets have lapsed.
type ticketIssue struct {
	step     *step
	expireAt clock.Time
	tickets  []*ticketUse
}

// markTicketUsed takes in that a start goes out with a ticket.
func (p *Pool) markTicketUsed(t ticket) {
	if t.use != nil {
		t.use.used = true
		p.advice.tally.AddStart()
	}
}

// countExpiredTickets counts how tickets ended that are of no use any more.
func (p *Pool) countExpiredTickets(now clock.Time) {
	p.advice.issuedTickets = slices.DeleteFunc(p.advice.issuedTickets, func(i *ticketIssue) bool {
		if now.Add(minTicketValidity) < i.expireAt {
			return false
		}
		for _, t := range i.tickets {
			p.advice.tally.AddTickets(p.ticketOutcome(i.step, t, now), 1)
		}
		return true
	})
}

// ticketOutcome says how a ticket ended that lapses now. What holds at this moment stands for the time in which it was valid.
func (p *Pool) ticketOutcome(s *step, t *ticketUse, now clock.Time) advice.TicketOutcome {
	w, known := p.workers[t.worker]
	switch {
	case t.used:
		return advice.TicketUsed
	case s.occurrence.job.outcome != "" || s.waitingTasks() == 0:
		return advice.TicketStepDone
	case p.awaitsQuota(s):
		return advice.TicketQuotaFull
	case known && p.isEligible(s, w, now) && roomFor(s, w) > 0:
		if s.spec.Gang {
			return advice.TicketGangIncomplete
		}
		return advice.TicketExpired
	case t.selectedForRoom:
		return advice.TicketRoomTaken
	}
	return advice.TicketNoRoom
}
