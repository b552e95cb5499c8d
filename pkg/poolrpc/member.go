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
	"storj.io/drpc/drpcconn"
)

const (
	// HeartbeatEvery is the usual time between two heartbeats of either side.
	HeartbeatEvery = 250 * time.Millisecond
	// SlowHeartbeat is the time between two on streams on which silence may be found out later.
	SlowHeartbeat = time.Second
	// A side gives a stream up that has been silent for silenceBeats heartbeats and silenceSlack.
	silenceBeats = 3
	silenceSlack = 150 * time.Millisecond
	// outboxSize bounds the messages that wait to be sent.
	outboxSize = 1024
)

// ErrNoLink says that there is no stream to the owner, or that it broke.
var ErrNoLink = errors.New("no link to the owner")

// ErrNotSent says that a message was not even put on its way.
var ErrNotSent = errors.New("not sent to the owner")

// MemberHandlers are what a member does.
type MemberHandlers struct {
	// Status describes this host.
	Status func() *poolpb.MemberStatus
	// OwnerStatus takes in a heartbeat of the owner.
	OwnerStatus func(*poolpb.OwnerStatus)
	// Advise makes a call for advice; it is called in a goroutine of its own.
	Advise func(context.Context, *poolpb.AdviceCall) *poolpb.AdviceResult
	// Orders makes calls to workers for the owner; it must not block.
	Orders func(context.Context, *poolpb.Orders)
}

// Member is a host's side of its stream to the owner.
type Member struct {
	handlers MemberHandlers
	clk      clock.Clock
	outbox   chan *poolpb.MemberMessage
	heardAt  atomic.Int64
	beatMs   atomic.Int64 // between two heartbeats, as the owner told
	number   atomic.Int64

	mu      sync.Mutex
	waiting map[int64]chan *poolpb.Answer
	closed  bool
}

// NewMember returns the side of a member before it has a connection.
func NewMember(h MemberHandlers, clk clock.Clock) *Member {
	m := &Member{
		handlers: h, clk: clk, outbox: make(chan *poolpb.MemberMessage, outboxSize),
		waiting: map[int64]chan *poolpb.Answer{},
	}
	m.heardAt.Store(int64(clk.Now()))
	return m
}

// Heartbeat is the time between two heartbeats on the stream, as the owner told.
func (m *Member) Heartbeat() time.Duration {
	return heartbeatOf(m.beatMs.Load())
}

// heartbeatOf reads the time between two heartbeats from a message, in milliseconds.
func heartbeatOf(ms int64) time.Duration {
	if ms <= 0 {
		return HeartbeatEvery
	}
	return time.Duration(ms) * time.Millisecond
}

// silenceLimit is how long a side waits for a heartbeat that should come each so often.
func silenceLimit(heartbeat time.Duration) time.Duration {
	return silenceBeats*heartbeat + silenceSlack
}

// HeardAt is when the owner was heard last.
func (m *Member) HeardAt() clock.Time {
	return clock.Time(m.heardAt.Load())
}

// Run keeps the stream over a connection until it ends or the owner falls silent.
func (m *Member) Run(ctx context.Context, conn net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer m.close()
	c := drpcconn.New(conn)
	defer func() { _ = c.Close() }()
	stream, err := poolpb.NewDRPCPoolClient(c).Join(ctx)
	if err != nil {
		return errors.Mark(err, ErrNoLink)
	}
	var duties sync.WaitGroup
	defer duties.Wait()
	defer cancel()
	duties.Go(func() {
		defer cancel()
		sendAll(ctx, m.outbox, stream.Send)
	})
	duties.Go(func() { m.beat(ctx, cancel) })
	m.sendStatus()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return errors.Mark(err, ErrNoLink)
		}
		m.heardAt.Store(int64(m.clk.Now()))
		m.take(ctx, msg)
	}
}

// sendAll sends what comes out of a ring until ctx ends or the stream breaks.
func sendAll[M any](ctx context.Context, outbox <-chan M, send func(M) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-outbox:
			if send(msg) != nil {
				return
			}
		}
	}
}

// beat is the duty that sends heartbeats and gives up a silent stream.
func (m *Member) beat(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, m.Heartbeat())
		if m.clk.Now().Sub(m.HeardAt()) > silenceLimit(m.Heartbeat()) {
			cancel()
			return
		}
		m.sendStatus()
	}
}

func (m *Member) sendStatus() {
	status := m.handlers.Status()
	status.HeartbeatMs = m.Heartbeat().Milliseconds()
	m.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Status{Status: status}})
}

func (m *Member) take(ctx context.Context, msg *poolpb.OwnerMessage) {
	switch c := msg.Content.(type) {
	case *poolpb.OwnerMessage_Status:
		m.beatMs.Store(c.Status.HeartbeatMs)
		m.handlers.OwnerStatus(c.Status)
	case *poolpb.OwnerMessage_Answer:
		m.mu.Lock()
		ch := m.waiting[c.Answer.Number]
		delete(m.waiting, c.Answer.Number)
		m.mu.Unlock()
		if ch != nil {
			ch <- c.Answer
		}
	case *poolpb.OwnerMessage_Orders:
		m.handlers.Orders(ctx, c.Orders)
	case *poolpb.OwnerMessage_Advice:
		go func() {
			result := m.handlers.Advise(ctx, c.Advice)
			m.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Advice{Advice: result}})
		}()
	}
}

// Send puts a message into the outbox; it says whether there was room.
func (m *Member) Send(msg *poolpb.MemberMessage) bool {
	select {
	case m.outbox <- msg:
		return true
	default:
		return false
	}
}

// Accepted tells the owner of an accepted job. It may get lost.
func (m *Member) Accepted(id string, record []byte) {
	m.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Accepted{Accepted: &poolpb.Accepted{Id: id, Record: record}}})
}

// Cancelled tells the owner of a cancelled job. It may get lost.
func (m *Member) Cancelled(id string) {
	m.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Cancelled{Cancelled: &poolpb.Cancelled{Id: id}}})
}

// Ask asks the owner and waits for its answer.
func (m *Member) Ask(ctx context.Context, q *poolpb.Question) (*poolpb.Answer, error) {
	return m.exchange(ctx, func(number int64) *poolpb.MemberMessage {
		q.Number = number
		return &poolpb.MemberMessage{Content: &poolpb.MemberMessage_Question{Question: q}}
	})
}

// Write has the owner put a key into the store and waits for its answer. After an error it
// is not known whether the key was written, unless the error is ErrNotSent.
func (m *Member) Write(ctx context.Context, key string, value []byte, left time.Duration) (*poolpb.Answer, error) {
	return m.exchange(ctx, func(number int64) *poolpb.MemberMessage {
		return &poolpb.MemberMessage{Content: &poolpb.MemberMessage_Write{
			Write: &poolpb.Write{Number: number, Key: key, Value: value, LeftMs: left.Milliseconds()},
		}}
	})
}

// exchange sends a message with a number of its own and waits for the answer to it.
func (m *Member) exchange(ctx context.Context, message func(number int64) *poolpb.MemberMessage) (*poolpb.Answer, error) {
	number := m.number.Add(1)
	ch := make(chan *poolpb.Answer, 1)
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, ErrNotSent
	}
	m.waiting[number] = ch
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.waiting, number)
		m.mu.Unlock()
	}()
	if !m.Send(message(number)) {
		return nil, ErrNotSent
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return nil, ErrNoLink
		}
		return a, nil
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrNoLink)
	}
}

// close lets all that wait for an answer know that there will be none.
func (m *Member) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for n, ch := range m.waiting {
		close(ch)
		delete(m.waiting, n)
	}
}
