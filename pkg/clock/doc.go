// Package clock provides the time on which all decisions are based: milliseconds on a clock that never
// steps back and that also advances while the process or its host is suspended.
//
// The expiry of leases and grants is determined by this clock and never by the time of day, because the
// time of day can be changed. The origin is arbitrary, so a Time is meaningless to other processes;
// processes exchange only durations.
//
// # Usage
//
//	c := clock.System()
//	sent := c.Now()
//	// … request a grant of 1200 ms …
//	validUntil := sent.Add(1200 * time.Millisecond)
//	if c.Now() >= validUntil {
//		// the grant has expired
//	}
//
// Tests create a Clock from their own function and advance it explicitly:
//
//	var now clock.Time
//	c := clock.Clock{Now: func() clock.Time { return now }}
package clock
