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
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

// writeTimeout is the maximum duration of a write on behalf of a member.
const writeTimeout = 3 * time.Second

// Handlers returns the functions that handle the messages of other hosts.
func (o *Owner) Handlers() poolrpc.OwnerHandlers {
	return poolrpc.OwnerHandlers{
		Joined: o.memberJoined, Left: o.memberLeft, Results: o.handleResults, Answer: o.AnswerQuestion, Advice: o.handleAdviceResult, Status: o.memberStatus, Done: o.done,
		Accepted:  func(a *poolpb.Accepted) { o.JobAccepted(job.ID(a.Id), a.Record) },
		Cancelled: func(c *poolpb.Cancelled) { o.JobCancelled(job.ID(c.Id)) },
		Write:     o.writeKey,
	}
}

func (o *Owner) memberJoined(s *poolrpc.Session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if previous := o.members[s.Name()]; previous != nil {
		previous.cancel() // its stream has not been detected as broken yet
		o.recordContact(previous)
	}
	o.members[s.Name()] = o.newMember(s)
	st := s.Status()
	o.segmentReaders.recordMember(s.Name(), st.ReadsSegments, o.deps.Clock.Now())
	o.relays.AddHost(s.Name(), st.Hall, int(st.Strength), cmp.Or(int(st.MostWorkers), relay.MaxWorkersPerRelay))
	o.pool.AddAdviser(s.Name())
	o.deps.Log.WithField("member", s.Name()).Info("member_joined")
}

func (o *Owner) memberLeft(s *poolrpc.Session) {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.members[s.Name()]
	if m == nil || m.Session != s {
		return
	}
	m.cancel()
	o.recordContact(m)
	o.relays.RemoveHost(s.Name())
	delete(o.fastMembers, s.Name())
	delete(o.members, s.Name())
	o.pool.RemoveAdviser(s.Name(), o.deps.Clock.Now())
	o.deps.Log.WithField("member", s.Name()).Info("member_left")
}

// maxAllFastMembers is the number of members up to which all have the fast heartbeat. With 146 members
// and four heartbeats a second in each direction, heartbeats were the most frequent messages of an
// owner.
const maxAllFastMembers = 48

// fastMemberCount is the number of strong members that have the fast heartbeat however many members
// there are. One of them takes over soon when the owner falls silent.
const fastMemberCount = 8

// heartbeatInterval returns the time between two heartbeats on a member's stream: that of the fast heartbeat
// (poolrpc.HeartbeatInterval) or of the slow one (poolrpc.SlowHeartbeatInterval). The caller holds o.mu.
func (o *Owner) heartbeatInterval(m *member) time.Duration {
	if len(o.members) <= maxAllFastMembers || o.fastMembers[m.Name()] || o.relays.Serves(m.Name()) {
		return poolrpc.HeartbeatInterval
	}
	if len(o.fastMembers) < fastMemberCount && m.Status().Strength >= sufficientStrength && !m.Status().Stopping {
		o.fastMembers[m.Name()] = true
		return poolrpc.HeartbeatInterval
	}
	return poolrpc.SlowHeartbeatInterval
}

// memberStatus returns the owner's heartbeat message for a member.
func (o *Owner) memberStatus(s *poolrpc.Session) *poolpb.OwnerStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, joined := o.members[s.Name()]
	if !joined || m.Session != s {
		return o.ownerStatus(poolrpc.HeartbeatInterval)
	}
	return o.ownerStatus(o.heartbeatInterval(m))
}

// ownerStatus returns the owner's heartbeat message for a stream with the given heartbeat interval. The
// caller holds o.mu.
func (o *Owner) ownerStatus(heartbeat time.Duration) *poolpb.OwnerStatus {
	owner := o.reach()
	st := &poolpb.OwnerStatus{
		Term: o.claim.Term, HeartbeatMs: heartbeat.Milliseconds(), Refusals: o.currentRefusals(), Limits: o.currentLimits(), Hosts: int32(1 + len(o.members)),
		StoreAgeMs: owner.StoreAge.Milliseconds(), OtherHalls: int32(owner.OtherHalls), HallsLost: owner.HallsLost,
	}
	if name := o.yieldTo.Load(); name != nil {
		st.Yield = *name
	}
	return st
}

// minYieldGain is by how much more recently the store must have answered a member than this host for the
// owner to yield to it for YieldStoreUnreached. It covers the time between two store calls and between
// two heartbeats.
const minYieldGain = 800 * time.Millisecond

// sufficientStrength is the strength of a host that is large enough to own the pool.
const sufficientStrength = 100

// YieldReason is why an owner asks another host to take over.
type YieldReason string

// The reasons to yield.
const (
	// YieldStopping means that this process is being stopped. Any member may take over.
	YieldStopping YieldReason = "stopping"
	// YieldStoreUnreached means that the store does not answer this host. A member that the store has
	// answered clearly more recently may take over. When the store is down for all hosts, nothing would
	// be gained.
	YieldStoreUnreached YieldReason = "store_unreached"
	// YieldHostTooSmall means that this host is too small to own the pool. A member that is large enough
	// may take over.
	YieldHostTooSmall YieldReason = "host_too_small"
)

// maxSuccessorStoreAge is the longest time since the store answered a member that may take over from a
// host that is too small.
const maxSuccessorStoreAge = 1500 * time.Millisecond

// Yield asks a member to take over. It reports whether there is one that may.
func (o *Owner) Yield(reason YieldReason) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.yieldTo.Load(); old != nil && o.mayTakeOver(*old, reason) {
		return true // it has been asked already
	}
	best := o.bestSuccessor(reason)
	if best == "" {
		return false
	}
	if old := o.yieldTo.Swap(&best); old == nil || *old != best {
		o.deps.Log.WithFields(logrus.Fields{"to": best, "why": reason, "store_age_ms": o.deps.StoreAge().Milliseconds()}).Info("owner_yields")
	}
	o.broadcastStatus()
	return true
}

// BroadcastStatus sends the owner's heartbeat to all members at once, so that a change reaches
// them soon.
func (o *Owner) BroadcastStatus() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broadcastStatus()
}

// broadcastStatus is BroadcastStatus for callers that hold o.mu.
func (o *Owner) broadcastStatus() {
	for _, m := range o.members {
		m.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Status{Status: o.ownerStatus(o.heartbeatInterval(m))}})
	}
}

// bestSuccessor returns the name of the strongest member that may take over for a reason; among equally
// strong ones, the one that the store has answered most recently. The caller holds o.mu.
func (o *Owner) bestSuccessor(reason YieldReason) string {
	best, bestStrength, bestAge := "", int64(-1), time.Duration(0)
	for name, m := range o.members {
		if !o.mayTakeOver(name, reason) {
			continue
		}
		strength, age := m.Status().Strength, o.storeAge(m)
		better := strength > bestStrength || strength == bestStrength && (age < bestAge || age == bestAge && name < best)
		if better {
			best, bestStrength, bestAge = name, strength, age
		}
	}
	return best
}

// mayTakeOver reports whether a member may take over for a reason. The caller holds o.mu.
func (o *Owner) mayTakeOver(name string, reason YieldReason) bool {
	m, ok := o.members[name]
	if !ok || m.Status().Stopping {
		return false
	}
	switch reason {
	case YieldStopping:
		return true
	case YieldStoreUnreached:
		return o.reachesStoreBetter(m)
	}
	return o.storeAge(m) < maxSuccessorStoreAge && m.Status().Strength >= sufficientStrength
}

// reachesStoreBetter reports whether the store has answered a member clearly more recently than this
// host.
func (o *Owner) reachesStoreBetter(m *member) bool {
	return o.storeAge(m) < o.deps.StoreAge()-minYieldGain
}

// storeAge returns the maximum time since the store answered a member.
func (o *Owner) storeAge(m *member) time.Duration {
	return time.Duration(m.Status().StoreAgeMs)*time.Millisecond + m.StatusAge(o.deps.Clock.Now())
}

// IsStrongEnough reports whether this host is large enough to own the pool.
func (o *Owner) IsStrongEnough() bool {
	return o.deps.Strength >= sufficientStrength
}

// writeKey writes a key to the store on behalf of a member.
func (o *Owner) writeKey(w *poolpb.Write) *poolpb.Answer {
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
func (o *Owner) CancelYield() {
	o.yieldTo.Store(nil)
}

// AnswerQuestion returns the state of a job or the number of pending jobs of a queue.
func (o *Owner) AnswerQuestion(q *poolpb.Question) *poolpb.Answer {
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
func (o *Owner) sendAdviceCall(ctx context.Context, m *member, a dispatch.AdviceCall) {
	call := &poolpb.AdviceCall{
		Number: a.Number, Job: string(a.Step.Job), Time: int64(a.Step.Time), Step: int64(a.Step.Step),
		LimitMs: a.Timeout.Milliseconds(),
	}
	for _, w := range a.Workers {
		call.Workers = append(call.Workers, string(w))
	}
	if a.Adviser == o.deps.Name {
		go func() { o.handleAdviceResult(o.deps.Advise(ctx, call)) }()
		return
	}
	if m == nil || !m.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Advice{Advice: call}}) {
		go o.handleAdviceResult(&poolpb.AdviceResult{Number: a.Number})
	}
}

func (o *Owner) handleAdviceResult(r *poolpb.AdviceResult) {
	tickets := make([]dispatch.Ticket, 0, len(r.Tickets))
	for _, t := range r.Tickets {
		tickets = append(tickets, dispatch.Ticket{Worker: dispatch.WorkerID(t.Worker), Text: t.Text})
	}
	o.mu.Lock()
	o.pool.HandleAdviceAnswer(r.Number, tickets, r.Ok, o.deps.Clock.Now())
	o.mu.Unlock()
	o.requestPlan()
}

// JobAccepted adds a job that a host has written to the store. While the jobs are being loaded it does
// nothing: the job will be in the loaded list, possibly with its outcome.
func (o *Owner) JobAccepted(id job.ID, text []byte) {
	if !o.loaded.Load() {
		return
	}
	record, err := decodeRecord(id, text)
	if err != nil {
		o.deps.Log.WithFields(logrus.Fields{"job": id, "error": err}).Error("record_unreadable")
		return
	}
	o.mu.Lock()
	o.addJob(id, record, job.Progress{}, false)
	o.mu.Unlock()
	o.requestPlan()
}

// decodeRecord decodes the record of a job.
func decodeRecord(id job.ID, text []byte) (job.Record, error) {
	record, err := job.DecodeRecord(text)
	if err == nil && record.Outcome == "" && record.Job.ID != id {
		err = errors.Newf("the record is of job %q", record.Job.ID)
	}
	return record, err
}

// decodeStoredRecord decodes a job's record in the store. Each owner's term raises the store's revision, so that
// no host can have written a record of a term above the record's revision, or a record of a later term than this
// owner's before this owner's claim.
func (o *Owner) decodeStoredRecord(id job.ID, i platform.Item) (job.Record, error) {
	record, err := decodeRecord(id, i.Value)
	if err == nil && (record.Term > i.Revision || record.Term > o.claim.Term && i.Revision < o.claim.Revision) {
		err = errors.Newf("the record at revision %d is of term %d", i.Revision, record.Term)
	}
	return record, err
}

// addJob adds a job or its outcome from the job's record. stored is whether progress is from the store.
// The caller holds o.mu.
func (o *Owner) addJob(id job.ID, record job.Record, progress job.Progress, stored bool) {
	now := o.deps.Clock.Now()
	if o.unreadableProgress[id] {
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
	o.pool.AddJob(record, progress, stored, max(o.jobAge(record), 0), now)
	if o.earlyCancellations[id] {
		delete(o.earlyCancellations, id)
		o.pool.Cancel(id)
	}
}

// jobAge returns the time since a job was accepted, as far as the clocks of two hosts allow; at most a
// minute.
func (o *Owner) jobAge(r job.Record) time.Duration {
	const maxAge = time.Minute
	if r.AcceptedAt.IsZero() {
		return 0
	}
	return min(o.deps.Clock.Wall().Sub(r.AcceptedAt), maxAge)
}

// JobCancelled cancels a job. If the job itself is not known yet, it is cancelled when it is added.
func (o *Owner) JobCancelled(id job.ID) {
	o.mu.Lock()
	if !o.pool.Cancel(id) {
		o.earlyCancellations[id] = true
	}
	o.mu.Unlock()
	o.requestPlan()
}
