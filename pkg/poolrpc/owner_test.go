package poolrpc

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	. "github.com/onsi/gomega"
)

// Guards against a heartbeat that reads the name of a member while it is being set: half a string ended the process.
func TestMemberJoinsBesideHeartbeats(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var joined atomic.Int64
	h := OwnerHandlers{
		Joined: func(*Session) { joined.Add(1) }, Left: func(*Session) {},
		Status: func(s *Session) *poolpb.OwnerStatus {
			return &poolpb.OwnerStatus{Yield: s.Name(), HeartbeatMs: 1}
		},
	}
	go func() { _ = Serve(ctx, l, func() (OwnerHandlers, bool) { return h, true }, clock.System()) }()
	const members = 20
	for n := range members {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		m := NewMember(MemberHandlers{
			Status:      func() *poolpb.MemberStatus { return &poolpb.MemberStatus{Name: fmt.Sprintf("member-%d", n)} },
			OwnerStatus: func(*poolpb.OwnerStatus) {},
		}, clock.System())
		go func() { _ = m.Run(ctx, c) }()
	}
	g.Eventually(joined.Load, "10s").Should(BeEquivalentTo(members))
}
