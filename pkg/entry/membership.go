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
	beatTick    = 100 * time.Millisecond
	beatTimeout = 600 * time.Millisecond
)

// peerHandlers returns the functions that answer the calls of peers.
func (p *Process) handlers() peer.Handlers {
	return peer.Handlers{
		Beat: func(m members.Member) members.Member {
			p.heard(m)
			return p.describe()
		},
		Grant: func(id cell.ShardID, request ownership.Ask) ownership.Reply {
			if c := p.keeper.Load(); c != nil {
				return c.Grant(id, request)
			}
			return ownership.Reply{}
		},
		Forward: p.answerForward,
		Settings: func() (int64, map[string]string) {
			revision, docs, _ := p.settings.current()
			return revision, docs
		},
	}
}

// exchangeHeartbeats sends the heartbeats that are due, until ctx ends.
func (p *Process) exchangeBeats(ctx context.Context) {
	clock.Every(ctx, beatTick, func() {
		p.mu.Lock()
		due := p.table.Due(p.clk.Now())
		p.mu.Unlock()
		for _, address := range due {
			p.duties.Go(func() { p.beat(ctx, address) })
		}
	})
}

// sendHeartbeat exchanges heartbeats with one peer, and fetches its settings if they are newer
// than those in force here.
func (p *Process) beat(ctx context.Context, address netip.AddrPort) {
	beatCtx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	m, err := p.peers.Beat(beatCtx, address, p.describe())
	if err != nil {
		return
	}
	p.heard(m)
	if current, _, _ := p.settings.current(); m.Revision > current {
		p.fetchSettings(ctx, address)
	}
}

func (p *Process) heard(m members.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Heard(m, p.clk.Now())
}

// fetchSettings applies the settings that are in force at a peer. This brings new settings to
// a process that can't reach the store.
func (p *Process) fetchSettings(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, 2*beatTimeout)
	defer cancel()
	revision, docs, err := p.peers.Settings(ctx, address)
	if err == nil && revision > 0 {
		p.putSettings(revision, docs, "peer "+address.String())
	}
}

// describeSelf returns the current description of this process for its heartbeats.
func (p *Process) describe() members.Member {
	m := p.self
	m.Revision, _, _ = p.settings.current()
	m.Draining = p.draining.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.engines {
		m.Owned = append(m.Owned, members.Owned{Shard: id, Epoch: e.epoch, Loads: e.engine.Loads()})
	}
	return m
}

// newController returns the controller of the given shards, which are those of the own hall.
func (p *Process) newKeeper(own []cell.ShardID) *ownership.Keeper {
	return ownership.NewKeeper(p.holder(), own, ownership.DefaultTerms, ownership.Deps{
		Clock: p.clk,
		Swap:  p.swapRecord,
		Read:  p.readRecord,
		Ask: func(ctx context.Context, successor ownership.Holder, id cell.ShardID, request ownership.Ask) (ownership.Reply, error) {
			return p.peers.Ask(ctx, successor.Address, id, request)
		},
		Ended:   p.ended,
		Peers:   p.hallPeers,
		StoreUp: p.storeUp,
		Log:     p.log,
	})
}

// successorCandidates lists the processes that may become the successor of a shard: those of the
// own hall that are alive and not leaving.
func (p *Process) hallPeers() []ownership.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []ownership.Peer
	for _, m := range p.table.Alive(p.cfg.Hall, p.clk.Now()) {
		if !m.Draining {
			peers = append(peers, ownership.Peer{Holder: holderOf(m), Heard: m.Heard})
		}
	}
	return peers
}

// hasEnded reports whether there is proof that a process has ended: its host refuses
// connections to its port, or another incarnation answers there. If the host does not answer
// at all, there is no proof.
func (p *Process) ended(ctx context.Context, h ownership.Holder) bool {
	if h.Incarnation == p.self.Incarnation {
		return false
	}
	if h.Address == p.self.Address {
		return true // this process has the port now
	}
	conn, err := p.dialer.Dial(ctx, h.Address)
	if err != nil {
		return dialer.Refused(err)
	}
	_ = conn.Close()
	m, err := p.peers.Beat(ctx, h.Address, p.describe())
	return err == nil && m.Incarnation != h.Incarnation
}
