package poolowner

import (
	"context"

	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/relay"
	"github.com/sirupsen/logrus"
)

// member is another entry host that has a stream to this one.
type member struct {
	*poolrpc.Session
	workerCalls *relay.Client      // to workers, made by that host
	cancel      context.CancelFunc // ends workerCalls
}

// newMember returns the member of a stream that begins. memberLeft ends its calls.
func (o *Owner) newMember(s *poolrpc.Session) *member {
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Session: s, workerCalls: relay.NewClient(o.deps.WorkerTimeout, int(s.Status().KeptSpecBytes)), cancel: cancel}
	go m.workerCalls.Run(ctx, s.Send)
	return m
}

// isStopping reports whether a member is about to stop. The caller holds o.mu.
func (o *Owner) isStopping(name string) bool {
	m, ok := o.members[name]
	return !ok || m.Status().Stopping
}

// handleResults passes on the workers' answers to orders that a member made the calls for.
func (o *Owner) handleResults(s *poolrpc.Session, r *poolpb.Results) {
	o.mu.Lock()
	m := o.members[s.Name()]
	o.mu.Unlock()
	if m != nil && m.Session == s {
		m.workerCalls.HandleResults(r)
	}
}

// pollPath returns the member that makes the call of the session's next poll; nil for this host, which
// makes the polls that fence a worker (raise) itself. When the calls before were made by another host,
// it sets raise, so that those that are still in transit become invalid.
func (s *workerSession) pollPath(raise *bool) *member {
	if *raise {
		return nil
	}
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	name, changed := o.relays.Assign(s.id, o.deps.Clock.Now())
	if changed {
		o.deps.Log.WithFields(logrus.Fields{"worker": s.id, "by": name}).Info("relay_assigned")
	}
	*raise = changed
	return o.members[name]
}

// orderPath returns the member that makes the call of an order now; nil for this host. A member that the
// store has answered clearly more recently makes none: it may know from the store of another owner while
// this host does not.
func (s *workerSession) orderPath() *member {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	m := o.members[o.relays.Assigned(s.id, o.deps.Clock.Now())]
	if m == nil || o.reachesStoreBetter(m) {
		return nil
	}
	return m
}

// recordRelayResult records whether a member returned a result for an order.
func (s *workerSession) recordRelayResult(m *member, result bool) {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.relays.RecordResult(s.id, m.Name(), result, o.deps.Clock.Now()) {
		o.deps.Log.WithField("member", m.Name()).Warn("relay_suspected")
	}
}

// callsThrough returns the calls to workers that member m makes, or those of this host when m is nil.
func (o *Owner) callsThrough(m *member) relay.WorkerCalls {
	if m == nil {
		return relay.DirectCalls(o.deps.Workers)
	}
	return relay.WorkerCalls{Start: m.workerCalls.Start, Stop: m.workerCalls.Stop, Pace: m.workerCalls.Pace, Poll: m.workerCalls.Poll}
}
