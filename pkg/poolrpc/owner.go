package poolrpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// OwnerHandlers are the functions with which the owner handles messages of members.
type OwnerHandlers struct {
	// Joined is called at a member's first status, and Left at the end of its stream.
	Joined    func(*Session)
	Left      func(*Session)
	Accepted  func(*poolpb.Accepted)
	Cancelled func(*poolpb.Cancelled)
	Answer    func(*poolpb.Question) *poolpb.Answer
	Advice    func(*poolpb.AdviceResult)
	// Results handles the workers' answers to orders that the member made the calls for.
	Results func(*Session, *poolpb.Results)
	// Write writes a key to the store. Each call has its own goroutine.
	Write func(*poolpb.Write) *poolpb.Answer
	// Status returns the owner's heartbeat message for a member.
	Status func(*Session) *poolpb.OwnerStatus
	// Done is closed when the ownership ends.
	Done <-chan struct{}
}

// Session is the owner's side of a member's stream.
type Session struct {
	name        atomic.Pointer[string] // nil before the first status
	status      atomic.Pointer[poolpb.MemberStatus]
	outbox      chan *poolpb.OwnerMessage
	lastHeardAt atomic.Int64
	statusAt    atomic.Int64 // when the member last sent its status
}

// NewSession returns the owner's side of a stream that begins.
func NewSession(now clock.Time) *Session {
	s := &Session{outbox: make(chan *poolpb.OwnerMessage, outboxSize)}
	s.lastHeardAt.Store(int64(now))
	return s
}

// Name returns the name of the member, which its first status has told; empty before that.
func (s *Session) Name() string {
	if name := s.name.Load(); name != nil {
		return *name
	}
	return ""
}

// SetName records the name of the member.
func (s *Session) SetName(name string) {
	s.name.Store(&name)
}

// SetStatus records a status that the member has sent.
func (s *Session) SetStatus(status *poolpb.MemberStatus, now clock.Time) {
	s.status.Store(status)
	s.statusAt.Store(int64(now))
}

// StatusAge returns the time since the member last sent its status.
func (s *Session) StatusAge(now clock.Time) time.Duration {
	return now.Sub(s.StatusAt())
}

// StatusAt returns when the member last sent its status.
func (s *Session) StatusAt() clock.Time {
	return clock.Time(s.statusAt.Load())
}

// HeartbeatInterval returns the time between two heartbeats of the member, according to its last status.
func (s *Session) HeartbeatInterval() time.Duration {
	return heartbeatInterval(s.Status().GetHeartbeatMs())
}

// Status returns the last status of the member.
func (s *Session) Status() *poolpb.MemberStatus {
	return s.status.Load()
}

// Send adds a message to the session's outbox; it returns false when the outbox is full.
func (s *Session) Send(msg *poolpb.OwnerMessage) bool {
	select {
	case s.outbox <- msg:
		return true
	default:
		return false
	}
}

// Serve serves the streams of members on l until ctx ends. owner returns the owner's handlers, or false
// when this host is not the owner.
func Serve(ctx context.Context, l net.Listener, owner func() (OwnerHandlers, bool), clk clock.Clock) error {
	mux := drpcmux.New()
	if err := poolpb.DRPCRegisterPool(mux, &server{owner, clk}); err != nil {
		return errors.Wrap(err, "register pool service")
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
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() {
		sendAll(ctx, session.outbox, stream.Send)
		_ = stream.Close()
	})
	group.Go(func() { s.runHeartbeats(ctx, cancel, session, h) })
	defer func() {
		if session.Name() != "" {
			h.Left(session)
		}
	}()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return errors.Wrap(err, "receive from member")
		}
		now := s.clk.Now()
		session.lastHeardAt.Store(int64(now))
		if session.Name() == "" {
			clientlimit.Establish(ctx)
		}
		clientlimit.Received(ctx)
		session.handle(msg, now, h)
	}
}

// runHeartbeats sends heartbeats. It cancels the stream when the member has been silent for too long, or
// when the ownership ends.
func (s *server) runHeartbeats(ctx context.Context, cancel context.CancelFunc, session *Session, h OwnerHandlers) {
	for ctx.Err() == nil {
		status := h.Status(session)
		session.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Status{Status: status}})
		timer := time.NewTimer(heartbeatInterval(status.HeartbeatMs))
		select {
		case <-timer.C:
		case <-h.Done:
			cancel()
		case <-ctx.Done():
		}
		timer.Stop()
		if s.clk.Now().Sub(clock.Time(session.lastHeardAt.Load())) > silenceLimit(session.HeartbeatInterval()) {
			cancel()
			return
		}
	}
}

func (s *Session) handle(msg *poolpb.MemberMessage, now clock.Time, h OwnerHandlers) {
	switch c := msg.Content.(type) {
	case *poolpb.MemberMessage_Status:
		s.SetStatus(c.Status, now)
		if s.Name() == "" {
			s.SetName(c.Status.Name)
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
