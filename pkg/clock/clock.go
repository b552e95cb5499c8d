package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of a Clock in milliseconds since an arbitrary origin.
type Time int64

// Add returns the time d later; parts of a millisecond are cut off.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d.Milliseconds())
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t-u) * time.Millisecond
}

// Clock reads two clocks. Both functions are safe for concurrent use.
type Clock struct {
	// Now reads the clock by which leases are judged. It never steps back.
	Now func() Time
	// Wall reads the time of day, for callers' deadlines and for logs only.
	Wall func() time.Time
}

// System returns the clock of the host. Now is CLOCK_BOOTTIME: unlike the runtime's
// monotonic clock it also counts the time in which the host was suspended, so that a
// process that is resumed sees its leases as lapsed.
func System() Clock {
	return Clock{Now: bootTime, Wall: time.Now}
}

// bootTime falls back to the runtime's monotonic clock where the kernel has no boot time.
func bootTime() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart).Milliseconds())
	}
	return Time(time.Duration(ts.Nano()).Milliseconds())
}

var processStart = time.Now()
