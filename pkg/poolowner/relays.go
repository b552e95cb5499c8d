package poolowner

import (
	"context"

	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/relay"
	"github.com/sirupsen/logrus"
)

// member is another entry host with a stream to this one.
type member struct {
	*poolrpc.Session
	calls  *relay.Client      // to workers, by that host
	cancel context.CancelFunc // ends calls
}

// newMember takes in a host whose stream has begun; left ends its calls.
func (o *Owner) newMember(s *poolrpc.Session) *member {
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{Session: s, calls: relay.NewClient(o.deps.WorkerTimeout), cancel: cancel}
	go m.calls.Run(ctx, s.Send)
	return m
}

// stopping says that a member is about to end. The caller holds o.mu.
func (o *Owner) stopping(name string) bool {
	m, ok := o.members[name]
	return !ok || m.Status().Stopping
}

// results takes in how workers answered orders that a member made calls for.
func (o *Owner) results(s *poolrpc.Session, r *poolpb.Results) {
	o.mu.Lock()
	m := o.members[s.Name]
	o.mu.Unlock()
	if m != nil && m.Session == s {
		m.calls.Take(r)
	}
}

// holdPath returns the member that makes the call of the session's next hold; nil for this host, which
// settles lost answers itself (raise). When the calls before took another path, it sets raise, so that those
// which are still on their way are void.
func (s *workerSession) holdPath(raise *bool) *member {
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

// orderPath returns the member that makes the call of an order now; nil for this host. A member that reaches
// the store clearly better than this host makes none: it knows what the store tells, and this host may not.
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

// relayAnswered takes in whether an order that a member made a call for had a result.
func (s *workerSession) relayAnswered(m *member, result bool) {
	o := s.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.relays.Answered(s.id, m.Name, result, o.deps.Clock.Now()) {
		o.deps.Log.WithField("member", m.Name).Warn("relay_suspected")
	}
}

// callsBy returns the calls to workers that a member makes, or without one those of this host.
func (o *Owner) callsBy(m *member) relay.Calls {
	if m == nil {
		return relay.DirectCalls(o.deps.Workers)
	}
	return relay.Calls{Start: m.calls.Start, Stop: m.calls.Stop, Pace: m.calls.Pace, Hold: m.calls.Hold}
}
