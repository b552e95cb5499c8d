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
	"foldarch.dev/foldarch/pkg/traffic"
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
	maxPreviousAuthority = AuthorityTerm + 200*time.Millisecond
	// tokenStep is the number of fencing tokens of one owner: its first one and
	// dispatch.MaxTokenIncrements increments.
	tokenStep = dispatch.MaxTokenIncrements + 1
	// runNumbersPerTerm is the distance between the first run numbers of two consecutive owners.
	runNumbersPerTerm = 1000

	// maxLease is the longest lease of a run on a worker. It outlasts a takeover, but is short enough
	// that tasks of a crashed worker soon start elsewhere.
	maxLease     = 5700 * time.Millisecond
	leaseMargin  = 300 * time.Millisecond
	planInterval = 50 * time.Millisecond
	minPlanPause = 3 * time.Millisecond
	// planPauseFactor is the least pause before a requested plan, as a multiple of the time that the last
	// plan took. It leaves processor time for the calls to workers when many steps wait.
	planPauseFactor = 2
	// maxPlanPause bounds that pause: a plan in which the process was stopped for seconds took as long.
	maxPlanPause    = time.Second
	inspectInterval = 250 * time.Millisecond
	statusInterval  = time.Second
)

// ErrDeposed is returned by Run when another owner has taken over.
var ErrDeposed = errors.New("another owner has taken over")

// Claim is this host's ownership as recorded in the store.
type Claim struct {
	Term     int64
	Revision int64 // of the transaction that made this host the owner
	// First is true when the pool had no owner before.
	First bool
	// PreviousAuthorityEnded is true when no previous owner can give orders any more.
	PreviousAuthorityEnded bool
	// RecordWorkersFromTerm is the first term from which on every owner records the workers of a job in
	// the store before it starts the job there; 0 when this owner does not (jobstore.OwnerRecord).
	RecordWorkersFromTerm int64
	// RecordUnannouncedFromTerm is the same for unannounced jobs (job.Record).
	RecordUnannouncedFromTerm int64
}

// Deps are the dependencies and settings of an Owner.
type Deps struct {
	Name    string
	Hall    string // data hall of this host
	Clock   clock.Clock
	Store   *platform.Store
	Workers *platform.WorkerClient
	// WorkerTimeout is the time limit of a call to a worker, in addition to the time that the worker may
	// leave the call open.
	WorkerTimeout time.Duration
	// Machines is nil when the platform has no machine service.
	Machines *platform.MachineClient
	Bounds   platform.Bounds
	// HeartbeatInterval is the interval at which a worker rewrites its entry.
	HeartbeatInterval time.Duration
	// Advise makes an advice call from this host.
	Advise func(ctx context.Context, call *poolpb.AdviceCall) *poolpb.AdviceResult
	// Write writes a key to the store on behalf of a member.
	Write func(ctx context.Context, key string, value []byte) *poolpb.Answer
	// ReadOperatorKeys reads the operator's keys again and passes them to the owner (SetConfig,
	// SetEvacuatedHalls).
	ReadOperatorKeys func(ctx context.Context) error
	// StoreAge returns the time since the store last answered this host.
	StoreAge func() time.Duration
	// Strength is this host's capacity to own the pool, in percent of what an owner needs.
	Strength int
	// LinkMbps is the bandwidth of this host's link; 0 when unknown.
	LinkMbps float64
	// HasLease reports whether the owner's lease in the store is confirmed. A confirmation counts for at
	// most AuthorityTerm.
	HasLease func(now clock.Time) bool
	Log      *logrus.Entry
	// Metrics receives a counter for each kind of event of the pool.
	Metrics metrics.Registry
	// Disabled turns mechanisms off, in tests and experimental builds.
	Disabled dispatch.DisabledMechanisms
}

// Owner owns a pool while Run runs.
type Owner struct {
	deps       Deps
	claim      Claim
	done       chan struct{}
	planSignal chan struct{} // of size 1: a plan is needed
	// confirmSignal is of size 1: the owner's record has to be read from the store.
	confirmSignal chan struct{}
	// unknownJobsSignal is of size 1: workers list jobs that this owner does not know.
	unknownJobsSignal chan struct{}
	// commitSignal is of size 1: starts wait until the store records their workers.
	commitSignal chan struct{}
	calls        *callLimiter // for calls to workers
	// jobsLoaded is closed when the jobs of the store are loaded.
	jobsLoaded chan struct{}

	mu             sync.Mutex
	pool           *dispatch.Pool
	upkeep         *upkeep.Planner
	newWaves       map[int64]upkeep.Wave // requests that the planner does not have yet
	hasCordons     bool                  // workers are closed for their machines' upkeep
	sessions       map[dispatch.WorkerID]*workerSession
	members        map[string]*member
	fastMembers    map[string]bool // members with the fast heartbeat (heartbeatInterval)
	hallContact    hallContact
	relays         *relay.Assignments
	invalidEntries map[string]invalidEntry // by worker name
	// unreadableProgress are the jobs whose stored progress can't be decoded.
	unreadableProgress map[job.ID]bool
	earlyCancellations map[job.ID]bool // cancelled before the job itself was received
	committed          chan struct{}   // closed and replaced at each commit
	plannedAt          clock.Time      // when the last plan was made
	majorityFencedAt   clock.Time      // when a majority of the workers first had accepted this owner's token; 0 before
	majority           majorityCheck
	refusedQueues      refusedQueues
	customerLimits     customerLimits
	plans              metrics.Timer    // duration of plans
	linkUse            *traffic.Sampler // used by logStatus only
	entryWrites        entryWrites      // used by watchWorkers only
	watchPosition      watchPosition    // each field is used by one goroutine only
	listings           listings         // each field is used by one goroutine only
	// roster is the roster as stored, by worker name. It is used while loading and then by writeRoster
	// only.
	roster map[string]rosterRecord

	rosterFailures, commitFailures, readFailures *storeFailures
	// jobsWatch and workersWatch are each used by the goroutine that watches these keys.
	jobsWatch, workersWatch *jobstore.WatchStatus

	lanes [jobstore.MaxParallelCommits]commitLane // used by runCommits only
	// orphanedSegments are keys to be removed from the store; used while loading and then by runCommits only.
	orphanedSegments []string
	segmentReaders   segmentReaders
	yieldTo          atomic.Pointer[string]
	loaded           atomic.Bool
	deposed          atomic.Bool
	cancel           context.CancelCauseFunc
	background       sync.WaitGroup
}

// New returns an owner. It does nothing until Run is called.
func New(deps Deps, claim Claim) *Owner {
	now := deps.Clock.Now()
	o := &Owner{
		deps: deps, claim: claim, done: make(chan struct{}), planSignal: make(chan struct{}, 1), jobsLoaded: make(chan struct{}),
		confirmSignal: make(chan struct{}, 1), unknownJobsSignal: make(chan struct{}, 1), commitSignal: make(chan struct{}, 1),
		calls:    newCallLimiter(concurrentCallLimit(deps)),
		sessions: map[dispatch.WorkerID]*workerSession{}, members: map[string]*member{}, fastMembers: map[string]bool{},
		invalidEntries: map[string]invalidEntry{}, roster: map[string]rosterRecord{}, unreadableProgress: map[job.ID]bool{}, earlyCancellations: map[job.ID]bool{}, committed: make(chan struct{}), lanes: newLanes(claim),
		entryWrites: newEntryWrites(deps.HeartbeatInterval), upkeep: upkeep.New(), newWaves: map[int64]upkeep.Wave{}, segmentReaders: newSegmentReaders(now), listings: newListings(deps.Store),
		plans:          metrics.GetOrRegisterTimer("pool.plan", deps.Metrics),
		linkUse:        traffic.NewSampler(deps.Metrics, now),
		rosterFailures: &storeFailures{purpose: "roster", clk: deps.Clock, log: deps.Log},
		commitFailures: &storeFailures{purpose: "commit", clk: deps.Clock, log: deps.Log},
		readFailures:   &storeFailures{purpose: "unknown_job", clk: deps.Clock, log: deps.Log},
		jobsWatch:      jobstore.NewWatchStatus(jobstore.JobsPrefix, deps.Clock, deps.Log),
		workersWatch:   jobstore.NewWatchStatus(platform.WorkersPrefix, deps.Clock, deps.Log),
	}
	lease := min(maxLease, deps.Bounds.MaxHold-leaseMargin)
	o.pool = dispatch.New(dispatch.Config{
		LeaseDuration: lease, MaxLeaseDuration: lease, WorkerMaxLease: deps.Bounds.MaxHold, MinDrainTime: deps.Bounds.Drain, StopGrace: deps.Bounds.StopGrace,
		RestoreTime: deps.Bounds.Restore, MaxValueBytes: maxValueBytes(deps),
		Token: claim.Revision * tokenStep, Term: claim.Term, RecordWorkersFromTerm: claim.RecordWorkersFromTerm, RecordUnannouncedFromTerm: claim.RecordUnannouncedFromTerm, RunNumberBase: int(claim.Term) * runNumbersPerTerm, HasPreviousOwner: !claim.First,
		AuthorityTerm: previousAuthorityTerm(claim), WallClock: deps.Clock.Wall, Log: o.logEvent, Disabled: deps.Disabled,
	}, now)
	o.relays = relay.NewAssignments(o.isStopping, deps.LinkMbps)
	o.pool.AddAdviser(deps.Name)
	return o
}

// maxValueBytes returns the largest value of the store; 0 if that is not known.
func maxValueBytes(deps Deps) int {
	if deps.Store == nil {
		return 0
	}
	return deps.Store.MaxValueBytes()
}

// previousAuthorityTerm is how long previous owners may go on giving orders.
func previousAuthorityTerm(c Claim) time.Duration {
	if c.PreviousAuthorityEnded {
		return 0
	}
	return maxPreviousAuthority
}

// Run owns the pool until ctx ends, or until another owner has taken over (ErrDeposed).
func (o *Owner) Run(ctx context.Context) error {
	ctx, o.cancel = context.WithCancelCause(ctx)
	defer o.cancel(nil)
	defer close(o.done)
	if err := o.load(ctx); err != nil {
		return err
	}
	o.background.Go(func() { o.runPlans(ctx) })
	o.background.Go(func() { clock.Every(ctx, inspectInterval, o.inspect) })
	o.background.Go(func() { clock.Every(ctx, statusInterval, o.logStatus) })
	o.background.Go(func() { o.runCommits(ctx) })
	o.background.Go(func() { o.watchJobs(ctx) })
	o.background.Go(func() { o.readUnknownJobs(ctx) })
	o.background.Go(func() { o.watchWorkers(ctx) })
	o.background.Go(func() { clock.Every(ctx, rosterInterval, func() { o.writeRoster(ctx) }) })
	o.background.Go(func() { o.runUpkeep(ctx) })
	o.background.Go(func() { o.runConfirmations(ctx) })
	o.background.Go(func() { o.recordSoleOwner(ctx) })
	<-ctx.Done()
	o.background.Wait()
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
	o.applyConfiguredEntries()
	o.mu.Unlock()
	o.requestPlan()
}

// SetEvacuatedHalls sets the data halls that are being evacuated.
func (o *Owner) SetEvacuatedHalls(halls []string) {
	o.mu.Lock()
	o.pool.SetEvacuatedHalls(halls)
	o.mu.Unlock()
	o.requestPlan()
}

// requestPlan requests a new plan soon.
func (o *Owner) requestPlan() {
	notify(o.planSignal)
}

// notify wakes the goroutine that receives from c, a channel of size 1, now or at its next receive.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hasAuthority reports whether this owner may give orders. It deposes the owner when a worker has seen a
// higher token. When most workers accept this owner's token for the first time, it restarts the takeover
// timers of the pool, since orders of the previous owner may have taken effect until then. The caller
// holds o.mu.
func (o *Owner) hasAuthority(now clock.Time) bool {
	if o.deposed.Load() {
		return false
	}
	if o.pool.IsFenced() {
		o.depose("fenced")
		return false
	}
	o.checkMajority(now)
	if o.majorityFencedAt == 0 && o.majority.fenced {
		o.majorityFencedAt = now
		o.pool.RestartTakeoverTimers(now)
	}
	return o.majority.answers || o.deps.HasLease(now)
}

// majorityCheckInterval is the maximum age of a majority check. The check is needed for each call to a
// worker and goes over all workers. maxPreviousAuthority covers this age.
const majorityCheckInterval = 20 * time.Millisecond

// checkMajority brings o.majority up to date. The caller holds o.mu.
func (o *Owner) checkMajority(now clock.Time) {
	if o.majority.checkedAt != 0 && now.Sub(o.majority.checkedAt) < majorityCheckInterval {
		return
	}
	answering, all := o.pool.AnsweringCount(now, AuthorityTerm)
	o.majority = majorityCheck{checkedAt: now, answers: 2*answering > all, fenced: o.majorityFencedAt != 0}
	if !o.majority.fenced {
		fenced, all := o.pool.FencedCount(now, AuthorityTerm)
		o.majority.fenced = 2*fenced > all
	}
}

// majorityCheck is what most workers did within AuthorityTerm before checkedAt.
type majorityCheck struct {
	checkedAt clock.Time
	answers   bool // their answers prove the authority of this owner
	fenced    bool // they accepted this owner's token, then or at an earlier check
}

// runPlans plans every planInterval, and shortly after a plan was requested.
func (o *Owner) runPlans(ctx context.Context) {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	var planTime time.Duration // time that the last plan took
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.planSignal:
			clock.Sleep(ctx, o.pauseAfterPlan(planTime))
		}
		startedAt := time.Now()
		o.planAndExecute(ctx)
		planTime = time.Since(startedAt)
		o.plans.Update(planTime)
	}
}

// pauseAfterPlan returns the least pause after a plan that took the given time.
func (o *Owner) pauseAfterPlan(planTime time.Duration) time.Duration {
	if o.deps.Disabled.Contains(dispatch.PlanThrottling) {
		return minPlanPause
	}
	return min(max(minPlanPause, planPauseFactor*planTime), maxPlanPause)
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
func (o *Owner) RelayedWorkers() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relays.RelayedWorkers()
}

// WaitingCalls returns the number of calls to workers that wait for a slot. More than a few for more
// than a moment mean that this host is too small for the pool.
func (o *Owner) WaitingCalls() int {
	return o.calls.waitingCount()
}

// planAndExecute makes a plan and carries out its actions.
func (o *Owner) planAndExecute(ctx context.Context) {
	o.mu.Lock()
	now := o.deps.Clock.Now()
	actions := o.pool.Plan(now, o.hasAuthority(now))
	o.plannedAt = now
	if o.pool.HasUnstoredWorkers() {
		o.requestCommit()
	}
	if actions.IsEmpty() {
		o.mu.Unlock()
		return
	}
	for _, w := range actions.NewWorkers {
		o.startSession(ctx, w)
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
			s.fence(ctx)
		}
	}
	for i, a := range actions.AdviceCalls {
		o.sendAdviceCall(ctx, members[i], a)
	}
	if actions.ConfirmOwnership {
		o.requestConfirmation()
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
