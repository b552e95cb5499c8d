// Package clock is the one notion of time that decisions use: milliseconds on a clock
// that never steps back and that goes on while the process or its host is suspended.
//
// Leases and grants are judged on this clock and never on the time of day, because the
// time of day can be set. The origin is arbitrary, so a Time means nothing to another
// process; between processes only durations travel.
//
// # Usage
//
//	c := clock.System()
//	sent := c.Now()
//	// … ask for a grant of 1200 ms …
//	validUntil := sent.Add(1200 * time.Millisecond)
//	if c.Now() >= validUntil {
//		// no authority any more
//	}
//
// Tests build a Clock from a function of their own and move it by hand:
//
//	var now clock.Time
//	c := clock.Clock{Now: func() clock.Time { return now }}
package clock
