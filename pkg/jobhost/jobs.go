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
	// refusalRetryAfter is after how long a refused caller may try again.
	refusalRetryAfter = time.Second
	// ownerQueryTimeout bounds a query to the owner; the store can answer the same query.
	ownerQueryTimeout = 600 * time.Millisecond
	// ownerWriteTimeout bounds a write by the owner, so that a caller whose host was cut off still has
	// time to try another host.
	ownerWriteTimeout = 1200 * time.Millisecond
)

func (h *Host) jobHandler() http.Handler {
	return &platform.JobHandler{
		JobService: h.jobService(), CloseConnections: func() bool { return h.stopping.Load() || !h.mode().IsReady() }, RetryAfter: func() time.Duration { return refusalRetryAfter },
	}
}

// jobService returns the operations on jobs that callers and operators may request.
func (h *Host) jobService() platform.JobService {
	return platform.JobService{
		Config: h.config.Load, Admit: h.admit,
		Submit: h.submit, State: h.jobState, Cancel: h.cancelJob, Pending: h.pendingJobs,
	}
}

// submit stores a job and notifies the owner.
func (h *Host) submit(ctx context.Context, c customer.Caller, q queue.Queue, j job.Job) error {
	started := h.clk.Now()
	record := job.Record{Job: j, Queue: q, AcceptedAt: h.clk.Wall()}
	if c.Customer != nil {
		record.Customer = *c.Customer
	}
	var stored storedValue
	err := h.checkAcceptance(ctx, c, record)
	if err == nil {
		stored, err = h.writeIfAbsent(ctx, jobstore.JobKey(j.ID), func(term int64) ([]byte, error) {
			record.Term, record.Unannounced = term, !h.hasOwnerLink()
			return record.Encode()
		})
		err = spreadRetries(ctx, j.ID, err)
	}
	h.countSubmission(started, err)
	h.logOutcome("job_accepted", j.ID, record, j.Summary(), started, err)
	if err != nil {
		return err
	}
	if !stored.created {
		return h.answerResubmission(ctx, c, j.ID)
	}
	if o := h.owner.Load(); o != nil {
		o.JobAccepted(j.ID, stored.text)
	} else if m := h.member.Load(); m != nil {
		m.ReportAccepted(string(j.ID), stored.text)
	}
	return nil
}

// checkAcceptance returns why a job can't be accepted, or nil if it can. Errors:
// platform.ErrUnauthenticated, platform.ErrRefused.
func (h *Host) checkAcceptance(ctx context.Context, c customer.Caller, r job.Record) error {
	if err := decisionError(c.DecideSubmit()); err != nil {
		return err
	}
	if mode := h.mode(); !mode.AcceptsJobs() {
		return spreadRetries(ctx, r.Job.ID, h.refuseForMode(mode))
	}
	if err := checkStepQuota(c, r.Job); err != nil {
		return err
	}
	if err := h.refuseForQueue(ctx, r.Queue.Name, r.Job.ID); err != nil {
		return err
	}
	return h.refuseForShare(ctx, r)
}

// answerResubmission returns the answer to a submission whose job id is already in the store: an error if
// that job belongs to another customer. The owner may know the job, also as ended.
func (h *Host) answerResubmission(ctx context.Context, c customer.Caller, id job.ID) error {
	if c.Customer == nil {
		return nil
	}
	_, customerName, err := h.findJob(ctx, id, func() bool { return true })
	if err != nil {
		return errors.Mark(err, platform.ErrOutcomeUnknown)
	}
	return h.checkJobAccess(c, id, customerName)
}

// countSubmission updates the metrics of submissions with the outcome of one.
func (h *Host) countSubmission(started clock.Time, err error) {
	h.metrics.submitTime.Update(h.clk.Now().Sub(started))
	switch {
	case err == nil:
		h.metrics.accepted.Inc(1)
	case errors.IsAny(err, platform.ErrRefused, platform.ErrInvalid, platform.ErrUnauthenticated):
		h.metrics.refused.Inc(1)
	default:
		h.metrics.outcomeUnknown.Inc(1)
	}
}

// storedValue is the result of writeIfAbsent.
type storedValue struct {
	text []byte
	// created is true if the key holds text, and false if it already held an earlier value.
	created bool
}

// maxOwnerChanges bounds how often a write is repeated because the owner has changed meanwhile.
const maxOwnerChanges = 5

// writeIfAbsent writes a key that is never changed afterwards; textUnder returns its value for an owner's
// term. If the store does not answer this host, the owner is asked to write, since the store may answer
// the owner. Errors: platform.ErrInvalid if the value is too large, platform.ErrRefused,
// platform.ErrOutcomeUnknown.
func (h *Host) writeIfAbsent(ctx context.Context, key string, textUnder func(term int64) ([]byte, error)) (storedValue, error) {
	for range maxOwnerChanges {
		ownerRevision, term := h.knownOwner()
		text, err := textUnder(term)
		if err != nil {
			return storedValue{}, errors.Mark(err, platform.ErrRefused)
		}
		if err := h.checkSize(key, text); err != nil {
			return storedValue{}, err
		}
		created, err := h.writeUnderOwner(ctx, key, text, ownerRevision)
		if !errors.Is(err, errOwnerChanged) {
			return storedValue{text: text, created: created}, err
		}
	}
	return storedValue{}, errors.Wrap(platform.ErrRefused, "the owner changes")
}

// checkSize returns an error if the store never takes a value of that size. Errors: platform.ErrInvalid.
func (h *Host) checkSize(key string, value []byte) error {
	limit := h.store.MaxValueBytes()
	if limit == 0 || len(value) <= limit {
		return nil
	}
	h.metrics.tooLarge.Inc(1)
	return errors.Wrapf(platform.ErrInvalid, "key %s: the record of the job has %d bytes, and the store takes at most %d", key, len(value), limit)
}

// writeUnderOwner writes a key on condition that the owner's record has the given revision. The mode of
// this host decides who writes (package reach). Errors: those of batchWriter.writeIfAbsent.
func (h *Host) writeUnderOwner(ctx context.Context, key string, value []byte, ownerRevision int64) (created bool, err error) {
	mode := h.mode()
	if !mode.AcceptsJobs() {
		return false, h.refuseForMode(mode)
	}
	h.metrics.writesByMode[mode].Inc(1)
	if m := h.ownerForWrites(); mode == reach.OwnerWrites && m != nil {
		return writeByOwner(ctx, m, key, value)
	}
	created, err = h.writer.writeIfAbsent(ctx, key, value, ownerRevision)
	m := h.ownerForWrites()
	if err == nil || m == nil || errors.Is(err, errOwnerChanged) {
		return created, err
	}
	created, ownerErr := writeByOwner(ctx, m, key, value)
	if errors.Is(ownerErr, platform.ErrRefused) && !errors.Is(err, platform.ErrRefused) {
		return false, err // this host's own attempt may have written the key
	}
	return created, ownerErr
}

// refuseForMode refuses a write in a mode in which no host can write. Errors: platform.ErrRefused.
func (h *Host) refuseForMode(mode reach.Mode) error {
	h.metrics.writesByMode[mode].Inc(1)
	return errors.Wrap(platform.ErrRefused, mode.Reason())
}

// writeByOwner asks the owner to write a key.
func writeByOwner(ctx context.Context, m *poolrpc.Member, key string, value []byte) (created bool, err error) {
	left := timeLeft(ctx)
	ctx, cancel := context.WithTimeout(ctx, ownerWriteTimeout)
	defer cancel()
	a, err := m.Write(ctx, key, value, left)
	switch {
	case errors.Is(err, poolrpc.ErrNotSent):
		return false, errors.Mark(err, platform.ErrRefused)
	case err != nil:
		return false, errors.Mark(err, platform.ErrOutcomeUnknown)
	case a.Refused:
		return false, errors.Wrap(platform.ErrRefused, "the owner could not write")
	case a.Unknown:
		return false, errors.Wrap(platform.ErrOutcomeUnknown, "the owner does not know")
	}
	return a.Created, nil
}

// spreadRetries adds a time to retry to the refusal of a write that no host could carry out. The times of
// different jobs are spread over the time that their callers have left.
func spreadRetries(ctx context.Context, id job.ID, err error) error {
	if !errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrTooLarge) {
		return err
	}
	return &platform.RefusedError{Reason: err.Error(), RetryAfter: reach.RetryAfter(string(id), timeLeft(ctx)), NotStored: true}
}

// timeLeft returns how long the caller still waits; 0 if that is unknown.
func timeLeft(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(d), time.Millisecond)
}

// writeForMember writes a key for another host, while this host is the owner.
func (h *Host) writeForMember(ctx context.Context, key string, value []byte) *poolpb.Answer {
	ownerRevision, _ := h.knownOwner()
	created, err := h.writer.writeIfAbsent(ctx, key, value, ownerRevision)
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

// jobState returns the state of a job.
func (h *Host) jobState(ctx context.Context, c customer.Caller, id job.ID) (job.State, error) {
	defer h.metrics.lookupTime.UpdateSince(time.Now())
	started := h.clk.Now()
	state, customerName, err := h.findJob(ctx, id, h.lookupLimiter.allow)
	if err != nil {
		h.recordLookupFailure(id, started, err)
		return "", err
	}
	return state, h.checkJobAccess(c, id, customerName)
}

// recordLookupFailure counts a lookup that told the caller nothing of its job, and logs it unless many others were
// logged just before.
func (h *Host) recordLookupFailure(id job.ID, started clock.Time, err error) {
	if errors.Is(err, platform.ErrNoJob) {
		h.metrics.lookupsAbsent.Inc(1)
		return
	}
	h.metrics.lookupsUnanswered.Inc(1)
	if !h.lookupLog.Allow() {
		return
	}
	h.log.WithFields(logrus.Fields{
		"job": id, "took_ms": h.clk.Now().Sub(started).Milliseconds(), "term": h.knownTerm(), "linked": h.isLinked(),
		"store_age_ms": h.storeAge().Milliseconds(), "unanswered": h.metrics.lookupsUnanswered.Count(), "error": err,
	}).Warn("job_state_unknown")
}

// findJob returns the state of a job and the name of its customer. If the owner does not know the job,
// the store is read. If the owner can't be asked, the store is read only if mayRead returns true. Errors:
// platform.ErrNoJob, platform.ErrOutcomeUnknown.
func (h *Host) findJob(ctx context.Context, id job.ID, mayRead func() bool) (state job.State, customerName string, err error) {
	a := h.queryOwner(ctx, &poolpb.Question{Job: string(id)})
	if a != nil && !a.Unknown {
		return job.State(a.State), a.Customer, nil
	}
	if a == nil && !mayRead() {
		return "", "", errors.Wrap(platform.ErrOutcomeUnknown, "the owner does not tell, and the store is asked enough")
	}
	record, err := h.lookUp(ctx, id)
	switch {
	case err != nil:
		return "", "", err
	case record.Outcome != "":
		return record.Outcome, record.Customer.Name, nil
	}
	return h.storedState(ctx, id), record.Customer.Name, nil
}

// storedState returns the state of a job that has not ended, according to the store.
func (h *Host) storedState(ctx context.Context, id job.ID) job.State {
	if _, err := h.store.Read(ctx, jobstore.CancelKey(id)); err == nil {
		return job.Cancelled
	}
	if item, err := h.store.Read(ctx, jobstore.ProgressKey(id)); err == nil && hasBegun(item.Value) {
		return job.Running
	}
	return job.Queued
}

// hasBegun reports whether a job has begun, according to its stored progress. Progress without tasks may
// be stored earlier, to record the job's workers. Progress that can't be decoded counts as begun.
func hasBegun(progress []byte) bool {
	p, err := job.DecodeProgress(progress)
	return err != nil || p.HasTasks()
}

// lookUp reads a job's record for a caller, unless too many callers wait for that already: anyone may ask for jobs that
// only the store can tell of, and its rate is limited. Errors: platform.ErrNoJob, platform.ErrOutcomeUnknown.
func (h *Host) lookUp(ctx context.Context, id job.ID) (job.Record, error) {
	if !h.lookups.Enter() {
		return job.Record{}, errors.Wrap(platform.ErrOutcomeUnknown, "too many callers wait for the store")
	}
	defer h.lookups.Leave()
	return h.readRecord(ctx, id)
}

// readRecord reads a job's record. Errors: platform.ErrNoJob, platform.ErrOutcomeUnknown.
func (h *Host) readRecord(ctx context.Context, id job.ID) (job.Record, error) {
	item, err := h.store.Read(ctx, jobstore.JobKey(id))
	if errors.Is(err, platform.ErrAbsent) {
		return job.Record{}, errors.Mark(err, platform.ErrNoJob)
	}
	if err != nil {
		return job.Record{}, errors.Wrapf(platform.ErrOutcomeUnknown, "%v", err)
	}
	record, err := job.DecodeRecord(item.Value)
	if err != nil {
		return job.Record{}, errors.Mark(err, platform.ErrOutcomeUnknown)
	}
	return record, nil
}

// queryOwner sends a query to the owner; it returns nil if the owner can't be asked.
func (h *Host) queryOwner(ctx context.Context, q *poolpb.Question) *poolpb.Answer {
	if o := h.owner.Load(); o != nil {
		return o.AnswerQuestion(q)
	}
	m := h.member.Load()
	if m == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ownerQueryTimeout)
	defer cancel()
	a, err := m.Ask(ctx, q)
	if err != nil {
		return nil
	}
	return a
}

// cancelJob stores the cancellation of a job and notifies the owner.
func (h *Host) cancelJob(ctx context.Context, c customer.Caller, id job.ID) error {
	record, err := h.lookUp(ctx, id)
	if err != nil {
		return err
	}
	if err := h.checkJobAccess(c, id, record.Customer.Name); err != nil {
		return err
	}
	if record.Outcome != "" {
		return errors.Wrap(platform.ErrNoJob, "the job has ended")
	}
	started := h.clk.Now()
	_, err = h.writeIfAbsent(ctx, jobstore.CancelKey(id), func(int64) ([]byte, error) { return []byte{}, nil })
	err = spreadRetries(ctx, id, err)
	h.logOutcome("job_cancelled", id, record, "", started, err)
	if err != nil {
		return err
	}
	if o := h.owner.Load(); o != nil {
		o.JobCancelled(id)
	} else if m := h.member.Load(); m != nil {
		m.ReportCancelled(string(id))
	}
	return nil
}

// pendingJobs counts the jobs of a queue that have not begun. Only the owner knows this number.
func (h *Host) pendingJobs(ctx context.Context, q queue.Queue) (int, error) {
	a := h.queryOwner(ctx, &poolpb.Question{Queue: q.Name})
	if a == nil || a.Unknown {
		return 0, errors.Wrap(platform.ErrRefused, "the owner can't be asked")
	}
	return int(a.Pending), nil
}

// advise carries out an advice call that the owner has assigned to this host.
func (h *Host) advise(ctx context.Context, call *poolpb.AdviceCall) *poolpb.AdviceResult {
	result := &poolpb.AdviceResult{Number: call.Number}
	client := h.advice.Load()
	if client == nil {
		return result
	}
	tickets, err := client.Advise(ctx, adviceStep(call), adviceWorkers(call), time.Duration(call.LimitMs)*time.Millisecond)
	if err != nil {
		h.log.WithFields(logrus.Fields{"step": adviceStep(call), "error": err}).Warn("advice_failed")
		return result
	}
	result.Ok = true
	for _, t := range tickets {
		result.Tickets = append(result.Tickets, &poolpb.Ticket{Worker: string(t.Worker), Text: t.Text})
	}
	return result
}

func adviceStep(call *poolpb.AdviceCall) job.StepID {
	return job.StepID{Job: job.ID(call.Job), Time: int(call.Time), Step: int(call.Step)}
}

func adviceWorkers(call *poolpb.AdviceCall) []dispatch.WorkerID {
	out := make([]dispatch.WorkerID, 0, len(call.Workers))
	for _, w := range call.Workers {
		out = append(out, dispatch.WorkerID(w))
	}
	return out
}
