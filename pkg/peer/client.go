package peer

import (
	"context"
	"net/netip"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dialer"
	"foldarch.dev/foldarch/pkg/members"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	poolCapacity    = 256
	poolKeyCapacity = 64
	poolExpiration  = 30 * time.Second
)

// Client calls peers. It is safe for concurrent use.
type Client struct {
	dialer *dialer.Dialer
	pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client without connections.
func NewClient(d *dialer.Dialer) *Client {
	return &Client{dialer: d, pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Capacity: poolCapacity, KeyCapacity: poolKeyCapacity, Expiration: poolExpiration,
	})}
}

// Close closes all connections.
func (c *Client) Close() {
	_ = c.pool.Close()
}

func (c *Client) peer(ctx context.Context, address netip.AddrPort) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(ctx, address,
		func(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
			conn, err := c.dialer.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return drpcconn.New(conn), nil
		}))
}

// Beat exchanges with a peer what each knows of itself.
func (c *Client) Beat(ctx context.Context, address netip.AddrPort, self members.Member) (members.Member, error) {
	got, err := c.peer(ctx, address).Beat(ctx, wireMember(self))
	if err != nil {
		return members.Member{}, errors.Wrapf(err, "beat to %s", address)
	}
	return memberOf(got)
}

// Ask asks a successor for a grant.
func (c *Client) Ask(ctx context.Context, address netip.AddrPort, shard cell.ShardID, ask ownership.Ask) (ownership.Reply, error) {
	request := &peerpb.GrantRequest{
		Shard: shard.String(), Epoch: int64(ask.Epoch), OwnerIncarnation: ask.Owner.Incarnation,
		Revision: ask.Revision, Echo: ask.Echo,
	}
	if ask.Echo == 0 {
		request.Record = ask.Record.String()
	}
	got, err := c.peer(ctx, address).Grant(ctx, request)
	if err != nil {
		return ownership.Reply{}, errors.Wrapf(err, "ask %s for a grant", address)
	}
	return ownership.Reply{Granted: got.Granted, Clock: got.Clock}, nil
}

// Forward hands a request to the owner of a shard.
func (c *Client) Forward(ctx context.Context, address netip.AddrPort, r Request) (Answer, error) {
	got, err := c.peer(ctx, address).Forward(ctx, wireRequest(r))
	if err != nil {
		return Answer{}, errors.Wrapf(err, "forward to %s", address)
	}
	return answerOf(got), nil
}

// Settings fetches the settings that a peer has in force.
func (c *Client) Settings(ctx context.Context, address netip.AddrPort) (revision int64, docs map[string]string, err error) {
	got, err := c.peer(ctx, address).Settings(ctx, &peerpb.SettingsRequest{})
	if err != nil {
		return 0, nil, errors.Wrapf(err, "settings of %s", address)
	}
	return got.Revision, got.Documents, nil
}

// millis is for the wire.
func millis(d time.Duration) int64 {
	return d.Milliseconds()
}
