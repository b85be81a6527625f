package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
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

// Dispatcher carries calls to backend servers. Its exported fields are set
// before the first use and not changed after.
type Dispatcher struct {
	Directory Directory
	// Waker is nil if nothing can be loaded. With WakeFull it is also asked for
	// more replicas while those that are there have no room.
	Waker    Waker
	WakeFull bool
	Prober   Prober
	// Store holds what nodes know of requests that crash servers.
	Store table.Store
	Place fleet.Place
	Node  fleet.NodeID
	// Allowance bounds the further attempts for each pool. It is asked for
	// every attempt; nil means [DefaultAllowance].
	Allowance func() retry.Allowance
	// PoisonPoll is the time between two reads of what other nodes know of such
	// requests from the store; 0 means 2 s.
	PoisonPoll time.Duration
	// SpreadPoison, if set, tells the other nodes of a request that crashes
	// backend servers. They call LearnPoison.
	SpreadPoison func(poison.Notice)
	Log          *slog.Logger
	Metrics      metrics.Registry
	// Rand is the source of random choices; nil means a random seed.
	Rand *rand.Rand

	once       sync.Once
	observer   Observer
	occupancy  Occupancy
	meters     meters
	servers    serverShards
	lanes      laneShards
	prefixes   prefixState
	budgets    budgets
	link       linkState
	poison     *poison.Controller
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
	d.observer, _ = d.Waker.(Observer)
	d.occupancy, _ = d.Waker.(Occupancy)
	d.Rand = SharedRand(d.Rand)
	d.lanes.setUp()
	d.budgets.setUp()
	d.link.setUp()
	d.poison = &poison.Controller{
		Store: d.Store, Node: d.Node, Spread: d.SpreadPoison, PollInterval: d.PoisonPoll, Log: d.Log, Metrics: d.Metrics,
	}
	d.meters.register(d.Metrics)
	d.servers.dated, _ = d.Directory.(Dated)
	d.servers.setUp()
}

// Run does the dispatcher's work in the background until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.once.Do(d.setUp)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.poison.Run(ctx) })
	group.Go(func() error { return d.housekeep(ctx) })
	return group.Wait()
}

// housekeepInterval is how often state that is no longer needed is dropped.
const housekeepInterval = time.Minute

// housekeep drops the state of backend servers without requests now and then.
// It is learned again in a few requests.
func (d *Dispatcher) housekeep(ctx context.Context) error {
	for wait.For(ctx, housekeepInterval) {
		d.servers.forget()
	}
	return nil
}

// LearnPoison takes in another node's notice of a request that crashes backend
// servers.
func (d *Dispatcher) LearnPoison(notice poison.Notice) {
	d.once.Do(d.setUp)
	d.poison.Learn(notice)
}

// Do carries a call to a backend server and its answer to the caller.
func (d *Dispatcher) Do(call *Call) (err error) {
	d.once.Do(d.setUp)
	defer func() { d.ended(call, err) }()
	if err := d.isolate(call); err != nil {
		return err
	}
	if d.observer != nil && call.Item.Model != "" {
		d.observer.Arrived(call.Item, call.Pool, call.Started)
		defer func() { d.observer.Finished(call.Item, call.Pool, time.Now()) }()
	}
	call.lane = d.lane(call)
	if call.slot, err = call.lane.acquire(call); err != nil {
		return err
	}
	return d.relay(call)
}

// ended logs the end of a call.
func (d *Dispatcher) ended(call *Call, err error) {
	level, outcome := slog.LevelInfo, "answered"
	if err != nil {
		level, outcome = slog.LevelWarn, call.why(err)
	}
	d.Log.LogAttrs(context.Background(), level, "request ended",
		slog.String("request", string(call.ID)), slog.String("item", call.Item.String()),
		slog.String("pool", string(call.Pool)), slog.Int("failedAttempts", len(call.failed)),
		slog.Bool("mayHaveRun", call.Sent()), slog.Duration("took", time.Since(call.Started)),
		slog.String("outcome", outcome))
}

// why says why a call had no answer. A context that its edge has cancelled
// without another cause is that of a caller whose connection is gone.
func (c *Call) why(err error) string {
	switch cause := context.Cause(c.Context); {
	case errors.Is(cause, context.Canceled):
		return "the caller left: " + err.Error()
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded):
		return cause.Error() + ": " + err.Error()
	default:
		return err.Error()
	}
}
