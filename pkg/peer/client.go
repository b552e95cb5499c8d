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

// Client calls peers over pooled connections. It is safe for concurrent use.
type Client struct {
	dialer *dialer.Dialer
	pool   *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// NewClient returns a client that opens its connections with d when they are needed.
func NewClient(d *dialer.Dialer) *Client {
	return &Client{dialer: d, pool: drpcpool.New[netip.AddrPort, drpcpool.Conn](drpcpool.Options{
		Capacity: poolCapacity, KeyCapacity: poolKeyCapacity, Expiration: poolExpiration,
	})}
}

// Close closes all pooled connections.
func (c *Client) Close() {
	_ = c.pool.Close()
}

// rpcClient returns a client of the peer at an address. Its calls take their connection from
// the pool or open a new one.
func (c *Client) rpcClient(ctx context.Context, address netip.AddrPort) peerpb.DRPCPeerClient {
	return peerpb.NewDRPCPeerClient(c.pool.Get(ctx, address,
		func(ctx context.Context, address netip.AddrPort) (drpcpool.Conn, error) {
			conn, err := c.dialer.Dial(ctx, address)
			if err != nil {
				return nil, err
			}
			return drpcconn.New(conn), nil
		}))
}

// Heartbeat sends this process's description of itself to a peer and returns the peer's.
func (c *Client) Heartbeat(ctx context.Context, address netip.AddrPort, self members.Member) (members.Member, error) {
	got, err := c.rpcClient(ctx, address).Beat(ctx, encodeMember(self))
	if err != nil {
		return members.Member{}, errors.Wrapf(err, "heartbeat to %s", address)
	}
	return decodeMember(got)
}

// RequestGrant asks the successor of a shard for a grant. The record is sent only until the
// successor has answered once, which a non-zero Echo shows.
func (c *Client) RequestGrant(ctx context.Context, address netip.AddrPort, shard cell.ShardID, request ownership.GrantRequest) (ownership.GrantReply, error) {
	message := &peerpb.GrantRequest{
		Shard: shard.String(), Epoch: int64(request.Epoch), OwnerIncarnation: request.Owner.Incarnation,
		Revision: request.Revision, Echo: request.Echo,
	}
	if request.Echo == 0 {
		message.Record = request.Record.String()
	}
	got, err := c.rpcClient(ctx, address).Grant(ctx, message)
	if err != nil {
		return ownership.GrantReply{}, errors.Wrapf(err, "request a grant from %s", address)
	}
	return ownership.GrantReply{Granted: got.Granted, Clock: got.Clock}, nil
}

// Forward sends a request to the process that owns its shard and returns that process's answer.
func (c *Client) Forward(ctx context.Context, address netip.AddrPort, r Request) (Answer, error) {
	got, err := c.rpcClient(ctx, address).Forward(ctx, encodeRequest(r))
	if err != nil {
		return Answer{}, errors.Wrapf(err, "forward to %s", address)
	}
	return decodeAnswer(got), nil
}

// Settings fetches the settings that are in force at a peer.
func (c *Client) Settings(ctx context.Context, address netip.AddrPort) (revision int64, docs map[string]string, err error) {
	got, err := c.rpcClient(ctx, address).Settings(ctx, &peerpb.SettingsRequest{})
	if err != nil {
		return 0, nil, errors.Wrapf(err, "settings of %s", address)
	}
	return got.Revision, got.Documents, nil
}

// millis converts a duration to the unit of the messages.
func millis(d time.Duration) int64 {
	return d.Milliseconds()
}
