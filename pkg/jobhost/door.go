package jobhost

import (
	"context"
	"net/http"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/customer"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolrpc"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/reach"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
)

const (
	// refusedPause is when a refused caller may come back.
	refusedPause = time.Second
	// askTimeout bounds a question to the owner, which the store can answer as well.
	askTimeout = 600 * time.Millisecond
	// ownerWriteTimeout bounds a write by the owner, so that a caller whose host was cut off can try another one in time.
	ownerWriteTimeout = 1200 * time.Millisecond
)

func (h *Host) door() http.Handler {
	return &platform.Door{
		Jobs: h.jobs(), Closing: func() bool { return h.stopping.Load() || !h.row().Ready() }, RetryAfter: func() time.Duration { return refusedPause },
	}
}

// jobs are what callers and operators can do with jobs.
func (h *Host) jobs() platform.Jobs {
	return platform.Jobs{
		Config: h.config.Load, Admit: h.admit,
		Submit: h.submit, State: h.state, Cancel: h.cancelJob, Pending: h.pending,
	}
}

// submit keeps a job in the store and tells the owner.
func (h *Host) submit(ctx context.Context, c customer.Caller, q queue.Queue, j job.Job) error {
	started := h.clk.Now()
	record := job.Record{Job: j, Queue: q, AcceptedAt: h.clk.Wall()}
	if c.Customer != nil {
		record.Customer = *c.Customer
	}
	var kept keptValue
	err := h.mayAccept(ctx, c, record)
	if err == nil {
		kept, err = h.put(ctx, jobstore.JobKey(j.ID), func(term int64) ([]byte, error) {
			record.Term = term
			return record.Encode()
		})
		err = spread(ctx, j.ID, err)
	}
	h.countAccept(started, err)
	h.logOutcome("job_accepted", j.ID, record, j.Summary(), started, err)
	if err != nil {
		return err
	}
	if !kept.created {
		return h.handedInBefore(ctx, c, j.ID)
	}
	if o := h.owner.Load(); o != nil {
		o.Accepted(j.ID, kept.text)
	} else if m := h.member.Load(); m != nil {
		m.Accepted(string(j.ID), kept.text)
	}
	return nil
}

// mayAccept says why a job can't be taken in, nil if it can. Errors: platform.ErrUnauthenticated, platform.ErrRefused.
func (h *Host) mayAccept(ctx context.Context, c customer.Caller, r job.Record) error {
	if err := errorOf(c.HandIn()); err != nil {
		return err
	}
	if row := h.row(); !row.Open() {
		return spread(ctx, r.Job.ID, h.refuseClosed(row))
	}
	if err := tooWide(c, r.Job); err != nil {
		return err
	}
	if err := h.refuseUnserved(ctx, r.Queue.Name, r.Job.ID); err != nil {
		return err
	}
	return h.refuseBeyondWeight(ctx, r)
}

// handedInBefore answers for a job whose id is taken: the owner knows it, and maybe as ended.
func (h *Host) handedInBefore(ctx context.Context, c customer.Caller, id job.ID) error {
	if c.Customer == nil {
		return nil
	}
	_, holder, err := h.find(ctx, id, func() bool { return true })
	if err != nil {
		return errors.Mark(err, platform.ErrUnsettled)
	}
	return h.about(c, id, holder)
}

func (h *Host) countAccept(started clock.Time, err error) {
	h.figures.accept.Update(h.clk.Now().Sub(started))
	switch {
	case err == nil:
		h.figures.accepted.Inc(1)
	case errors.IsAny(err, platform.ErrRefused, platform.ErrUnauthenticated):
		h.figures.refused.Inc(1)
	default:
		h.figures.unknown.Inc(1)
	}
}

// keptValue is what put has written.
type keptValue struct {
	text []byte
	// created says that the key holds the text; otherwise an earlier write was there.
	created bool
}

// mostOwnerChanges bounds the tries of a write during which another owner comes on record each time.
const mostOwnerChanges = 5

// put writes a key that nobody changes, with the text of it under an owner's term. When the store does not answer this host it may
// answer the owner. Errors: platform.ErrRefused, platform.ErrUnsettled.
func (h *Host) put(ctx context.Context, key string, textUnder func(term int64) ([]byte, error)) (keptValue, error) {
	for range mostOwnerChanges {
		record, term := h.knownOwner()
		text, err := textUnder(term)
		if err != nil {
			return keptValue{}, errors.Mark(err, platform.ErrRefused)
		}
		created, err := h.putUnder(ctx, key, text, record)
		if !errors.Is(err, errOwnerChanged) {
			return keptValue{text: text, created: created}, err
		}
	}
	return keptValue{}, errors.Wrap(platform.ErrRefused, "the owner changes")
}

// putUnder writes a key under an owner's record, by whom the table says. Errors: as of intake.put.
func (h *Host) putUnder(ctx context.Context, key string, value []byte, record int64) (created bool, err error) {
	row := h.row()
	if !row.Open() {
		return false, h.refuseClosed(row)
	}
	h.figures.rows[row].Inc(1)
	if m := h.ownerToWrite(); row == reach.OwnerWrites && m != nil {
		return writeByOwner(ctx, m, key, value)
	}
	created, err = h.intake.put(ctx, key, value, record)
	m := h.ownerToWrite()
	if err == nil || m == nil || errors.Is(err, errOwnerChanged) {
		return created, err
	}
	created, byOwner := writeByOwner(ctx, m, key, value)
	if errors.Is(byOwner, platform.ErrRefused) && !errors.Is(err, platform.ErrRefused) {
		return false, err // our own try may have written the key
	}
	return created, byOwner
}

// refuseClosed refuses in a row in which nobody can write. Errors: platform.ErrRefused.
func (h *Host) refuseClosed(row reach.Row) error {
	h.figures.rows[row].Inc(1)
	return errors.Wrap(platform.ErrRefused, row.Reason())
}

// writeByOwner has the owner write a key.
func writeByOwner(ctx context.Context, m *poolrpc.Member, key string, value []byte) (created bool, err error) {
	left := timeLeft(ctx)
	ctx, cancel := context.WithTimeout(ctx, ownerWriteTimeout)
	defer cancel()
	a, err := m.Write(ctx, key, value, left)
	switch {
	case errors.Is(err, poolrpc.ErrNotSent):
		return false, errors.Mark(err, platform.ErrRefused)
	case err != nil:
		return false, errors.Mark(err, platform.ErrUnsettled)
	case a.Refused:
		return false, errors.Wrap(platform.ErrRefused, "the owner could not write")
	case a.Unknown:
		return false, errors.Wrap(platform.ErrUnsettled, "the owner does not know")
	}
	return a.Created, nil
}

// spread has the caller of a write that was refused since nobody could write come back at a time that is spread over what it has left.
func spread(ctx context.Context, id job.ID, err error) error {
	if !errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrTooLarge) {
		return err
	}
	return &platform.RefusedError{Reason: err.Error(), RetryAfter: reach.RetryAfter(string(id), timeLeft(ctx)), Unwritten: true}
}

// timeLeft is how long a caller still waits; 0 when that is not told.
func timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d), time.Millisecond)
}

// writeFor puts a key into the store for a member, while this host is the owner.
func (h *Host) writeFor(ctx context.Context, key string, value []byte) *poolpb.Answer {
	record, _ := h.knownOwner()
	created, err := h.intake.put(ctx, key, value, record)
	refused := errors.IsAny(err, platform.ErrRefused, errOwnerChanged)
	return &poolpb.Answer{Created: created, Refused: refused, Unknown: err != nil && !refused}
}

func (h *Host) logOutcome(event string, id job.ID, r job.Record, steps string, started clock.Time, err error) {
	fields := logrus.Fields{
		"job": id, "queue": r.Queue.Name, "customer": r.Customer.Name, "took_ms": h.clk.Now().Sub(started).Milliseconds(),
		"config": h.config.Load().Version, "config_age_ms": h.operatorKeys.Age().Milliseconds(), "term": h.knownTerm(), "store_age_ms": h.storeAge().Milliseconds(),
	}
	if steps != "" {
		fields["steps"] = steps
	}
	if err != nil {
		fields["error"] = err.Error()
		event += "_not"
	}
	h.log.WithFields(fields).Info(event)
}

// state tells how far a job is.
func (h *Host) state(ctx context.Context, c customer.Caller, id job.ID) (job.State, error) {
	defer h.figures.state.UpdateSince(time.Now())
	state, holder, err := h.find(ctx, id, h.stateReads.allow)
	if err != nil {
		return "", err
	}
	return state, h.about(c, id, holder)
}

// find tells how far a job is and whose it is. What the owner does not know, the store may; while no owner tells, it is asked only if mayRead
// allows it. Errors: platform.ErrNoJob, platform.ErrUnsettled.
func (h *Host) find(ctx context.Context, id job.ID, mayRead func() bool) (state job.State, holder string, err error) {
	a := h.ask(ctx, &poolpb.Question{Job: string(id)})
	if a != nil && !a.Unknown {
		return job.State(a.State), a.Customer, nil
	}
	if a == nil && !mayRead() {
		return "", "", errors.Wrap(platform.ErrUnsettled, "the owner does not tell, and the store is asked enough")
	}
	record, err := h.readRecord(ctx, id)
	switch {
	case err != nil:
		return "", "", err
	case record.Outcome != "":
		return record.Outcome, record.Customer.Name, nil
	}
	return h.storedState(ctx, id), record.Customer.Name, nil
}

// storedState tells how far a job is that has not ended, as far as the store tells.
func (h *Host) storedState(ctx context.Context, id job.ID) job.State {
	if _, err := h.store.Read(ctx, jobstore.CancelKey(id)); err == nil {
		return job.Cancelled
	}
	if item, err := h.store.Read(ctx, jobstore.ProgressKey(id)); err == nil && hasBegun(item.Value) {
		return job.Running
	}
	return job.Queued
}

// hasBegun says that a job has begun, as far as its progress tells: names of workers may be stored before.
func hasBegun(progress []byte) bool {
	p, err := job.DecodeProgress(progress)
	return err != nil || len(p.Tasks) > 0
}

// readRecord reads a job's record. Errors: platform.ErrNoJob, platform.ErrUnsettled.
func (h *Host) readRecord(ctx context.Context, id job.ID) (job.Record, error) {
	item, err := h.store.Read(ctx, jobstore.JobKey(id))
	if errors.Is(err, platform.ErrAbsent) {
		return job.Record{}, errors.Mark(err, platform.ErrNoJob)
	}
	if err != nil {
		return job.Record{}, errors.Wrapf(platform.ErrUnsettled, "%v", err)
	}
	record, err := job.DecodeRecord(item.Value)
	if err != nil {
		return job.Record{}, errors.Mark(err, platform.ErrUnsettled)
	}
	return record, nil
}

// ask asks the owner; nil when it can't be asked.
func (h *Host) ask(ctx context.Context, q *poolpb.Question) *poolpb.Answer {
	if o := h.owner.Load(); o != nil {
		return o.Answer(q)
	}
	m := h.member.Load()
	if m == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, err := m.Ask(ctx, q)
	if err != nil {
		return nil
	}
	return a
}

// cancelJob keeps the cancelling of a job in the store and tells the owner.
func (h *Host) cancelJob(ctx context.Context, c customer.Caller, id job.ID) error {
	record, err := h.readRecord(ctx, id)
	if err != nil {
		return err
	}
	if err := h.about(c, id, record.Customer.Name); err != nil {
		return err
	}
	if record.Outcome != "" {
		return errors.Wrap(platform.ErrNoJob, "the job has ended")
	}
	started := h.clk.Now()
	_, err = h.put(ctx, jobstore.CancelKey(id), func(int64) ([]byte, error) { return []byte{}, nil })
	err = spread(ctx, id, err)
	h.logOutcome("job_cancelled", id, record, "", started, err)
	if err != nil {
		return err
	}
	if o := h.owner.Load(); o != nil {
		o.Cancelled(id)
	} else if m := h.member.Load(); m != nil {
		m.Cancelled(string(id))
	}
	return nil
}

// pending counts the jobs of a queue that have not begun. Only the owner can tell.
func (h *Host) pending(ctx context.Context, q queue.Queue) (int, error) {
	a := h.ask(ctx, &poolpb.Question{Queue: q.Name})
	if a == nil || a.Unknown {
		return 0, errors.Wrap(platform.ErrRefused, "the owner can't be asked")
	}
	return int(a.Pending), nil
}

// advise makes a call for advice that the owner handed out.
func (h *Host) advise(ctx context.Context, call *poolpb.AdviceCall) *poolpb.AdviceResult {
	result := &poolpb.AdviceResult{Number: call.Number}
	adviser := h.advice.Load()
	if adviser == nil {
		return result
	}
	tickets, err := adviser.Advise(ctx, stepOf(call), workersOf(call), time.Duration(call.LimitMs)*time.Millisecond)
	if err != nil {
		h.log.WithFields(logrus.Fields{"step": stepOf(call), "error": err}).Warn("advice_failed")
		return result
	}
	result.Ok = true
	for _, t := range tickets {
		result.Tickets = append(result.Tickets, &poolpb.Ticket{Worker: string(t.Worker), Text: t.Text})
	}
	return result
}

func stepOf(call *poolpb.AdviceCall) job.StepID {
	return job.StepID{Job: job.ID(call.Job), Time: int(call.Time), Step: int(call.Step)}
}

func workersOf(call *poolpb.AdviceCall) []dispatch.WorkerID {
	out := make([]dispatch.WorkerID, 0, len(call.Workers))
	for _, w := range call.Workers {
		out = append(out, dispatch.WorkerID(w))
	}
	return out
}
