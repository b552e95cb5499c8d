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
	// maxPreviousAuthority is how long a previous owner may go on giving orders. It is longer than
	// AuthorityTerm to cover orders decided at the very end of that time, and the age of the majority
	// check (majorityCheckInterval).
	takeoverTerm = AuthorityTerm + 200*time.Millisecond
	// tokenStep is the number of fencing tokens of one owner: its first one and
	// dispatch.MaxTokenIncrements increments.
	tokenStep = dispatch.MaxTokenIncrements + 1
	// runNumbersPerTerm is the distance between the first run numbers of two consecutive owners.
	runsOfTerm = 1000

	// maxLease is the longest lease of a run on a worker. It outlasts a takeover, but is short enough
	// that tasks of a crashed worker soon start elsewhere.
	maxLease    = 5700 * time.Millisecond
	leaseMargin = 300 * time.Millisecond
	planEvery   = 50 * time.Millisecond
	planPause   = 3 * time.Millisecond
	// planPauseFactor is the least pause before a requested plan, as a multiple of the time that the last
	// plan took. It leaves processor time for the calls to workers when many steps wait.
	planRest     = 2
	inspectEvery = 250 * time.Millisecond
	statusEvery  = time.Second
)

// ErrDeposed is returned by Run when another owner has taken over.
var ErrDeposed = errors.New("another owner has taken over")

// Claim is this host's ownership as recorded in the store.
type Claim struct {
	Term     int64
	Revision int64 // of the transaction that made this host the owner
	// First is true when the pool had no owner before.
	First bool
	// PreviousOwnerEnded is true when the previous owner's process has certainly ended.
	FormerEnded bool
	// RecordWorkersFromTerm is the first term from which on every owner records the workers of a job in
	// the store before it starts the job there; 0 when this owner does not (jobstore.Holder).
	NamedFrom int64
}

// Deps are the dependencies and settings of an Owner.
type Deps struct {
	Name    string
	Hall    string // data hall of this host
	Clock   clock.Clock
	Store   *platform.Store
	Workers *platform.Workers
	// WorkerTimeout is the time limit of a call to a worker, in addition to the time that the worker may
	// hold the call open.
	WorkerTimeout time.Duration
	// Machines is nil when the platform has no machine service.
	Machines *platform.Machines
	Bounds   platform.Bounds
	// HeartbeatInterval is the interval at which a worker rewrites its entry.
	Heartbeat time.Duration
	// Advise makes an advice call from this host.
	Advise func(ctx context.Context, call *poolpb.AdviceCall) *poolpb.AdviceResult
	// Write writes a key to the store on behalf of a member.
	Write func(ctx context.Context, key string, value []byte) *poolpb.Answer
	// ReadOperatorKeys reads the operator's keys again and passes them to the owner (SetConfig,
	// SetEvacuatedHalls).
	ReadOperator func(ctx context.Context) error
	// StoreAge returns the time since the store last answered this host.
	StoreAge func() time.Duration
	// Strength is this host's capacity to own the pool, in percent of what an owner needs.
	Strength int
	// LinkMbps is the bandwidth of this host's link; 0 when unknown.
	LinkMbps float64
	// HasLease returns whether the store has confirmed the ownership within AuthorityTerm.
	Leased func(now clock.Time) bool
	Log    *logrus.Entry
	// Metrics receives a counter for each kind of event of the pool.
	Figures metrics.Registry
	// Disabled turns mechanisms off, in tests and experimental builds.
	Without dispatch.DisabledMechanisms
}

// Owner owns a pool while Run runs.
type Owner struct {
	deps  Deps
	claim Claim
	done  chan struct{}
	kick  chan struct{} // of size 1: a plan is needed
	// confirmSignal is of size 1: the owner's record has to be read from the store.
	unconfirmed chan struct{}
	// unknownJobsSignal is of size 1: workers list jobs that this owner does not know.
	unknownJobs chan struct{}
	// commitSignal is of size 1: starts wait until the store records their workers.
	names chan struct{}
	calls *callGate // for calls to workers
	// jobsLoaded is closed when the jobs of the store are loaded.
	jobsKnown chan struct{}

	mu       sync.Mutex
	pool     *dispatch.Pool
	upkeep   *upkeep.Planner
	sessions map[dispatch.WorkerID]*workerSession
	members  map[string]*member
	near     map[string]bool // members with the fast heartbeat (heartbeatInterval)
	halls    halls
	relays   *relay.Assignments
	unusable map[string]unusableEntry // by worker name
	// unreadableProgress are the jobs whose stored progress can't be decoded.
	unreadable map[job.ID]bool
	cancelled  map[job.ID]bool // cancelled before the job itself was received
	committed  chan struct{}   // closed and replaced at each commit
	fenced     bool            // a majority of the workers has accepted this owner's token
	counted    answerCount
	refusals   refusals
	limits     limits
	plans      metrics.Timer // duration of plans
	beats      beats         // used by watchWorkers only
	position   position      // each field is used by one goroutine only
	// roster is the roster as stored, by worker name. It is used while loading and then by writeRoster
	// only.
	roster map[string]rosterRecord

	rosterFailures, commitFailures, readFailures *storeFailures
	// jobsWatch and workersWatch are each used by the goroutine that watches these keys.
	followsJobs, followsWorkers *jobstore.Following

	lanes   [jobstore.CommitLanes]commitLane // used by runCommits only
	yield   atomic.Pointer[string]
	loaded  atomic.Bool
	deposed atomic.Bool
	cancel  context.CancelCauseFunc
	duties  sync.WaitGroup
}

// New returns an owner. It does nothing until Run is called.
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

// previousAuthorityTerm is how long the previous owner may go on giving orders.
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

// depose ends this owner for good because another one has taken over; why is logged.
func (o *Owner) depose(why string) {
	if o.deposed.Swap(true) {
		return
	}
	o.deps.Log.WithFields(logrus.Fields{"term": o.claim.Term, "why": why}).Info("owner_deposed")
	o.cancel(ErrDeposed)
}

// Depose ends the owner because the store names another one.
func (o *Owner) Depose() {
	o.depose("record")
}

// SetConfig applies a new configuration.
func (o *Owner) SetConfig(cfg *queue.Config) {
	o.mu.Lock()
	o.pool.SetConfig(cfg)
	o.putConfigured()
	o.mu.Unlock()
	o.wake()
}

// SetEvacuatedHalls sets the data halls that are being evacuated.
func (o *Owner) SetEvacuated(halls []string) {
	o.mu.Lock()
	o.pool.SetEvacuatedHalls(halls)
	o.mu.Unlock()
	o.wake()
}

// requestPlan requests a new plan soon.
func (o *Owner) wake() {
	signal(o.kick)
}

// notify wakes the goroutine that receives from c, a channel of size 1, now or at its next receive.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hasAuthority returns whether this owner may give orders. It deposes the owner when a worker has seen a
// higher token. When most workers accept this owner's token for the first time, it restarts the takeover
// timers of the pool, since orders of the previous owner may have taken effect until then. The caller
// holds o.mu.
func (o *Owner) authority(now clock.Time) bool {
	if o.deposed.Load() {
		return false
	}
	if o.pool.IsFenced() {
		o.depose("fenced")
		return false
	}
	majority := o.mostAnswer(now)
	if !o.fenced && majority {
		o.fenced = true
		o.pool.RestartTakeoverTimers(now)
	}
	return majority || o.deps.Leased(now)
}

// majorityCheckInterval is the maximum age of a majority check. The check is needed for each call to a
// worker and goes over all workers. maxPreviousAuthority covers this age.
const countEvery = 20 * time.Millisecond

// hasMajority returns whether most workers have answered within AuthorityTerm. The caller holds o.mu.
func (o *Owner) mostAnswer(now clock.Time) bool {
	if o.counted.at == 0 || now.Sub(o.counted.at) >= countEvery {
		answering, all := o.pool.AnsweringCount(now, AuthorityTerm)
		o.counted = answerCount{at: now, most: 2*answering > all}
	}
	return o.counted.most
}

// majorityCheck is whether most workers answered, at checkedAt.
type answerCount struct {
	at   clock.Time
	most bool
}

// runPlans plans every planInterval, and shortly after a plan was requested.
func (o *Owner) runPlans(ctx context.Context) {
	t := time.NewTicker(planEvery)
	defer t.Stop()
	var planTime time.Duration // time that the last plan took
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.kick:
			clock.Sleep(ctx, o.restAfter(planTime))
		}
		startedAt := time.Now()
		o.carryOut(ctx)
		planTime = time.Since(startedAt)
		o.plans.Update(planTime)
	}
}

// pauseAfterPlan returns the least pause after a plan that took the given time.
func (o *Owner) restAfter(planTime time.Duration) time.Duration {
	if o.deps.Without.Contains(dispatch.PlanThrottling) {
		return planPause
	}
	return max(planPause, planRest*planTime)
}

func (o *Owner) inspect() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pool.InspectRuns(o.deps.Clock.Now())
}

// Status returns a summary of the pool.
func (o *Owner) Status() dispatch.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pool.Status(o.deps.Clock.Now())
}

// RelayedWorkers returns the number of workers that other hosts make the calls to.
func (o *Owner) Relayed() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relays.Count()
}

// WaitingCalls returns the number of calls to workers that wait for a slot. More than a few for more
// than a moment mean that this host is too small for the pool.
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
	// delayedStepThreshold is the waiting time from which a step in a pool with room is logged. The
	// platform counts a job as lost when it waits for 3 s there.
	longWait = 3 * time.Second
	// maxLoggedSteps is the maximum number of delayed steps that are logged with each pool_status.
	mostLongWaits = 5
)

// logDelayedSteps logs steps that have waited for long in a pool with room, and what they wait for.
func (o *Owner) logLongWaits() {
	o.mu.Lock()
	steps := o.pool.DelayedSteps(longWait, mostLongWaits, o.deps.Clock.Now())
	o.mu.Unlock()
	for _, step := range steps {
		o.deps.Log.WithFields(logrus.Fields{
			"step": step.Step, "customer": step.Customer, "waited_ms": step.Waited.Milliseconds(), "left_ms": step.TimeLeft.Milliseconds(), "waits": step.WaitReason,
		}).Info("step_waits")
	}
}

// planAndExecute makes a plan and carries out its actions.
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

// sessionsFor returns the sessions of the workers that need an order by a. The caller holds o.mu.
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

// logEvent logs an event of the pool.
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

// countEvent counts an event under its name; run ends, rejected starts and job ends also by their
// reason.
func (o *Owner) countEvent(e dispatch.Event) {
	name := "pool." + e.Name
	if e.Name == "run_ended" || e.Name == "start_rejected" || e.Name == "job_ended" {
		name += "." + e.Detail
	}
	metrics.GetOrRegisterCounter(name, o.deps.Figures).Inc(1)
}
