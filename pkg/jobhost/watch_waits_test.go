package jobhost

import (
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/platform"
	. "github.com/onsi/gomega"
)

// Guards against idle watches that load the store: 588 hosts made 75,000 of the 81,000 calls to the store
// on a quiet day by watching keys that did not change.
func TestOperatorWatchWaitFitsTheBound(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ apply, revoke, want time.Duration }{
		{1500 * time.Millisecond, 0, 750 * time.Millisecond},
		{2 * time.Second, 0, time.Second},
		{3 * time.Second, 0, time.Second},
		{4 * time.Second, 0, time.Second},
		{5 * time.Second, 0, 2 * time.Second},
		{20 * time.Second, 0, maxConfigWatchWait},
		{5 * time.Second, 2 * time.Second, time.Second},
	} {
		b := platform.Bounds{ConfigApply: c.apply, StrictRevocation: c.revoke > 0, RevocationLimit: c.revoke}
		g.Expect(operatorWatchWait(b)).To(Equal(c.want), "%v", c)
	}
}

func TestHostsWithSlowHeartbeatsWaitLongerOnOwnerWatches(t *testing.T) {
	g := NewWithT(t)
	h, _ := newTestHost(t, startPlatform(t))
	h.election.heartbeatInterval = poolrpc.SlowHeartbeatInterval
	g.Expect(h.nextOwnerWatchWait()).To(Equal(ownerWatchWait), "without a link to the owner")
	h.member.Store(&poolrpc.Member{})
	g.Expect(h.nextOwnerWatchWait()).To(Equal(longOwnerWatchWait))
	h.election.heartbeatInterval = poolrpc.HeartbeatInterval
	g.Expect(h.nextOwnerWatchWait()).To(Equal(ownerWatchWait), "usual heartbeats")
}
