package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/poison"
	"github.com/guavatrack/guavatrack/internal/retry"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/wait"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// Dispatcher sends calls to backend servers. Its exported fields are set before
// the first use and must not be changed afterwards.
type Dispatcher struct {
	Directory Directory
	// Loader is nil if items cannot be loaded on demand. With LoadWhenFull
	// additional replicas are requested while the present ones have no free slot.
	Loader       Loader
	LoadWhenFull bool
	// Organisations is set if the callers of calls are organisations, which share the
	// capacity by their usual work. A call without a caller belongs to none.
	Organisations bool
	Prober        Prober
	// Origins is nil if all servers of a pool have one software version.
	Origins Origins
	// RateLimits is nil if servers name no limits.
	RateLimits RateLimits
	// Store holds the notices of all nodes about requests that crash servers.
	Store table.Store
	Place fleet.Place
	Node  fleet.NodeID
	// Allowance returns the bound of the retries of each pool. It is called for
	// every call and every retry; nil means [DefaultAllowance].
	Allowance func() retry.Allowance
	// Nodes returns the number of nodes that send calls to the same servers; nil means one.
	Nodes func() int
	// Pace says whether the pace of servers counts; nil means [PaceReported].
	Pace func() PaceMode
	// ReadPace has a call ask its server how long work takes there now before it is sent, if
	// the servers of its pool report that and the Prober is a [LoadReader].
	ReadPace bool
	// PoisonPollInterval is the interval at which the notices of other nodes are
	// read from the store; 0 means 2 s.
	PoisonPollInterval time.Duration
	// PublishPoisonNotice, if set, broadcasts a notice about a request that crashes
	// backend servers to the other nodes, which pass it to MergePoisonNotice.
	PublishPoisonNotice func(poison.Notice)
	Log                 *slog.Logger
	Metrics             metrics.Registry
	// Rand is the source of random choices; nil means one with a random seed.
	Rand *rand.Rand

	once         sync.Once
	callObserver Observer
	slotObserver SlotObserver
	// leaveRecorder is nil if the directory does not implement it.
	leaveRecorder LeaveRecorder
	meters        meters
	servers       serverShards
	queues        queueShards
	sharing       sharing
	loadRefusals  loadRefusalChecks
	prefixes      prefixState
	budgets       budgets
	link          linkState
	brittle       brittlePools
	pace          paceState
	poison        *poison.Controller
	// cutOff is when the stopping node cuts off its requests; nil if it does not stop.
	cutOff     atomic.Pointer[time.Time]
	background sync.WaitGroup
}

func (d *Dispatcher) setUp() {
	d.Log = logs.OrDiscard(d.Log)
	d.Metrics = metric.OrNew(d.Metrics)
	if d.Rand == nil {
		d.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if d.Allowance == nil {
		d.Allowance = func() retry.Allowance { return DefaultAllowance }
	}
	if d.RateLimits == nil {
		d.RateLimits = noRateLimits{}
	}
	d.callObserver, _ = d.Loader.(Observer)
	d.slotObserver, _ = d.Loader.(SlotObserver)
	d.leaveRecorder, _ = d.Directory.(LeaveRecorder)
	d.Rand = SharedRand(d.Rand)
	d.queues.setUp()
	d.sharing.setUp(d.Metrics)
	d.budgets.setUp()
	d.link.setUp()
	d.poison = &poison.Controller{
		Store: d.Store, Node: d.Node, Publish: d.PublishPoisonNotice, PollInterval: d.PoisonPollInterval, Log: d.Log, Metrics: d.Metrics,
	}
	d.meters.register(d.Metrics)
	d.servers.timestamps, _ = d.Directory.(TimestampedDirectory)
	d.servers.loads, _ = d.Directory.(LoadDirectory)
	d.servers.rateLimits = d.RateLimits
	d.pace.setUp(d)
	d.servers.pace = &d.pace
	d.servers.setUp()
}

// Run runs the background tasks of the dispatcher until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.once.Do(d.setUp)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.poison.Run(ctx) })
	group.Go(func() error { return d.housekeep(ctx) })
	return group.Wait()
}

// housekeepInterval is the time between two removals of unused server states.
const housekeepInterval = time.Minute

// housekeep periodically removes the state of backend servers without requests.
// A few requests are enough to rebuild it.
func (d *Dispatcher) housekeep(ctx context.Context) error {
	for wait.For(ctx, housekeepInterval) {
		d.servers.removeIdle(time.Now())
	}
	return nil
}

// MergePoisonNotice merges a notice of another node about a request that crashes
// backend servers.
func (d *Dispatcher) MergePoisonNotice(notice poison.Notice) {
	d.once.Do(d.setUp)
	d.poison.Merge(notice)
}

// Do runs a call on a backend server and forwards the answer to the caller. It
// returns nil after the whole answer has been forwarded.
func (d *Dispatcher) Do(call *Call) (err error) {
	d.once.Do(d.setUp)
	defer func() { d.logEnd(call, err) }()
	if err := d.checkPoison(call); err != nil {
		return err
	}
	d.logContinued(call)
	if err := d.restrictToOrigin(call); err != nil {
		return err
	}
	if d.callObserver != nil && call.Item.Model != "" {
		d.callObserver.Arrived(call.Item, call.Pool, call.Started)
		defer func() { d.callObserver.Finished(call.Item, call.Pool, time.Now()) }()
	}
	call.queue = d.queueFor(call)
	d.pace.recordArrival(call, time.Now())
	if call.slot, err = call.queue.acquire(call.Context, call); err != nil {
		d.logAbsentVersion(call, err)
		return err
	}
	call.slot = d.confirmPace(call, call.slot)
	return d.runCall(call)
}

// logContinued logs that a call asks for the rest of a stream.
func (d *Dispatcher) logContinued(call *Call) {
	if call.Continued {
		d.Log.LogAttrs(call.Context, slog.LevelInfo, "rest of a stream requested",
			slog.String("request", string(call.ID)), slog.String("resumes", string(call.Resumes)))
	}
}

// logEnd logs the end of a call.
func (d *Dispatcher) logEnd(call *Call, err error) {
	level, outcome := slog.LevelInfo, "answered"
	if err != nil {
		level, outcome = slog.LevelWarn, call.failureReason(err)
	}
	d.Log.LogAttrs(context.Background(), level, "request ended",
		slog.String("request", string(call.ID)), slog.String("item", call.Item.String()),
		slog.String("pool", string(call.Pool)), slog.Int("failedAttempts", len(call.failedAttempts)),
		slog.Bool("mayHaveRun", call.Sent()), slog.Duration("took", time.Since(call.Started)),
		slog.Uint64("manifest", call.Manifest), slog.Duration("manifestReadAge", call.ManifestReadAge),
		slog.String("outcome", outcome))
}

// failureReason returns the reason why a call was not answered. An edge that
// cancels the context of a call without a cause does so because the caller's
// connection is closed.
func (c *Call) failureReason(err error) string {
	switch cause := context.Cause(c.Context); {
	case errors.Is(cause, context.Canceled):
		return "the caller left: " + err.Error()
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded):
		return cause.Error() + ": " + err.Error()
	default:
		return err.Error()
	}
}
