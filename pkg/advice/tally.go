package advice

import (
	"time"

	"foldarch.dev/foldarch/pkg/worth"
)

// TicketOutcome says what became of a ticket that a call brought.
type TicketOutcome int

// The outcomes of tickets.
const (
	// TicketUsed: one or more starts were sent with it.
	TicketUsed TicketOutcome = iota
	// TicketNoRoom: its worker had no room when the call was made, and has none now. It was asked about
	// in advance, to spare a later call.
	TicketNoRoom
	// TicketRoomTaken: its worker had room when the call was made, and has none now.
	TicketRoomTaken
	// TicketQuotaFull: the customer's quota does not let a task of the step start.
	TicketQuotaFull
	// TicketGangIncomplete: its worker has room, but not all members of the gang can start.
	TicketGangIncomplete
	// TicketExpired: it expired while the step was waiting and its worker had room.
	TicketExpired
	// TicketStepDone: all tasks of the step were started without it, or the job has ended.
	TicketStepDone
	ticketOutcomeCount
)

var ticketOutcomeNames = [ticketOutcomeCount]string{"used", "no_room", "room_taken", "quota", "gang_short", "expired", "step_done"}

const valueClassCount = worth.NoValue - worth.Overdue + 1

var valueClassNames = [valueClassCount]string{"overdue", "in_time", "late", "beyond", "worthless"}

// Tally counts the advice calls and their results since the owner began. NewTally makes it.
type Tally struct {
	calls              int64
	failed             int64
	starts             int64
	tickets            [ticketOutcomeCount]int64
	callTime           [valueClassCount]time.Duration
	delayedCallTime    time.Duration
	callTimeByCustomer map[string]time.Duration
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{callTimeByCustomer: map[string]time.Duration{}}
}

// CallResult is the result of a call that was answered or has failed.
type CallResult struct {
	Customer string
	// ValueClass is that of the step when the call was made, and Delayed reports whether the step had waited
	// too long for advice by then.
	ValueClass worth.ValueClass
	Delayed    bool
	Duration   time.Duration
	OK         bool
}

// AddCall counts a call that is over.
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

// AddStart counts a start that is sent with a ticket.
func (t *Tally) AddStart() {
	t.starts++
}

// AddTickets counts n tickets with an outcome.
func (t *Tally) AddTickets(outcome TicketOutcome, n int) {
	t.tickets[outcome] += int64(n)
}

// Tickets returns the number of tickets with an outcome.
func (t *Tally) Tickets(outcome TicketOutcome) int64 {
	return t.tickets[outcome]
}

// Starts returns how many starts were sent with tickets.
func (t *Tally) Starts() int64 {
	return t.starts
}

// Calls returns how many calls are over.
func (t *Tally) Calls() int64 {
	return t.calls
}

// CallTime returns the total time of the calls for steps of a value class.
func (t *Tally) CallTime(c worth.ValueClass) time.Duration {
	return t.callTime[c-worth.Overdue]
}

// CustomerCallTime returns the total time of the calls for a customer's steps.
func (t *Tally) CustomerCallTime(customer string) time.Duration {
	return t.callTimeByCustomer[customer]
}

// Metrics returns the totals by name, times in milliseconds.
func (t *Tally) Metrics() map[string]int64 {
	out := map[string]int64{
		"advice_calls_over": t.calls, "advice_calls_failed": t.failed, "advice_starts": t.starts, "advice_ms_starving": t.delayedCallTime.Milliseconds(),
	}
	for outcome, n := range t.tickets {
		out["advice_tickets_"+ticketOutcomeNames[outcome]] = n
	}
	for class, spent := range t.callTime {
		out["advice_ms_"+valueClassNames[class]] = spent.Milliseconds()
	}
	return out
}
