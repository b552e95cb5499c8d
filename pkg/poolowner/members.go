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

// writeTimeout bounds a write for a member.
const writeTimeout = 3 * time.Second

// Handlers are what the owner does with what other hosts say.
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
	if former := o.members[s.Name]; former != nil {
		former.cancel() // its stream has not been found broken yet
		o.heardOf(former)
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

// fewMembers is up to how many members all have the usual heartbeat. Of 146, with four heartbeats a second both
// ways each, they were the most frequent messages of an owner.
const fewMembers = 48

// nearMembers is how many strong members have the usual heartbeat however many there are: those of whom one
// takes over soon when the owner is silent.
const nearMembers = 8

// heartbeat is the time between two heartbeats of a member. The caller holds o.mu.
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

// status is the owner's heartbeat for a member.
func (o *Owner) status(s *poolrpc.Session) *poolpb.OwnerStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	m, joined := o.members[s.Name]
	if !joined || m.Session != s {
		return o.statusEach(poolrpc.HeartbeatEvery)
	}
	return o.statusEach(o.heartbeat(m))
}

// statusEach is the owner's heartbeat on a stream on which they follow each other in a time.
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

// yieldGain is by how much better a member must reach the store for an owner to yield that
// does not stop. It covers the time between two calls and between two heartbeats.
const yieldGain = 800 * time.Millisecond

// enough is the strength of a host that is large enough to own the pool.
const enough = 100

// Reason is why an owner has another host take over.
type Reason string

// The reasons to yield.
const (
	// Stopping: the process is being stopped; any member will do.
	Stopping Reason = "stopping"
	// Unreached: the store does not answer this host; a member that reaches it clearly
	// better will do. When the store is down for all, nothing is gained.
	Unreached Reason = "store_unreached"
	// TooSmall: the host is too small to own the pool; one that is large enough will do.
	TooSmall Reason = "host_too_small"
)

// freshStore is how long ago the store may have answered a member that is to take over.
const freshStore = 1500 * time.Millisecond

// Yield asks a member to take over. It says whether there is one that will do.
func (o *Owner) Yield(why Reason) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.yield.Load(); old != nil && o.willDo(*old, why) {
		return true // it has been asked
	}
	best := o.bestMember(why)
	if best == "" {
		return false
	}
	if old := o.yield.Swap(&best); old == nil || *old != best {
		o.deps.Log.WithFields(logrus.Fields{"to": best, "why": why}).Info("owner_yields")
	}
	o.tellStatus()
	return true
}

// TellStatus sends the owner's heartbeat to all members at once, since they should know of a change soon.
func (o *Owner) TellStatus() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tellStatus()
}

// tellStatus sends the owner's heartbeat to all members at once. The caller holds o.mu.
func (o *Owner) tellStatus() {
	for _, m := range o.members {
		m.Send(&poolpb.OwnerMessage{Content: &poolpb.OwnerMessage_Status{Status: o.statusEach(o.heartbeat(m))}})
	}
}

// bestMember names the strongest member that will do for a reason, among like ones the one
// that reached the store last. The caller holds o.mu.
func (o *Owner) bestMember(why Reason) string {
	best, bestStrength, bestAge := "", int64(-1), time.Duration(0)
	for name, s := range o.members {
		if !o.willDo(name, why) {
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

// willDo says whether a member can take over for a reason. The caller holds o.mu.
func (o *Owner) willDo(name string, why Reason) bool {
	s, ok := o.members[name]
	if !ok || s.Status().Stopping {
		return false
	}
	switch why {
	case Stopping:
		return true
	case Unreached:
		return o.reachesStoreBetter(s)
	}
	return o.storeAge(s) < freshStore && s.Status().Strength >= enough
}

// reachesStoreBetter says that the store answered the member clearly later than this host.
func (o *Owner) reachesStoreBetter(m *member) bool {
	return o.storeAge(m) < o.deps.StoreAge()-yieldGain
}

// storeAge is how long ago the store has answered a member, at most.
func (o *Owner) storeAge(m *member) time.Duration {
	return time.Duration(m.Status().StoreAgeMs)*time.Millisecond + m.StatusAge(o.deps.Clock.Now())
}

// Strong says whether this host is large enough to own the pool.
func (o *Owner) Strong() bool {
	return o.deps.Strength >= enough
}

// write puts a key into the store for a member.
func (o *Owner) write(w *poolpb.Write) *poolpb.Answer {
	limit := writeTimeout
	if w.LeftMs > 0 {
		limit = min(limit, time.Duration(w.LeftMs)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a := o.deps.Write(ctx, w.Key, w.Value)
	a.Number = w.Number
	return a
}

// Stay takes back what Yield asked for.
func (o *Owner) Stay() {
	o.yield.Store(nil)
}

// Answer tells the state of a job or the pending jobs of a queue.
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

// Explain tells what is known of a job; ok is false when nothing is.
func (o *Owner) Explain(id job.ID) (e dispatch.Explanation, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Explain(id, o.deps.Clock.Now())
}

// Customers lists the customers with what they have in the pool.
func (o *Owner) Customers() []dispatch.CustomerStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Customers()
}

// ask has a call for advice made, by this host or by a member.
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

// Accepted takes in a job that a host has put into the store. Before all jobs are listed it
// is left to the list, which may have it as ended.
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

// addJob takes in a job's record, whatever it tells. The caller holds o.mu.
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
		o.depose("a job of a later term")
		return
	}
	o.pool.AddJob(record, progress, stored, max(o.age(record), 0), now)
	if o.cancelled[id] {
		delete(o.cancelled, id)
		o.pool.Cancel(id)
	}
}

// age is how long ago a job was accepted, as far as clocks of two hosts tell.
func (o *Owner) age(r job.Record) time.Duration {
	const most = time.Minute
	if r.AcceptedAt.IsZero() {
		return 0
	}
	return min(o.deps.Clock.Wall().Sub(r.AcceptedAt), most)
}

// Cancelled takes in that a job was cancelled.
func (o *Owner) Cancelled(id job.ID) {
	o.mu.Lock()
	if !o.pool.Cancel(id) {
		o.cancelled[id] = true
	}
	o.mu.Unlock()
	o.wake()
}
