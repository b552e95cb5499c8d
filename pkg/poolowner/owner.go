package poolowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/dispatch"
	"foldarch.dev/foldarch/pkg/job"
	"foldarch.dev/foldarch/pkg/jobstore"
	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	"foldarch.dev/foldarch/pkg/queue"
	"foldarch.dev/foldarch/pkg/relay"
	"foldarch.dev/foldarch/pkg/upkeep"
	"foldarch.dev/foldarch/platform"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

const (
	// AuthorityTerm is how long after its last confirmation an owner may give orders.
	AuthorityTerm = 2 * time.Second
	// takeoverTerm also covers orders that were decided at its very end.
	takeoverTerm = AuthorityTerm + 200*time.Millisecond
	// tokenStep leaves room for the tokens of one owner (dispatch.MaxTokenIncrements).
	tokenStep = dispatch.MaxTokenIncrements + 1
	// runsOfTerm is how far apart the run numbers of two owners begin.
	runsOfTerm = 1000

	// maxLease is how long what runs on a worker is leased at most: long enough for a
	// takeover, short enough for what a crashed worker ran to start elsewhere soon.
	maxLease    = 5700 * time.Millisecond
	leaseMargin = 300 * time.Millisecond
	planEvery   = 50 * time.Millisecond
	planPause   = 3 * time.Millisecond
	// planRest is how many times as long as a plan took the next one waits at least, so that a
	// pool in which much waits leaves the processor to the calls to workers.
	planRest     = 2
	inspectEvery = 250 * time.Millisecond
	statusEvery  = time.Second
)

// ErrDeposed says that another owner has taken over.
var ErrDeposed = errors.New("another owner has taken over")

// Claim is the ownership as the store has it.
type Claim struct {
	Term     int64
	Revision int64 // of the transaction that made this host the owner
	// First says that there was no owner before.
	First bool
	// FormerEnded says that the former owner's process has certainly ended.
	FormerEnded bool
	// NamedFrom is as in the holder's record (jobstore.Holder).
	NamedFrom int64
}

// Deps are what an owner works with.
type Deps struct {
	Name    string
	Hall    string // data hall of this host
	Clock   clock.Clock
	Store   *platform.Store
	Workers *platform.Workers
	// WorkerTimeout is the limit of a call to a worker, beyond its waiting.
	WorkerTimeout time.Duration
	// Machines is nil when there is no service of machines.
	Machines *platform.Machines
	Bounds   platform.Bounds
	// Heartbeat is the time between two writes of a worker's entry.
	Heartbeat time.Duration
	// Advise makes a call for advice from this host.
	Advise func(ctx context.Context, call *poolpb.AdviceCall) *poolpb.AdviceResult
	// Write puts a key into the store for a member.
	Write func(ctx context.Context, key string, value []byte) *poolpb.Answer
	// ReadOperator reads anew what the operator has written, and tells the owner (SetConfig, SetEvacuated).
	ReadOperator func(ctx context.Context) error
	// StoreAge is how long ago the store answered this host.
	StoreAge func() time.Duration
	// Strength is how well this host can own the pool, in percent of what is enough.
	Strength int
	// LinkMbps is what the link of this host carries; 0 when not told.
	LinkMbps float64
	// Leased says that the store has confirmed the ownership within AuthorityTerm.
	Leased func(now clock.Time) bool
	Log    *logrus.Entry
	// Figures takes counters of what was decided and learned, by event.
	Figures metrics.Registry
	// Without leaves mechanisms out, in tests and builds for trials.
	Without dispatch.DisabledMechanisms
}

// Owner owns a pool.
type Owner struct {
	deps  Deps
	claim Claim
	done  chan struct{}
	kick  chan struct{} // of size 1: there may be something to plan
	// unconfirmed is of size 1: the store has to be asked who the owner is.
	unconfirmed chan struct{}
	// unknownJobs is of size 1: workers list jobs that are not known.
	unknownJobs chan struct{}
	// names is of size 1: starts wait for the names of their workers to be stored.
	names chan struct{}
	calls *callGate // to workers
	// jobsKnown is closed when the jobs of the store are known.
	jobsKnown chan struct{}

	mu       sync.Mutex
	pool     *dispatch.Pool
	upkeep   *upkeep.Planner
	sessions map[dispatch.WorkerID]*workerSession
	members  map[string]*member
	near     map[string]bool // members with the usual heartbeat (heartbeat)
	halls    halls
	relays   *relay.Assignments
	unusable map[string]unusableEntry // by the worker's name
	// unreadable are jobs whose progress can't be read.
	unreadable map[job.ID]bool
	cancelled  map[job.ID]bool // told before the job itself
	committed  chan struct{}   // closed and renewed with each commit
	fenced     bool            // most workers were fenced
	counted    answerCount
	refusals   refusals
	limits     limits
	plans      metrics.Timer // how long plans took
	beats      beats         // of the duty that watches workers
	position   position      // each field belongs to one duty
	// roster is what the store has, by the worker's name; of the duty that keeps it, and before that of the one that loads.
	roster map[string]rosterRecord

	rosterFailures, commitFailures, readFailures *storeFailures
	// followsJobs and followsWorkers are of the duties that watch these.
	followsJobs, followsWorkers *jobstore.Following

	lanes   [jobstore.CommitLanes]commitLane // of the duty that commits
	yield   atomic.Pointer[string]
	loaded  atomic.Bool
	deposed atomic.Bool
	cancel  context.CancelCauseFunc
	duties  sync.WaitGroup
}

// New returns an owner that does nothing before Run.
func New(deps Deps, claim Claim) *Owner {
	now := deps.Clock.Now()
	o := &Owner{
		deps: deps, claim: claim, done: make(chan struct{}), kick: make(chan struct{}, 1), jobsKnown: make(chan struct{}),
		unconfirmed: make(chan struct{}, 1), unknownJobs: make(chan struct{}, 1), names: make(chan struct{}, 1),
		calls:    newCallGate(callsAtOnceOf(deps)),
		sessions: map[dispatch.WorkerID]*workerSession{}, members: map[string]*member{}, near: map[string]bool{},
		unusable: map[string]unusableEntry{}, roster: map[string]rosterRecord{}, unreadable: map[job.ID]bool{}, cancelled: map[job.ID]bool{}, committed: make(chan struct{}), lanes: newLanes(claim),
		beats: newBeats(deps.Heartbeat), upkeep: upkeep.New(),
		plans:          metrics.GetOrRegisterTimer("pool.plan", deps.Figures),
		rosterFailures: &storeFailures{what: "roster", clk: deps.Clock, log: deps.Log},
		commitFailures: &storeFailures{what: "commit", clk: deps.Clock, log: deps.Log},
		readFailures:   &storeFailures{what: "unknown_job", clk: deps.Clock, log: deps.Log},
		followsJobs:    jobstore.NewFollowing(jobstore.JobsPrefix, deps.Clock, deps.Log),
		followsWorkers: jobstore.NewFollowing(platform.WorkersPrefix, deps.Clock, deps.Log),
	}
	lease := min(maxLease, deps.Bounds.MaxHold-leaseMargin)
	o.pool = dispatch.New(dispatch.Config{
		LeaseDuration: lease, MaxLeaseDuration: lease, WorkerMaxLease: deps.Bounds.MaxHold, MinDrainTime: deps.Bounds.Drain, StopGrace: deps.Bounds.StopGrace,
		RestoreTime: deps.Bounds.Restore,
		Token:       claim.Revision * tokenStep, Term: claim.Term, RecordWorkersFromTerm: claim.NamedFrom, RunNumberBase: int(claim.Term) * runsOfTerm, HasPreviousOwner: !claim.First,
		AuthorityTerm: formerTerm(claim), WallClock: deps.Clock.Wall, Log: o.logEvent, Disabled: deps.Without,
	}, now)
	o.relays = relay.NewAssignments(o.stopping, deps.LinkMbps)
	o.pool.AddAdviser(deps.Name)
	return o
}

// formerTerm is how long a former owner may go on giving orders.
func formerTerm(c Claim) time.Duration {
	if c.FormerEnded {
		return 0
	}
	return takeoverTerm
}

// Run owns the pool until ctx ends, or until another owner has taken over (ErrDeposed).
func (o *Owner) Run(ctx context.Context) error {
	ctx, o.cancel = context.WithCancelCause(ctx)
	defer o.cancel(nil)
	defer close(o.done)
	if err := o.load(ctx); err != nil {
		return err
	}
	o.duties.Go(func() { o.runPlans(ctx) })
	o.duties.Go(func() { clock.Every(ctx, inspectEvery, o.inspect) })
	o.duties.Go(func() { clock.Every(ctx, statusEvery, o.logStatus) })
	o.duties.Go(func() { o.runCommits(ctx) })
	o.duties.Go(func() { o.watchJobs(ctx) })
	o.duties.Go(func() { o.readUnknownJobs(ctx) })
	o.duties.Go(func() { o.watchWorkers(ctx) })
	o.duties.Go(func() { clock.Every(ctx, rosterEvery, func() { o.writeRoster(ctx) }) })
	o.duties.Go(func() { o.runUpkeep(ctx) })
	o.duties.Go(func() { o.runConfirmations(ctx) })
	<-ctx.Done()
	o.duties.Wait()
	if o.deposed.Load() {
		return ErrDeposed
	}
	return nil
}

// depose ends the owner for good: another one has taken over.
func (o *Owner) depose(why string) {
	if o.deposed.Swap(true) {
		return
	}
	o.deps.Log.WithFields(logrus.Fields{"term": o.claim.Term, "why": why}).Info("owner_deposed")
	o.cancel(ErrDeposed)
}

// Depose ends the owner because the store has another one on record.
func (o *Owner) Depose() {
	o.depose("record")
}

// SetConfig puts a configuration in force.
func (o *Owner) SetConfig(cfg *queue.Config) {
	o.mu.Lock()
	o.pool.SetConfig(cfg)
	o.putConfigured()
	o.mu.Unlock()
	o.wake()
}

// SetEvacuated takes in which data halls are being evacuated.
func (o *Owner) SetEvacuated(halls []string) {
	o.mu.Lock()
	o.pool.SetEvacuatedHalls(halls)
	o.mu.Unlock()
	o.wake()
}

// wake has the plan made anew soon.
func (o *Owner) wake() {
	signal(o.kick)
}

// signal wakes the duty that waits on a channel of size 1, or will wait on it next.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// authority says whether orders may be given. The caller holds o.mu.
func (o *Owner) authority(now clock.Time) bool {
	if o.deposed.Load() {
		return false
	}
	if o.pool.IsFenced() {
		o.depose("fenced")
		return false
	}
	most := o.mostAnswer(now)
	if !o.fenced && most {
		o.fenced = true
		o.pool.RestartTakeoverTimers(now)
	}
	return most || o.deps.Leased(now)
}

// countEvery is how old the count of the workers that answer may be. It is asked for with each
// call to a worker, and takes as long as there are workers. takeoverTerm covers it.
const countEvery = 20 * time.Millisecond

// mostAnswer says whether most workers have answered within AuthorityTerm. The caller holds
// o.mu.
func (o *Owner) mostAnswer(now clock.Time) bool {
	if o.counted.at == 0 || now.Sub(o.counted.at) >= countEvery {
		answering, all := o.pool.AnsweringCount(now, AuthorityTerm)
		o.counted = answerCount{at: now, most: 2*answering > all}
	}
	return o.counted.most
}

// answerCount says whether most workers answered, at a time.
type answerCount struct {
	at   clock.Time
	most bool
}

// runPlans is the duty that plans, a little after something has changed.
func (o *Owner) runPlans(ctx context.Context) {
	t := time.NewTicker(planEvery)
	defer t.Stop()
	var took time.Duration // by the last plan
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.kick:
			clock.Sleep(ctx, o.restAfter(took))
		}
		began := time.Now()
		o.carryOut(ctx)
		took = time.Since(began)
		o.plans.Update(took)
	}
}

// restAfter is how long the next plan waits at least after one that took a time.
func (o *Owner) restAfter(took time.Duration) time.Duration {
	if o.deps.Without.Contains(dispatch.PlanThrottling) {
		return planPause
	}
	return max(planPause, planRest*took)
}

func (o *Owner) inspect() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.InspectRuns(o.deps.Clock.Now())
}

// Status summarizes the pool.
func (o *Owner) Status() dispatch.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Status(o.deps.Clock.Now())
}

// Relayed is how many workers other hosts make the calls to.
func (o *Owner) Relayed() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relays.Count()
}

// CallsWaiting is how many calls to workers wait for their turn. More than a few for more than a
// moment say that this host is too small for the pool.
func (o *Owner) CallsWaiting() int {
	return o.calls.queued()
}

func (o *Owner) logStatus() {
	s := o.Status()
	plans := o.plans.Snapshot()
	fields := logrus.Fields{
		"workers": s.Workers, "silent": s.UnresponsiveWorkers, "evacuated": s.EvacuatedWorkers, "jobs": s.Jobs, "steps": s.Steps, "waiting": s.Waiting, "runs": s.Runs,
		"calls": s.AdviceCalls, "advisers": s.FreeAdvisers, "takeover": s.TakeoverPending, "held": s.BlockedJobs, "retired": s.SilentRetiredWorkers, "calls_waiting": o.CallsWaiting(), "relayed": o.Relayed(), "used": s.Used, "capacity": s.Capacity,
		"plan_p50_us": time.Duration(plans.Percentile(0.5)).Microseconds(), "plan_p99_us": time.Duration(plans.Percentile(0.99)).Microseconds(),
	}
	for name, n := range s.Advice {
		fields[name] = n
	}
	o.deps.Log.WithFields(fields).Info("pool_status")
	o.logLongWaits()
}

const (
	// longWait is from when on a step that waits in a pool with room is told of: the platform counts a job lost that waits for 3 s there.
	longWait = 3 * time.Second
	// mostLongWaits is how many steps each pool_status tells of.
	mostLongWaits = 5
)

// logLongWaits tells which steps wait for long though there is room, and for what.
func (o *Owner) logLongWaits() {
	o.mu.Lock()
	waits := o.pool.DelayedSteps(longWait, mostLongWaits, o.deps.Clock.Now())
	o.mu.Unlock()
	for _, w := range waits {
		o.deps.Log.WithFields(logrus.Fields{
			"step": w.Step, "customer": w.Customer, "waited_ms": w.Waited.Milliseconds(), "left_ms": w.TimeLeft.Milliseconds(), "waits": w.WaitReason,
		}).Info("step_waits")
	}
}

func (o *Owner) carryOut(ctx context.Context) {
	o.mu.Lock()
	now := o.deps.Clock.Now()
	actions := o.pool.Plan(now, o.authority(now))
	if o.pool.HasUnstoredWorkers() {
		o.commitSoon()
	}
	if actions.IsEmpty() {
		o.mu.Unlock()
		return
	}
	for _, w := range actions.NewWorkers {
		o.openSession(ctx, w)
	}
	sessions := o.sessionsFor(actions)
	members := make([]*member, len(actions.AdviceCalls))
	for i, a := range actions.AdviceCalls {
		members[i] = o.members[a.Adviser]
	}
	o.mu.Unlock()
	for _, a := range actions.Starts {
		o.sendStart(sessions[a.Worker], a)
	}
	for _, a := range actions.Stops {
		o.sendStop(sessions[a.Worker], a)
	}
	for _, a := range actions.Paces {
		o.sendPace(sessions[a.Worker], a)
	}
	for _, id := range actions.FenceWorkers {
		if s := sessions[id]; s != nil {
			s.settle(ctx)
		}
	}
	for i, a := range actions.AdviceCalls {
		o.ask(ctx, members[i], a)
	}
	if actions.ConfirmOwnership {
		o.askConfirmation()
	}
}

// sessionsFor returns the sessions with the workers that actions name. The caller holds o.mu.
func (o *Owner) sessionsFor(a dispatch.Actions) map[dispatch.WorkerID]*workerSession {
	out := map[dispatch.WorkerID]*workerSession{}
	for _, s := range a.Starts {
		out[s.Worker] = o.sessions[s.Worker]
	}
	for _, s := range a.Stops {
		out[s.Worker] = o.sessions[s.Worker]
	}
	for _, s := range a.Paces {
		out[s.Worker] = o.sessions[s.Worker]
	}
	for _, id := range a.FenceWorkers {
		out[id] = o.sessions[id]
	}
	return out
}

// logEvent writes what the pool decided or learned.
func (o *Owner) logEvent(e dispatch.Event) {
	o.countEvent(e)
	fields := logrus.Fields{}
	if e.Task.Job != "" {
		fields["task"] = e.Task.String()
		fields["run"] = e.Run
	}
	if e.Job != "" {
		fields["job"] = e.Job
	}
	if e.Customer != "" {
		fields["customer"] = e.Customer
	}
	if e.Worker != "" {
		fields["worker"] = e.Worker
	}
	if e.Detail != "" {
		fields["detail"] = e.Detail
	}
	o.deps.Log.WithFields(fields).Info(e.Name)
}

// countEvent counts an event under its name, and ends and rejected starts by their kind.
func (o *Owner) countEvent(e dispatch.Event) {
	name := "pool." + e.Name
	if e.Name == "run_ended" || e.Name == "start_rejected" || e.Name == "job_ended" {
		name += "." + e.Detail
	}
	metrics.GetOrRegisterCounter(name, o.deps.Figures).Inc(1)
}
