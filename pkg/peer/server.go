package peer

import (
	"context"
	"net"
	"sync/atomic"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/members"
	"foldarch.dev/foldarch/pkg/ownership"
	"foldarch.dev/foldarch/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// Handlers are the functions that answer the calls of peers, one for each call of Client.
type Handlers struct {
	Heartbeat func(members.Member) members.Member
	Grant     func(cell.ShardID, ownership.GrantRequest) ownership.GrantReply
	Forward   func(context.Context, Request) Answer
	Settings  func() (revision int64, docs map[string]string)
	// InFlight, if not nil, is the number of calls whose answer has not been written yet.
	InFlight *atomic.Int64
}

// Serve answers the calls that arrive at l until ctx ends.
func Serve(ctx context.Context, l net.Listener, h Handlers) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{h}); err != nil {
		return errors.Wrap(err, "peer server")
	}
	return drpcserver.New(countingHandler{mux, h.InFlight}).Serve(ctx, l)
}

// countingHandler counts the calls in flight, including the write of their answers.
type countingHandler struct {
	drpc.Handler
	inFlight *atomic.Int64
}

// HandleRPC implements drpc.Handler.
func (h countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	if h.inFlight != nil {
		h.inFlight.Add(1)
		defer h.inFlight.Add(-1)
	}
	return h.Handler.HandleRPC(stream, rpc)
}

// server implements the generated server interface on top of Handlers. A call that has arrived whole establishes its
// connection for the limits of clients.
type server struct {
	handlers Handlers
}

// Beat answers a heartbeat with this process's description of itself.
func (s *server) Beat(ctx context.Context, w *peerpb.Member) (*peerpb.Member, error) {
	clientlimit.Establish(ctx)
	m, err := decodeMember(w)
	if err != nil {
		return nil, err
	}
	return encodeMember(s.handlers.Heartbeat(m)), nil
}

// Grant answers an owner's request for a grant.
func (s *server) Grant(ctx context.Context, w *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	clientlimit.Establish(ctx)
	shard, err := cell.ParseShardID(w.Shard)
	if err != nil {
		return nil, err
	}
	request := ownership.GrantRequest{
		Epoch: cell.Epoch(w.Epoch), Owner: ownership.Holder{Incarnation: w.OwnerIncarnation},
		Revision: w.Revision, Echo: w.Echo,
	}
	if w.Record != "" {
		if request.Record, err = ownership.ParseRecord(w.Record); err != nil {
			return nil, err
		}
	}
	reply := s.handlers.Grant(shard, request)
	return &peerpb.GrantReply{Granted: reply.Granted, Clock: reply.Clock}, nil
}

// Forward answers a request to the owner of a shard.
func (s *server) Forward(ctx context.Context, w *peerpb.Request) (*peerpb.Answer, error) {
	clientlimit.Establish(ctx)
	r, err := decodeRequest(w)
	if err != nil {
		return nil, err
	}
	return encodeAnswer(s.handlers.Forward(ctx, r)), nil
}

// Settings returns the settings in force.
func (s *server) Settings(ctx context.Context, _ *peerpb.SettingsRequest) (*peerpb.SettingsReply, error) {
	clientlimit.Establish(ctx)
	revision, docs := s.handlers.Settings()
	return &peerpb.SettingsReply{Revision: revision, Documents: docs}, nil
}
