package entry

import (
	"context"
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/members"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/peer"
)

const (
	heartbeatTick    = 100 * time.Millisecond
	heartbeatTimeout = 600 * time.Millisecond
)

// peerHandlers returns the functions that answer the calls of peers.
func (p *Process) peerHandlers() peer.Handlers {
	return peer.Handlers{
		InFlight: &p.peerCalls,
		Heartbeat: func(m members.Member) members.Member {
			p.updateMember(m)
			return p.describeSelf()
		},
		Grant: func(id cell.ShardID, request ownership.GrantRequest) ownership.GrantReply {
			if c := p.controller.Load(); c != nil {
				return c.Grant(id, request)
			}
			return ownership.GrantReply{}
		},
		Forward: p.handleForward,
		Settings: func() (int64, map[string]string) {
			revision, docs, _ := p.settings.current()
			return revision, docs
		},
	}
}

// exchangeHeartbeats sends the heartbeats that are due, until ctx ends.
func (p *Process) exchangeHeartbeats(ctx context.Context) {
	clock.Every(ctx, heartbeatTick, func() {
		p.mu.Lock()
		due := p.memberTable.DueHeartbeats(p.clk.Now())
		p.mu.Unlock()
		for _, address := range due {
			p.background.Go(func() { p.sendHeartbeat(ctx, address) })
		}
	})
}

// sendHeartbeat exchanges heartbeats with one peer, and fetches its settings if they are newer
// than those in force here.
func (p *Process) sendHeartbeat(ctx context.Context, address netip.AddrPort) {
	heartbeatCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	m, err := p.peers.Heartbeat(heartbeatCtx, address, p.describeSelf())
	if err != nil {
		return
	}
	p.updateMember(m)
	if current, _, _ := p.settings.current(); m.Revision > current {
		p.fetchSettings(ctx, address)
	}
}

func (p *Process) updateMember(m members.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.memberTable.Update(m, p.clk.Now())
}

// fetchSettings applies the settings that are in force at a peer. This brings new settings to
// a process that can't reach the store.
func (p *Process) fetchSettings(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatTimeout)
	defer cancel()
	revision, docs, err := p.peers.Settings(ctx, address)
	if err == nil && revision > 0 {
		p.applySettings(revision, docs, "peer "+address.String())
	}
}

// describeSelf returns the current description of this process for its heartbeats.
func (p *Process) describeSelf() members.Member {
	m := p.self
	m.Revision, _, _ = p.settings.current()
	m.Draining = p.draining.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.engines {
		m.Owned = append(m.Owned, members.OwnedShard{Shard: id, Epoch: e.epoch, Loads: e.engine.Loads()})
	}
	return m
}

// newController returns the controller of the given shards, which are those of the own hall.
func (p *Process) newController(own []cell.ShardID) *ownership.Controller {
	return ownership.NewController(p.selfHolder(), own, ownership.DefaultTiming, ownership.Deps{
		Clock: p.clk,
		Swap:  p.swapRecord,
		Read:  p.readRecord,
		RequestGrant: func(ctx context.Context, successor ownership.Holder, id cell.ShardID, request ownership.GrantRequest) (ownership.GrantReply, error) {
			return p.peers.RequestGrant(ctx, successor.Address, id, request)
		},
		HasEnded: p.hasEnded,
		Peers:    p.successorCandidates,
		StoreUp:  p.storeUp,
		Log:      p.log,
	})
}

// successorCandidates lists the processes that may become the successor of a shard: those of the
// own hall that are alive and not leaving.
func (p *Process) successorCandidates() []ownership.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []ownership.Peer
	for _, m := range p.memberTable.Alive(p.cfg.Hall, p.clk.Now()) {
		if !m.Draining {
			peers = append(peers, ownership.Peer{Holder: memberHolder(m), LastHeard: m.LastHeard})
		}
	}
	return peers
}

// hasEnded reports whether there is proof that a process has ended: its host refuses
// connections to its port, or another incarnation answers there. If the host does not answer
// at all, there is no proof.
func (p *Process) hasEnded(ctx context.Context, h ownership.Holder) bool {
	if h.Incarnation == p.self.Incarnation {
		return false
	}
	if h.Address == p.self.Address {
		return true // this process has the port now
	}
	conn, err := p.dialer.Dial(ctx, h.Address)
	if err != nil {
		return dialer.ConnectionRefused(err)
	}
	_ = conn.Close()
	m, err := p.peers.Heartbeat(ctx, h.Address, p.describeSelf())
	return err == nil && m.Incarnation != h.Incarnation
}
