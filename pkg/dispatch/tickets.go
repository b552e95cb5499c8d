package dispatch

import (
	"slices"

	"foldarch.dev/foldarch/pkg/advice"
	"foldarch.dev/foldarch/pkg/clock"
)

// ticket allows a step's tasks to be started on a worker until it expires.
type ticket struct {
	text      string
	expiresAt clock.Time
	use       *ticketUse
}

// ticketUse records what a ticket was used for.
type ticketUse struct {
	worker WorkerID
	// selectedForRoom says that the worker was expected to have room, and was not only included to
	// find out whether it is allowed.
	selectedForRoom bool
	used            bool
}

// ticketIssue holds the tickets that one advice call returned, until they have expired.
type ticketIssue struct {
	step      *step
	expiresAt clock.Time
	tickets   []*ticketUse
}

// markTicketUsed records that a start is sent with a ticket.
func (p *Pool) markTicketUsed(t ticket) {
	if t.use != nil {
		t.use.used = true
		p.advice.tally.AddStart()
	}
}

// countExpiredTickets counts the outcomes of the tickets that are no longer valid for long enough to be
// used.
func (p *Pool) countExpiredTickets(now clock.Time) {
	p.advice.issuedTickets = slices.DeleteFunc(p.advice.issuedTickets, func(i *ticketIssue) bool {
		if now.Add(minTicketValidity) < i.expiresAt {
			return false
		}
		for _, t := range i.tickets {
			p.advice.tally.AddTickets(p.ticketOutcome(i.step, t, now), 1)
		}
		return true
	})
}

// ticketOutcome returns the outcome of a ticket that expires now. The present state stands for the
// whole time in which the ticket was valid.
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
