package clock

import (
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// CLOCK_MONOTONIC stops while a host is suspended. If it determined the expiry of leases, a resumed host
// would consider its leases valid although another host has taken over meanwhile. On a host that was never
// suspended both clocks show the same time, so the reading is compared with both.
func TestClockCountsSuspendedTime(t *testing.T) {
	g := NewWithT(t)
	read := func(id int32) int64 {
		var ts unix.Timespec
		g.Expect(unix.ClockGettime(id, &ts)).To(Succeed())
		return ts.Nano() / 1e6
	}
	before := read(unix.CLOCK_BOOTTIME)
	now := int64(System().Now())
	g.Expect(now).To(And(BeNumerically(">=", before), BeNumerically("<=", read(unix.CLOCK_BOOTTIME))))
	if suspended := before - read(unix.CLOCK_MONOTONIC); suspended > 1000 {
		g.Expect(now).To(BeNumerically(">", read(unix.CLOCK_MONOTONIC)))
	}
}
