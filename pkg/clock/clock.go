package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a time of a Clock, in milliseconds since an arbitrary origin.
type Time int64

// Add returns the time d later. d is truncated to whole milliseconds.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d.Milliseconds())
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t-u) * time.Millisecond
}

// Clock provides a monotonic clock and the time of day. Both functions must be safe for concurrent use.
type Clock struct {
	// Now reads the clock that determines the expiry of leases. It never steps back.
	Now func() Time
	// Wall reads the time of day. It is used only for callers' deadlines and for logs.
	Wall func() time.Time
}

// System returns the clock of the host. Now reads CLOCK_BOOTTIME, which unlike the monotonic clock of the
// Go runtime includes the time for which the host was suspended. After a resume, a process therefore sees
// that its leases have expired.
func System() Clock {
	return Clock{Now: bootTime, Wall: time.Now}
}

// bootTime reads CLOCK_BOOTTIME, or the monotonic clock of the Go runtime if the kernel doesn't support
// that.
func bootTime() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart).Milliseconds())
	}
	return Time(time.Duration(ts.Nano()).Milliseconds())
}

var processStart = time.Now()
