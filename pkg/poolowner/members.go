package poolowner

import (
	"cmp"
	"context"
	"time"

	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/relay"
	"github.com/sirupsen/logrus"
)

// writeTimeout is the maximum duration of a write on behalf of a member.
const writeTimeout = 3 * time.Second

// Handlers returns the functions that handle the messages of other hosts.
func (o *Owner) Handlers() poolrpc.OwnerHandlers {
	return poolrpc.OwnerHandlers{
		Joined: o.joined, Left: o.left, Results: o.results, Answer: o.Answer, Advice: o.adviceAnswered, Status: o.status, Done: o.done,
		Accepted:  func(a *poolpb.Accepted) { o.Accepted(job.ID(a.Id), a.Record) },
		Cancelled: func(c *poolpb.Cancelled) { o.Cancelled(job.ID(c.Id)) },
		Write:     o.write,
	}
}

func (o *Owner) joined(s *poolrpc.Session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if previous := o.members[s.Name]; previous != nil {
		previous.cancel() // its stream has not been detected as broken yet
		o.heardOf(previous)
	}
	o.members[s.Name] = o.newMember(s)
	st := s.Status()
	o.relays.PutHost(s.Name, st.Hall, int(st.Strength), cmp.Or(int(st.MostWorkers), relay.WorkersPerHost))
	o.pool.AddAdviser(s.Name)
	o.deps.Log.WithField("member", s.Name).Info("member_joined")
}

func (o *Owner) left(s *poolrpc.Session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.members[s.Name]
	if m == nil || m.Session != s {
		return
	}
	m.cancel()
	o.heardOf(m)
	o.relays.RemoveHost(s.Name)
	delete(o.near, s.Name)
	delete(o.members, s.Name)
	o.pool.RemoveAdviser(s.Name, o.deps.Clock.Now())
	o.deps.Log.WithField("member", s.Name).Info("member_left")
}

// maxAllFastMembers is the number of members up to which all have the fast heartbeat. With 146 members
// and four heartbeats a second in each direction, heartbeats were the most frequent messages of an
// owner.
const fewMembers = 48

// fastMemberCount is the number of strong members that have the fast heartbeat however many members
// there are. One of them takes over soon when the owner falls silent.
const nearMembers = 8

// heartbeatInterval returns the time between two heartbeats on a member's stream: that of the fast heartbeat
// (poolrpc.HeartbeatInterval) or of the slow one (poolrpc.SlowHeartbeatInterval). The caller holds o.mu.
func (o *Owner) heartbeat(m *member) time.Duration {
	if len(o.members) <= fewMembers || o.near[m.Name] || o.relays.Serves(m.Name) {
		return poolrpc.HeartbeatEvery
	}
	if len(o.near) < nearMembers && m.Status().Strength >= enough && !m.Status().Stopping {
		o.near[m.Name] = true
		return poolrpc.HeartbeatEvery
	}
	return poolrpc.SlowHeartbeat
}

// memberStatus returns the owner's heartbeat message for a member.
func (o *Owner) status(s *poolrpc.Session) *poolpb.OwnerStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, joined := o.members[s.Name]
	if !joined || m.Session != s {
		return o.statusEach(poolrpc.HeartbeatEvery)
	}
	return o.statusEach(o.heartbeat(m))
}

// ownerStatus returns the owner's heartbeat message for a stream with the given heartbeat interval. The
// caller holds o.mu.
func (o *Owner) statusEach(heartbeat time.Duration) *poolpb.OwnerStatus {
	owner := o.reach()
	st := &poolpb.OwnerStatus{
		Term: o.claim.Term, HeartbeatMs: heartbeat.Milliseconds(), Refusals: o.refusalsNow(), Limits: o.limitsNow(), Hosts: int32(1 + len(o.members)),
		StoreAgeMs: owner.StoreAge.Milliseconds(), OtherHalls: int32(owner.OtherHalls), HallsLost: owner.HallsLost,
	}
	if name := o.yield.Load(); name != nil {
		st.Yield = *name
	}
	return st
}

// minYieldGain is by how much more recently the store must have answered a member than this host for the
// owner to yield to it for YieldStoreUnreached. It covers the time between two store calls and between
// two heartbeats.
const yieldGain = 800 * time.Millisecond

// sufficientStrength is the strength of a host that is large enough to own the pool.
const enough = 100

// YieldReason is why an owner asks another host to take over.
type Reason string

// The reasons to yield.
const (
	// YieldStopping: this process is being stopped. Any member may take over.
	Stopping Reason = "stopping"
	// YieldStoreUnreached: the store does not answer this host. A member that the store has answered
	// clearly more recently may take over. When the store is down for all hosts, nothing would be
	// gained.
	Unreached Reason = "store_unreached"
	// YieldHostTooSmall: this host is too small to own the pool. A member that is large enough may take
	// over.
	TooSmall Reason = "host_too_small"
)

// maxSuccessorStoreAge is the longest time since the store answered a member that may take over from a
// host that is too small.
const freshStore = 1500 * time.Millisecond

// Yield asks a member to take over. It returns whether there is one that may.
func (o *Owner) Yield(reason Reason) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.yield.Load(); old != nil && o.willDo(*old, reason) {
		return true // it has been asked already
	}
	best := o.bestMember(reason)
	if best == "" {
		return false
	}
	if old := o.yield.Swap(&best); old == nil || *old != best {
		o.deps.Log.WithFields(logrus.Fields{"to": best, "why": reason}).Info("owner_yields")
	}
	o.tellStatus()
	return true
}

// BroadcastStatus sends the owner's heartbeat to all members at once, so that they learn of a change
// soon.
func (o *Owner) TellStatus() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tellStatus()
}

// broadcastStatus is BroadcastStatus for callers that hold o.mu.
func (o *Owner) tellStatus() {
	for _, m := range o.members {
		m.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Status{Status: o.statusEach(o.heartbeat(m))}})
	}
}

// bestSuccessor returns the name of the strongest member that may take over for a reason; among equally
// strong ones, the one that the store has answered most recently. The caller holds o.mu.
func (o *Owner) bestMember(reason Reason) string {
	best, bestStrength, bestAge := "", int64(-1), time.Duration(0)
	for name, s := range o.members {
		if !o.willDo(name, reason) {
			continue
		}
		strength, age := s.Status().Strength, o.storeAge(s)
		better := strength > bestStrength || strength == bestStrength && (age < bestAge || age == bestAge && name < best)
		if better {
			best, bestStrength, bestAge = name, strength, age
		}
	}
	return best
}

// mayTakeOver returns whether a member may take over for a reason. The caller holds o.mu.
func (o *Owner) willDo(name string, reason Reason) bool {
	s, ok := o.members[name]
	if !ok || s.Status().Stopping {
		return false
	}
	switch reason {
	case Stopping:
		return true
	case Unreached:
		return o.reachesStoreBetter(s)
	}
	return o.storeAge(s) < freshStore && s.Status().Strength >= enough
}

// reachesStoreBetter returns whether the store has answered a member clearly more recently than this
// host.
func (o *Owner) reachesStoreBetter(m *member) bool {
	return o.storeAge(m) < o.deps.StoreAge()-yieldGain
}

// storeAge returns the maximum time since the store answered a member.
func (o *Owner) storeAge(m *member) time.Duration {
	return time.Duration(m.Status().StoreAgeMs)*time.Millisecond + m.StatusAge(o.deps.Clock.Now())
}

// IsStrongEnough returns whether this host is large enough to own the pool.
func (o *Owner) Strong() bool {
	return o.deps.Strength >= enough
}

// writeKey writes a key to the store on behalf of a member.
func (o *Owner) write(w *poolpb.Write) *poolpb.Answer {
	timeout := writeTimeout
	if w.LeftMs > 0 {
		timeout = min(timeout, time.Duration(w.LeftMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a := o.deps.Write(ctx, w.Key, w.Value)
	a.Number = w.Number
	return a
}

// CancelYield withdraws the request of Yield.
func (o *Owner) Stay() {
	o.yield.Store(nil)
}

// AnswerQuestion returns the state of a job or the number of pending jobs of a queue.
func (o *Owner) Answer(q *poolpb.Question) *poolpb.Answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &poolpb.Answer{Number: q.Number}
	if !o.loaded.Load() {
		a.Unknown = true
		return a
	}
	if q.Job == "" {
		a.Pending = int64(o.pool.PendingJobs(q.Queue))
		return a
	}
	state, customer, ok := o.pool.JobState(job.ID(q.Job))
	a.State, a.Customer, a.Unknown = string(state), customer, !ok
	return a
}

// Explain returns what is known about a job; ok is false when the job is unknown.
func (o *Owner) Explain(id job.ID) (e dispatch.Explanation, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Explain(id, o.deps.Clock.Now())
}

// Customers returns the customers with their use of the pool.
func (o *Owner) Customers() []dispatch.CustomerStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Customers()
}

// sendAdviceCall requests an advice call from a member or makes it from this host.
func (o *Owner) ask(ctx context.Context, m *member, a dispatch.AdviceCall) {
	call := &poolpb.AdviceCall{
		Number: a.Number, Job: string(a.Step.Job), Time: int64(a.Step.Time), Step: int64(a.Step.Step),
		LimitMs: a.Timeout.Milliseconds(),
	}
	for _, w := range a.Workers {
		call.Workers = append(call.Workers, string(w))
	}
	if a.Adviser == o.deps.Name {
		go func() { o.adviceAnswered(o.deps.Advise(ctx, call)) }()
		return
	}
	if m == nil || !m.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Advice{Advice: call}}) {
		go o.adviceAnswered(&poolpb.AdviceResult{Number: a.Number})
	}
}

func (o *Owner) adviceAnswered(r *poolpb.AdviceResult) {
	tickets := make([]dispatch.Ticket, 0, len(r.Tickets))
	for _, t := range r.Tickets {
		tickets = append(tickets, dispatch.Ticket{Worker: dispatch.WorkerID(t.Worker), Text: t.Text})
	}
	o.mu.Lock()
	o.pool.HandleAdviceAnswer(r.Number, tickets, r.Ok, o.deps.Clock.Now())
	o.mu.Unlock()
	o.wake()
}

// JobAccepted adds a job that a host has written to the store. While the jobs are being loaded it does
// nothing: the job will be in the loaded list, possibly with its outcome.
func (o *Owner) Accepted(id job.ID, text []byte) {
	if !o.loaded.Load() {
		return
	}
	record, err := job.DecodeRecord(text)
	if err != nil {
		o.deps.Log.WithFields(logrus.Fields{"job": id, "error": err}).Error("record_unreadable")
		return
	}
	o.mu.Lock()
	o.addJob(id, record, job.Progress{}, false)
	o.mu.Unlock()
	o.wake()
}

// addJob adds a job or its outcome from the job's record. stored is whether progress is from the store.
// The caller holds o.mu.
func (o *Owner) addJob(id job.ID, record job.Record, progress job.Progress, stored bool) {
	now := o.deps.Clock.Now()
	if o.unreadable[id] {
		return
	}
	if record.Outcome != "" {
		o.pool.AddOutcome(id, record, now)
		return
	}
	if record.Term > o.claim.Term {
		o.depose("job of a later term")
		return
	}
	o.pool.AddJob(record, progress, stored, max(o.age(record), 0), now)
	if o.cancelled[id] {
		delete(o.cancelled, id)
		o.pool.Cancel(id)
	}
}

// jobAge returns the time since a job was accepted, as far as the clocks of two hosts allow; at most a
// minute.
func (o *Owner) age(r job.Record) time.Duration {
	const maxAge = time.Minute
	if r.AcceptedAt.IsZero() {
		return 0
	}
	return min(o.deps.Clock.Wall().Sub(r.AcceptedAt), maxAge)
}

// JobCancelled cancels a job. If the job itself is not known yet, it is cancelled when it is added.
func (o *Owner) Cancelled(id job.ID) {
	o.mu.Lock()
	if !o.pool.Cancel(id) {
		o.cancelled[id] = true
	}
	o.mu.Unlock()
	o.wake()
}
