package grant

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/guavatrack/guavatrack/internal/engine"
	"github.com/guavatrack/guavatrack/internal/logs"
	"github.com/guavatrack/guavatrack/internal/metric"
	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/internal/vmlist"
	"github.com/guavatrack/guavatrack/pkg/fleet"
	"github.com/guavatrack/guavatrack/pkg/ticket"
)

// Defaults and bounds of a [Controller].
const (
	shardCount             = 16
	defaultPollInterval    = 500 * time.Millisecond
	defaultRefreshInterval = time.Second
	defaultWritesPerSecond = 20
	maxRefreshPause        = 10 * time.Second
	callTimeout            = 2 * time.Second
	maxPendingActions      = 16
	maxCommitAttempts      = 10
	commitBackoff          = 20 * time.Millisecond
)

// ErrTableDown reports that the table did not answer, so that nothing could be
// granted. No order was or will be sent.
var ErrTableDown = errors.New("table is down")

// Engine is the part of an engine's administrative API that grants use. Errors
// are those of [engine.Client].
type Engine interface {
	Load(ctx context.Context, order engine.LoadOrder) error
	Unload(ctx context.Context, order engine.UnloadOrder) error
	Fence(ctx context.Context, order engine.FenceOrder) error
	Report(ctx context.Context) (engine.Report, error)
}

var _ Engine = (*engine.Client)(nil)

// Controller records grants, sends load and unload orders and releases grants.
// Any node may act on any server: the table's conditional writes serialise
// concurrent changes.
type Controller struct {
	Node fleet.NodeID
	// Store is the table.
	Store table.Store
	// Dial returns the engine at an address. The engine must send each order at
	// most once.
	Dial func(address string) Engine
	// Servers returns the complete newest VM list: a VM that is no longer
	// listed and does not answer counts as ended.
	Servers func() []vmlist.VM
	// ListAsOf returns the time of that list by the list's own clock. It allows
	// a node that has never seen a VM to conclude that the VM has ended.
	ListAsOf func() time.Time
	Snapshot func() *ticket.Snapshot
	// Follows reports whether this node follows a server; nil means all.
	Follows func(fleet.ServerID) bool
	// Alive reports whether a node may still be running. It determines only how
	// soon the orders of that node are adopted. Nil means that no node is known
	// to have failed.
	Alive func(fleet.NodeID) bool
	// DeploymentCondition returns a table condition that holds while the
	// snapshot's deployment of an item is the newest accepted one. Nil omits the
	// condition.
	DeploymentCondition func(ctx context.Context, item fleet.Item) (table.Write, error)
	// PollInterval is the mean interval between reports of a server,
	// RefreshInterval that between reads of the table.
	PollInterval, RefreshInterval time.Duration
	// WritesPerSecond limits this node's table writes. Loads and unloads count
	// against the limit but never wait for it; releases and adoptions wait for
	// the remainder.
	WritesPerSecond float64
	Log             *slog.Logger
	Metrics         metrics.Registry
	// Seed is the seed of the jitter; 0 means a random one.
	Seed uint64

	once         sync.Once
	shards       [shardCount]shard
	writeLimiter *rate.Limiter
	counters     counters
	randomMu     sync.Mutex
	random       *rand.Rand
}

// shard holds a subset of the servers under its own lock.
type shard struct {
	sync.Mutex
	servers map[fleet.ServerID]*server
}

// server is this node's state of one server. Its fields are guarded by the lock
// of its shard; the channels themselves may be used without it.
type server struct {
	id      fleet.ServerID
	machine Machine
	vm      vmlist.VM
	listed  bool
	// delisted is set if the VM list named the VM before, at this node or
	// according to the server's record, and no longer does.
	delisted bool
	// delistedPollFailures counts the failed polls in a row since the VM left
	// the list.
	delistedPollFailures int
	polledAt             time.Time
	followed             bool
	actions              chan []Action
	// writeLock holds one element while this node writes the server's record,
	// so that its own writes don't conflict with one another.
	writeLock chan struct{}
	cancel    context.CancelFunc
}

func (c *Controller) init() {
	c.once.Do(func() {
		if c.PollInterval == 0 {
			c.PollInterval = defaultPollInterval
		}
		if c.RefreshInterval == 0 {
			c.RefreshInterval = defaultRefreshInterval
		}
		if c.WritesPerSecond == 0 {
			c.WritesPerSecond = defaultWritesPerSecond
		}
		c.Log = logs.OrDiscard(c.Log)
		c.Metrics = metric.OrNew(c.Metrics)
		if c.Seed == 0 {
			c.Seed = rand.Uint64()
		}
		c.random = rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Node))))
		c.writeLimiter = rate.NewLimiter(rate.Limit(c.WritesPerSecond), int(c.WritesPerSecond)+1)
		c.counters = newCounters(c.Metrics)
		for i := range c.shards {
			c.shards[i].servers = make(map[fleet.ServerID]*server)
		}
	})
}

func (c *Controller) shard(id fleet.ServerID) *shard {
	return &c.shards[xxhash.Sum64String(string(id))%shardCount]
}

// withServer calls f with a server under the lock of its shard. It creates the
// state of a server that this node has not seen before.
func (c *Controller) withServer(id fleet.ServerID, f func(*server)) {
	c.init()
	shard := c.shard(id)
	shard.Lock()
	defer shard.Unlock()
	s, found := shard.servers[id]
	if !found {
		s = &server{id: id, actions: make(chan []Action, maxPendingActions), writeLock: make(chan struct{}, 1)}
		s.machine = Machine{
			Node: c.Node, Server: id, Alive: c.Alive,
			Rand: rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Node)+string(id)))),
		}
		shard.servers[id] = s
	}
	f(s)
}

// lockWrites waits until no other goroutine of this node writes the server's
// record.
func (c *Controller) lockWrites(ctx context.Context, id fleet.ServerID) (unlock func(), err error) {
	var writeLock chan struct{}
	c.withServer(id, func(s *server) { writeLock = s.writeLock })
	select {
	case writeLock <- struct{}{}:
		return func() { <-writeLock }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// forEachServer calls f with every server, locking one shard at a time.
func (c *Controller) forEachServer(f func(*server)) {
	c.init()
	for i := range c.shards {
		shard := &c.shards[i]
		shard.Lock()
		for _, s := range shard.servers {
			f(s)
		}
		shard.Unlock()
	}
}

// step passes an event to a server's machine and queues the resulting actions
// for the goroutine that follows the server. If the queue is full the actions
// are dropped; the machine requests them again at a later step.
func (c *Controller) step(id fleet.ServerID, event Event) {
	c.withServer(id, func(s *server) {
		s.machine.ChecksFencing = c.checksFencing(s)
		actions := s.machine.Step(time.Now(), event)
		if len(actions) == 0 {
			return
		}
		select {
		case s.actions <- actions:
		default:
		}
	})
}

// checksFencing reports whether the server's pool is known to check fencing
// numbers.
func (c *Controller) checksFencing(s *server) bool {
	pool := s.vm.Pool
	if pool == "" {
		pool = s.machine.record.Pool
	}
	snapshot := c.Snapshot()
	if snapshot == nil {
		return false
	}
	described, found := snapshot.Pools[pool]
	return found && described.ChecksFencing
}

// jitter returns a random duration from half to one and a half times span.
func (c *Controller) jitter(span time.Duration) time.Duration {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return span/2 + time.Duration(c.random.Int64N(int64(span)))
}
