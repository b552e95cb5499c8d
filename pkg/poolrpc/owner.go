package poolrpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// OwnerHandlers are what the owner does with what members say.
type OwnerHandlers struct {
	// Joined is told of a member's first status, Left of the end of its stream.
	Joined    func(*Session)
	Left      func(*Session)
	Accepted  func(*poolpb.Accepted)
	Cancelled func(*poolpb.Cancelled)
	Answer    func(*poolpb.Question) *poolpb.Answer
	Advice    func(*poolpb.AdviceResult)
	// Results takes in how workers answered orders that the member made calls for.
	Results func(*Session, *poolpb.Results)
	// Write puts a key into the store; it is called in a goroutine of its own.
	Write func(*poolpb.Write) *poolpb.Answer
	// Status returns the owner's heartbeat for a member.
	Status func(*Session) *poolpb.OwnerStatus
	// Done ends with the ownership.
	Done <-chan struct{}
}

// Session is the owner's side of a member's stream.
type Session struct {
	Name    string
	status  atomic.Pointer[poolpb.MemberStatus]
	outbox  chan *poolpb.OwnerMessage
	heardAt atomic.Int64
	toldAt  atomic.Int64 // when the member told its status last
}

// NewSession returns the owner's side of a stream that begins.
func NewSession(now clock.Time) *Session {
	s := &Session{outbox: make(chan *poolpb.OwnerMessage, outboxSize)}
	s.heardAt.Store(int64(now))
	return s
}

// PutStatus takes in what the member says of itself.
func (s *Session) PutStatus(status *poolpb.MemberStatus, now clock.Time) {
	s.status.Store(status)
	s.toldAt.Store(int64(now))
}

// StatusAge is how long ago the member told its status.
func (s *Session) StatusAge(now clock.Time) time.Duration {
	return now.Sub(s.StatusAt())
}

// StatusAt is when the member told its status.
func (s *Session) StatusAt() clock.Time {
	return clock.Time(s.toldAt.Load())
}

// Heartbeat is the time between two heartbeats of the member, as it said last.
func (s *Session) Heartbeat() time.Duration {
	return heartbeatOf(s.Status().GetHeartbeatMs())
}

// Status is what the member said of itself last.
func (s *Session) Status() *poolpb.MemberStatus {
	return s.status.Load()
}

// Send puts a message into the session's outbox; it says whether there was room.
func (s *Session) Send(msg *poolpb.OwnerMessage) bool {
	select {
	case s.outbox <- msg:
		return true
	default:
		return false
	}
}

// Serve answers other hosts until ctx ends. owner returns what the owner does, or false when
// this host is not the owner.
func Serve(ctx context.Context, l net.Listener, owner func() (OwnerHandlers, bool), clk clock.Clock) error {
	mux := drpcmux.New()
	if err := poolpb.DRPCRegisterPool(mux, &server{owner, clk}); err != nil {
		return errors.Wrap(err, "pool server")
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

type server struct {
	owner func() (OwnerHandlers, bool)
	clk   clock.Clock
}

// Join serves the stream of one member.
func (s *server) Join(stream poolpb.DRPCPool_JoinStream) error {
	h, ok := s.owner()
	if !ok {
		return errors.New("this host is not the owner")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	session := NewSession(s.clk.Now())
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	duties.Go(func() {
		sendAll(ctx, session.outbox, stream.Send)
		_ = stream.Close()
	})
	duties.Go(func() { s.beat(ctx, cancel, session, h) })
	defer func() {
		if session.Name != "" {
			h.Left(session)
		}
	}()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "member's stream")
		}
		now := s.clk.Now()
		session.heardAt.Store(int64(now))
		session.take(msg, now, h)
	}
}

// beat is the duty that sends heartbeats and gives up a silent stream, or all when the ownership ends.
func (s *server) beat(ctx context.Context, cancel context.CancelFunc, session *Session, h OwnerHandlers) {
	for ctx.Err() == nil {
		status := h.Status(session)
		session.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Status{Status: status}})
		limit := time.NewTimer(heartbeatOf(status.HeartbeatMs))
		select {
		case <-limit.C:
		case <-h.Done:
			cancel()
		case <-ctx.Done():
		}
		limit.Stop()
		if s.clk.Now().Sub(clock.Time(session.heardAt.Load())) > silenceLimit(session.Heartbeat()) {
			cancel()
			return
		}
	}
}

func (s *Session) take(msg *poolpb.MemberMessage, now clock.Time, h OwnerHandlers) {
	switch c := msg.Content.(type) {
	case *poolpb.MemberMessage_Status:
		s.PutStatus(c.Status, now)
		if s.Name == "" {
			s.Name = c.Status.Name
			h.Joined(s)
		}
	case *poolpb.MemberMessage_Accepted:
		h.Accepted(c.Accepted)
	case *poolpb.MemberMessage_Cancelled:
		h.Cancelled(c.Cancelled)
	case *poolpb.MemberMessage_Question:
		s.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Answer{Answer: h.Answer(c.Question)}})
	case *poolpb.MemberMessage_Advice:
		h.Advice(c.Advice)
	case *poolpb.MemberMessage_Results:
		h.Results(s, c.Results)
	case *poolpb.MemberMessage_Write:
		go func() {
			s.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Answer{Answer: h.Write(c.Write)}})
		}()
	}
}
