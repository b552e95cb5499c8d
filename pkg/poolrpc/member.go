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
	// HeartbeatInterval is the usual time between two heartbeats of each side.
	HeartbeatInterval = 250 * time.Millisecond
	// SlowHeartbeatInterval is the time between two heartbeats on streams whose silence may be detected
	// later.
	SlowHeartbeatInterval = time.Second
	// A side gives up a stream on which it has received nothing for maxMissedHeartbeats intervals and
	// silenceSlack.
	maxMissedHeartbeats = 3
	silenceSlack        = 150 * time.Millisecond
	// outboxSize is the maximum number of messages that wait to be sent.
	outboxSize = 1024
)

// ErrNoStream is returned when there is no stream to the owner, or when it broke.
var ErrNoStream = errors.New("no link to the owner")

// ErrNotSent is returned when a message was certainly not sent.
var ErrNotSent = errors.New("not sent to the owner")

// MemberHandlers are the functions with which a member handles messages of the owner.
type MemberHandlers struct {
	// Status returns the status of this host.
	Status func() *poolpb.MemberStatus
	// OwnerStatus handles a heartbeat of the owner.
	OwnerStatus func(*poolpb.OwnerStatus)
	// Advise makes an advice call. Each call of it has its own goroutine.
	Advise func(context.Context, *poolpb.AdviceCall) *poolpb.AdviceResult
	// Orders makes calls to workers for the owner. It must not block.
	Orders func(context.Context, *poolpb.Orders)
}

// Member is a host's side of its stream to the owner.
type Member struct {
	handlers    MemberHandlers
	clk         clock.Clock
	outbox      chan *poolpb.MemberMessage
	lastHeardAt atomic.Int64
	heartbeatMs atomic.Int64 // between two heartbeats, as set by the owner
	lastNumber  atomic.Int64

	mu             sync.Mutex
	pendingAnswers map[int64]chan *poolpb.Answer
	closed         bool
}

// NewMember returns a Member that has no connection yet.
func NewMember(h MemberHandlers, clk clock.Clock) *Member {
	m := &Member{
		handlers: h, clk: clk, outbox: make(chan *poolpb.MemberMessage, outboxSize),
		pendingAnswers: map[int64]chan *poolpb.Answer{},
	}
	m.lastHeardAt.Store(int64(clk.Now()))
	return m
}

// HeartbeatInterval returns the time between two heartbeats on the stream, as set by the owner.
func (m *Member) HeartbeatInterval() time.Duration {
	return heartbeatInterval(m.heartbeatMs.Load())
}

// heartbeatInterval returns the interval that a message gives in milliseconds; 0 stands for the usual
// one.
func heartbeatInterval(ms int64) time.Duration {
	if ms <= 0 {
		return HeartbeatInterval
	}
	return time.Duration(ms) * time.Millisecond
}

// silenceLimit returns how long a side waits for the other side's next message, given the heartbeat
// interval.
func silenceLimit(heartbeat time.Duration) time.Duration {
	return maxMissedHeartbeats*heartbeat + silenceSlack
}

// LastHeardAt returns when the last message of the owner arrived.
func (m *Member) LastHeardAt() clock.Time {
	return clock.Time(m.lastHeardAt.Load())
}

// Run operates the stream over a connection until it ends or the owner falls silent.
func (m *Member) Run(ctx context.Context, conn net.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer m.close()
	c := drpcconn.New(conn)
	defer func() { _ = c.Close() }()
	stream, err := poolpb.NewDRPCPoolClient(c).Join(ctx)
	if err != nil {
		return errors.Mark(err, ErrNoStream)
	}
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() {
		defer cancel()
		sendAll(ctx, m.outbox, stream.Send)
	})
	group.Go(func() { m.runHeartbeats(ctx, cancel) })
	m.sendStatus()
	for {
		msg, err := stream.Recv()
		if err != nil {
			return errors.Mark(err, ErrNoStream)
		}
		m.lastHeardAt.Store(int64(m.clk.Now()))
		m.handle(ctx, msg)
	}
}

// sendAll sends the messages of an outbox until ctx ends or the stream breaks.
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

// runHeartbeats sends heartbeats, and cancels the stream when the owner has been silent for too long.
func (m *Member) runHeartbeats(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, m.HeartbeatInterval())
		if m.clk.Now().Sub(m.LastHeardAt()) > silenceLimit(m.HeartbeatInterval()) {
			cancel()
			return
		}
		m.sendStatus()
	}
}

func (m *Member) sendStatus() {
	status := m.handlers.Status()
	status.HeartbeatMs = m.HeartbeatInterval().Milliseconds()
	m.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Status{Status: status}})
}

func (m *Member) handle(ctx context.Context, msg *poolpb.OwnerMessage) {
	switch c := msg.Content.(type) {
	case *poolpb.OwnerMessage_Status:
		m.heartbeatMs.Store(c.Status.HeartbeatMs)
		m.handlers.OwnerStatus(c.Status)
	case *poolpb.OwnerMessage_Answer:
		m.mu.Lock()
		ch := m.pendingAnswers[c.Answer.Number]
		delete(m.pendingAnswers, c.Answer.Number)
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

// Send adds a message to the outbox; it returns false when the outbox is full.
func (m *Member) Send(msg *poolpb.MemberMessage) bool {
	select {
	case m.outbox <- msg:
		return true
	default:
		return false
	}
}

// ReportAccepted reports an accepted job to the owner. The message may be lost.
func (m *Member) ReportAccepted(id string, record []byte) {
	m.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Accepted{Accepted: &poolpb.Accepted{Id: id, Record: record}}})
}

// ReportCancelled reports a cancelled job to the owner. The message may be lost.
func (m *Member) ReportCancelled(id string) {
	m.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Cancelled{Cancelled: &poolpb.Cancelled{Id: id}}})
}

// Ask sends a question to the owner and waits for the answer.
func (m *Member) Ask(ctx context.Context, q *poolpb.Question) (*poolpb.Answer, error) {
	return m.exchange(ctx, func(number int64) *poolpb.MemberMessage {
		q.Number = number
		return &poolpb.MemberMessage{Content: &poolpb.MemberMessage_Question{Question: q}}
	})
}

// Write asks the owner to write a key to the store and waits for the answer. After an error other than
// ErrNotSent the key may have been written.
func (m *Member) Write(ctx context.Context, key string, value []byte, left time.Duration) (*poolpb.Answer, error) {
	return m.exchange(ctx, func(number int64) *poolpb.MemberMessage {
		return &poolpb.MemberMessage{Content: &poolpb.MemberMessage_Write{
			Write: &poolpb.Write{Number: number, Key: key, Value: value, LeftMs: left.Milliseconds()},
		}}
	})
}

// exchange sends a message with a new number and waits for the answer to that number.
func (m *Member) exchange(ctx context.Context, message func(number int64) *poolpb.MemberMessage) (*poolpb.Answer, error) {
	number := m.lastNumber.Add(1)
	answer := make(chan *poolpb.Answer, 1)
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return nil, ErrNotSent
	}
	m.pendingAnswers[number] = answer
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.pendingAnswers, number)
		m.mu.Unlock()
	}()
	if !m.Send(message(number)) {
		return nil, ErrNotSent
	}
	select {
	case a, ok := <-answer:
		if !ok {
			return nil, ErrNoStream
		}
		return a, nil
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), ErrNoStream)
	}
}

// close tells all callers that wait for an answer that there will be none.
func (m *Member) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for n, ch := range m.pendingAnswers {
		close(ch)
		delete(m.pendingAnswers, n)
	}
}
