package advice

import (
	"time"

	"foldarch.dev/foldarch/pkg/worth"
)

// TicketOutcome says how a ticket ended that a call brought.
type TicketOutcome int

// The ends of tickets.
const (
	// TicketUsed: one start or more went out with it.
	TicketUsed TicketOutcome = iota
	// TicketNoRoom: its worker had no room when it was named, so that later calls need not learn of it, and has none now.
	TicketNoRoom
	// TicketRoomTaken: its worker had room when it was named, and has none now.
	TicketRoomTaken
	// TicketQuotaFull: the customer's quota lets no task of the step start.
	TicketQuotaFull
	// TicketGangIncomplete: its worker has room, and the gang lacks other members.
	TicketGangIncomplete
	// TicketExpired: the step waits, and its worker has room.
	TicketExpired
	// TicketStepDone: all tasks of the step were started without it, or the job has ended.
	TicketStepDone
	ticketOutcomeCount
)

var ticketOutcomeNames = [ticketOutcomeCount]string{"used", "no_room", "room_taken", "quota", "gang_short", "expired", "step_done"}

const valueClassCount = worth.NoValue - worth.Overdue + 1

var valueClassNames = [valueClassCount]string{"overdue", "in_time", "late", "beyond", "worthless"}

// Tally counts what calls for advice have taken and brought, since the owner began. NewTally makes it.
type Tally struct {
	calls              int64
	failed             int64
	starts             int64
	tickets            [ticketOutcomeCount]int64
	callTime           [valueClassCount]time.Duration
	delayedCallTime    time.Duration
	callTimeByCustomer map[string]time.Duration
}

// NewTally returns a tally of nothing.
func NewTally() *Tally {
	return &Tally{callTimeByCustomer: map[string]time.Duration{}}
}

// CallResult is a call that was answered, or has failed.
type CallResult struct {
	Customer string
	// ValueClass is that of the step when the call was made, and Starving says that it had waited too long by then.
	ValueClass worth.ValueClass
	Delayed    bool
	Duration   time.Duration
	OK         bool
}

// AddCall takes in a call that is over.
func (t *Tally) AddCall(c CallResult) {
	t.calls++
	if !c.OK {
		t.failed++
	}
	t.callTime[c.ValueClass-worth.Overdue] += c.Duration
	if c.Delayed {
		t.delayedCallTime += c.Duration
	}
	t.callTimeByCustomer[c.Customer] += c.Duration
}

// AddStart takes in that a start goes out with a ticket.
func (t *Tally) AddStart() {
	t.starts++
}

// AddTickets takes in how a number of tickets ended.
func (t *Tally) AddTickets(end TicketOutcome, n int) {
	t.tickets[end] += int64(n)
}

// Tickets is how many tickets ended in a way.
func (t *Tally) Tickets(end TicketOutcome) int64 {
	return t.tickets[end]
}

// Starts is how many starts went out with tickets.
func (t *Tally) Starts() int64 {
	return t.starts
}

// Calls is how many calls are over.
func (t *Tally) Calls() int64 {
	return t.calls
}

// CallTime is what calls have taken for steps of a standing.
func (t *Tally) CallTime(s worth.ValueClass) time.Duration {
	return t.callTime[s-worth.Overdue]
}

// CustomerCallTime is what calls have taken for a customer's steps.
func (t *Tally) CustomerCallTime(customer string) time.Duration {
	return t.callTimeByCustomer[customer]
}

// Metrics are the totals by name, times in milliseconds.
func (t *Tally) Metrics() map[string]int64 {
	out := map[string]int64{
		"advice_calls_over": t.calls, "advice_calls_failed": t.failed, "advice_starts": t.starts, "advice_ms_starving": t.delayedCallTime.Milliseconds(),
	}
	for end, n := range t.tickets {
		out["advice_tickets_"+ticketOutcomeNames[end]] = n
	}
	for s, spent := range t.callTime {
		out["advice_ms_"+valueClassNames[s]] = spent.Milliseconds()
	}
	return out
}
