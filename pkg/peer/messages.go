package peer

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/members"
	"foldarch.dev/foldarch/pkg/peer/peerpb"
	"foldarch.dev/foldarch/pkg/result"
	"foldarch.dev/foldarch/pkg/routing"
	"github.com/cockroachdb/errors"
)

// RequestKind says what a request asks for.
type RequestKind int32

// The kinds of request.
const (
	Call        = RequestKind(peerpb.RequestKind_CALL)
	BatchSubmit = RequestKind(peerpb.RequestKind_BATCH_SUBMIT)
	BatchRead   = RequestKind(peerpb.RequestKind_BATCH_READ)
	Drain       = RequestKind(peerpb.RequestKind_DRAIN)
	Explain     = RequestKind(peerpb.RequestKind_EXPLAIN)
)

// Request is a request to the owner of a shard. Which fields are set depends on its kind.
type Request struct {
	Kind          RequestKind
	Shard         cell.ShardID
	Service       string // or batch workload
	Caller        string
	Key           string
	ID            string // of a batch request or a worker
	IssuedAt      time.Time
	TimeLeft      time.Duration // until the deadline
	Class         routing.Class
	NotRepeatable bool
	Delegated     bool // the key's home is another shard, which keeps the answer
	Body          []byte
}

// Repeatable reports whether the request may be forwarded to the shard's new owner when the
// answer of the previous one did not arrive. This is safe for a call at its key's home shard, whose
// owner decides whether the call runs again, and for every request other than a call.
func (r Request) Repeatable() bool {
	return r.Kind != Call || (r.Key != "" && !r.Delegated)
}

// ReadOnly reports whether the request changes nothing and runs nothing.
func (r Request) ReadOnly() bool {
	return r.Kind == BatchRead || r.Kind == Explain
}

// Answer is the owner's final answer to a request.
type Answer struct {
	Code       result.Code
	Message    string
	RetryAfter time.Duration
	Body       []byte
	Endpoint   string
	ID         string
	State      string
	Worker     string
}

func encodeRequest(r Request) *peerpb.Request {
	w := &peerpb.Request{
		Shard: r.Shard.String(), Service: r.Service, Caller: r.Caller, Key: r.Key,
		TimeLeftMs: millis(r.TimeLeft), Class: int32(r.Class), NotRepeatable: r.NotRepeatable,
		Body: r.Body, Kind: peerpb.RequestKind(r.Kind), Id: r.ID, Delegated: r.Delegated,
	}
	if !r.IssuedAt.IsZero() {
		w.IssuedAtMs = r.IssuedAt.UnixMilli()
	}
	return w
}

func decodeRequest(w *peerpb.Request) (Request, error) {
	shard, err := cell.ParseShardID(w.Shard)
	if err != nil {
		return Request{}, err
	}
	r := Request{
		Kind: RequestKind(w.Kind), Shard: shard, Service: w.Service, Caller: w.Caller, Key: w.Key, ID: w.Id,
		TimeLeft: time.Duration(w.TimeLeftMs) * time.Millisecond, Class: routing.Class(w.Class),
		NotRepeatable: w.NotRepeatable, Delegated: w.Delegated, Body: w.Body,
	}
	if w.IssuedAtMs != 0 {
		r.IssuedAt = time.UnixMilli(w.IssuedAtMs)
	}
	return r, nil
}

func encodeAnswer(a Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Code: int32(a.Code), Message: a.Message, RetryAfterMs: millis(a.RetryAfter), Body: a.Body,
		Endpoint: a.Endpoint, Id: a.ID, State: a.State, Worker: a.Worker,
	}
}

func decodeAnswer(w *peerpb.Answer) Answer {
	return Answer{
		Code: result.Code(w.Code), Message: w.Message, RetryAfter: time.Duration(w.RetryAfterMs) * time.Millisecond,
		Body: w.Body, Endpoint: w.Endpoint, ID: w.Id, State: w.State, Worker: w.Worker,
	}
}

func encodeMember(m members.Member) *peerpb.Member {
	w := &peerpb.Member{
		Id: m.ID, Incarnation: m.Incarnation, Hall: string(m.Hall), Address: m.Address.String(),
		CallersAddress: m.CallersAddress.String(), SettingsRevision: m.Revision, Draining: m.Draining,
	}
	for _, o := range m.Owned {
		owned := &peerpb.Ownership{Shard: o.Shard.String(), Epoch: int64(o.Epoch)}
		for _, service := range slices.Sorted(maps.Keys(o.Loads)) {
			l := o.Loads[service]
			owned.Services = append(owned.Services, &peerpb.ServiceLoad{
				Service: service, Slots: int32(l.Slots), InUse: int32(l.InUse), Queued: int32(l.Queued),
			})
		}
		w.Owned = append(w.Owned, owned)
	}
	return w
}

func decodeMember(w *peerpb.Member) (members.Member, error) {
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return members.Member{}, errors.Wrapf(err, "address of member %s", w.Id)
	}
	callers, err := netip.ParseAddrPort(w.CallersAddress)
	if err != nil {
		return members.Member{}, errors.Wrapf(err, "callers' address of member %s", w.Id)
	}
	m := members.Member{
		ID: w.Id, Incarnation: w.Incarnation, Hall: cell.Hall(w.Hall), Address: address,
		CallersAddress: callers, Revision: w.SettingsRevision, Draining: w.Draining,
	}
	for _, o := range w.Owned {
		shard, err := cell.ParseShardID(o.Shard)
		if err != nil {
			return members.Member{}, err
		}
		owned := members.OwnedShard{Shard: shard, Epoch: cell.Epoch(o.Epoch), Loads: map[string]routing.Load{}}
		for _, s := range o.Services {
			owned.Loads[s.Service] = routing.Load{Slots: int(s.Slots), InUse: int(s.InUse), Queued: int(s.Queued)}
		}
		m.Owned = append(m.Owned, owned)
	}
	return m, nil
}
