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
func TestWatchesOfTheOperatorsKeysLeaveTimeForTheirBound(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ apply, revoke, want time.Duration }{
		{1500 * time.Millisecond, 0, 750 * time.Millisecond},
		{2 * time.Second, 0, time.Second},
		{3 * time.Second, 0, time.Second},
		{4 * time.Second, 0, time.Second},
		{5 * time.Second, 0, 2 * time.Second},
		{20 * time.Second, 0, longConfigWait},
		{5 * time.Second, 2 * time.Second, time.Second},
	} {
		b := platform.Bounds{ConfigApply: c.apply, StrictKeys: c.revoke > 0, Revoke: c.revoke}
		g.Expect(operatorWait(b)).To(Equal(c.want), "%v", c)
	}
}

func TestHostsThatTakeOverLateWatchTheOwnersRecordLess(t *testing.T) {
	g := NewWithT(t)
	h, _ := newTestHost(t, startPlatform(t))
	h.election.heartbeat = poolrpc.SlowHeartbeat
	g.Expect(h.ownerWait()).To(Equal(ownerWait), "without a link to the owner")
	h.member.Store(&poolrpc.Member{})
	g.Expect(h.ownerWait()).To(Equal(longOwnerWait))
	h.election.heartbeat = poolrpc.HeartbeatEvery
	g.Expect(h.ownerWait()).To(Equal(ownerWait), "usual heartbeats")
}
