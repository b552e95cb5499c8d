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

// handlers answer the calls of peers.
func (p *Process) handlers() peer.Handlers {
	return peer.Handlers{
		Beat: func(m members.Member) members.Member {
			p.heard(m)
			return p.describe()
		},
		Grant: func(id cell.ShardID, ask ownership.Ask) ownership.Reply {
			if k := p.keeper.Load(); k != nil {
				return k.Grant(id, ask)
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

// exchangeBeats is the duty that keeps the table of members.
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

// fetchSettings takes the settings of a peer that has newer ones in force, which matters
// when the store can't be reached from here.
func (p *Process) fetchSettings(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, 2*beatTimeout)
	defer cancel()
	revision, docs, err := p.peers.Settings(ctx, address)
	if err == nil && revision > 0 {
		p.putSettings(revision, docs, "peer "+address.String())
	}
}

// describe is what this process tells of itself.
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

func (p *Process) newKeeper(own []cell.ShardID) *ownership.Keeper {
	return ownership.NewKeeper(p.holder(), own, ownership.DefaultTerms, ownership.Deps{
		Clock: p.clk,
		Swap:  p.swapRecord,
		Read:  p.readRecord,
		Ask: func(ctx context.Context, successor ownership.Holder, id cell.ShardID, ask ownership.Ask) (ownership.Reply, error) {
			return p.peers.Ask(ctx, successor.Address, id, ask)
		},
		Ended:   p.ended,
		Peers:   p.hallPeers,
		StoreUp: p.storeUp,
		Log:     p.log,
	})
}

// hallPeers lists the processes that may become a successor.
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

// ended looks for proof that a process has ended: its host answers that nothing listens
// on the port, or another incarnation answers there. A host that does not answer at all
// proves nothing.
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
