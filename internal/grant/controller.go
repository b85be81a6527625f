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
	shardCount        = 16
	defaultPoll       = 500 * time.Millisecond
	defaultRefresh    = time.Second
	defaultWrites     = 20 // a second
	maxRefreshPause   = 10 * time.Second
	callTimeout       = 2 * time.Second
	pendingActions    = 16
	maxCommitAttempts = 10
	commitPause       = 20 * time.Millisecond
)

// ErrTableDown says that the table did not answer, so that nothing could be
// granted. No order was or will be sent.
var ErrTableDown = errors.New("table is down")

// Engine is the part of an engine's administrative API that grants need. Errors
// are those of [engine.Client].
type Engine interface {
	Load(ctx context.Context, order engine.LoadOrder) error
	Unload(ctx context.Context, order engine.UnloadOrder) error
	Fence(ctx context.Context, order engine.FenceOrder) error
	Report(ctx context.Context) (engine.Report, error)
}

var _ Engine = (*engine.Client)(nil)

// Controller records grants, gives the orders and ends the grants. Any node may
// act on any server: the table's conditions decide who comes first.
type Controller struct {
	Node fleet.NodeID
	// Store is the table.
	Store table.Store
	// Dial returns the engine at an address. The engine must send each order at
	// most once.
	Dial func(address string) Engine
	// Servers returns the newest VM list, whole: a VM that it has ceased to
	// name and that does not answer counts as ended.
	Servers func() []vmlist.VM
	// ListAsOf returns the time of that list by the list's own clock. With it
	// a node that has never seen a VM can tell that the VM has ended.
	ListAsOf func() time.Time
	Snapshot func() *ticket.Snapshot
	// Watches tells whether this node follows a server; nil means all.
	Watches func(fleet.ServerID) bool
	// Alive tells whether a node may live. It decides how soon the work of a
	// node is taken over, nothing else. Nil means that no node is known to be
	// dead.
	Alive func(fleet.NodeID) bool
	// Decided returns a condition that holds while the snapshot's decision on
	// an item is the newest accepted one. Nil trusts the snapshot.
	Decided func(ctx context.Context, item fleet.Item) (table.Write, error)
	// Poll is the period of reports, Refresh that of reads of the table.
	Poll, Refresh time.Duration
	// WritesPerSecond bounds this node's table writes. Loads come first: they
	// never wait for the bound, everything else waits for what they leave.
	WritesPerSecond float64
	Log             *slog.Logger
	Metrics         metrics.Registry
	// Seed of the jitter; 0 takes a random one.
	Seed uint64

	once     sync.Once
	shards   [shardCount]shard
	budget   *rate.Limiter
	counters counters
	randomMu sync.Mutex
	random   *rand.Rand
}

// shard holds some of the servers under its own lock.
type shard struct {
	sync.Mutex
	servers map[fleet.ServerID]*server
}

// server is one server as this node follows it. Its fields, but for the
// channel, are guarded by the lock of its shard.
type server struct {
	id      fleet.ServerID
	machine Machine
	vm      vmlist.VM
	listed  bool
	// ended says that the list has ceased to name the VM.
	ended bool
	// unlistedPolls counts the failed polls since the VM left the list.
	unlistedPolls int
	polledAt      time.Time
	watched       bool
	actions       chan []Action
	// writing holds a token while this node writes the server's record, so
	// that its own writes don't conflict with one another.
	writing chan struct{}
	cancel  context.CancelFunc
}

func (c *Controller) init() {
	c.once.Do(func() {
		if c.Poll == 0 {
			c.Poll = defaultPoll
		}
		if c.Refresh == 0 {
			c.Refresh = defaultRefresh
		}
		if c.WritesPerSecond == 0 {
			c.WritesPerSecond = defaultWrites
		}
		c.Log = logs.OrDiscard(c.Log)
		c.Metrics = metric.OrNew(c.Metrics)
		if c.Seed == 0 {
			c.Seed = rand.Uint64()
		}
		c.random = rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Node))))
		c.budget = rate.NewLimiter(rate.Limit(c.WritesPerSecond), int(c.WritesPerSecond)+1)
		c.counters = newCounters(c.Metrics)
		for i := range c.shards {
			c.shards[i].servers = make(map[fleet.ServerID]*server)
		}
	})
}

func (c *Controller) shard(id fleet.ServerID) *shard {
	return &c.shards[xxhash.Sum64String(string(id))%shardCount]
}

// with calls f with a server under the lock of its shard.
func (c *Controller) with(id fleet.ServerID, f func(*server)) {
	c.init()
	shard := c.shard(id)
	shard.Lock()
	defer shard.Unlock()
	s, found := shard.servers[id]
	if !found {
		s = &server{id: id, actions: make(chan []Action, pendingActions), writing: make(chan struct{}, 1)}
		s.machine = Machine{
			Node: c.Node, Server: id, Alive: c.Alive,
			Rand: rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(string(c.Node)+string(id)))),
		}
		shard.servers[id] = s
	}
	f(s)
}

// lockWrites waits until no other task of this node writes the server's record.
func (c *Controller) lockWrites(ctx context.Context, id fleet.ServerID) (unlock func(), err error) {
	var writing chan struct{}
	c.with(id, func(s *server) { writing = s.writing })
	select {
	case writing <- struct{}{}:
		return func() { <-writing }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// each calls f with every server, one shard at a time.
func (c *Controller) each(f func(*server)) {
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

// step feeds an event to a server's machine and hands the actions to the task
// that follows the server. Actions that find no room are asked for again.
func (c *Controller) step(id fleet.ServerID, event Event) {
	c.with(id, func(s *server) {
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

// checksFencing tells whether the server's pool is known to check fencing
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

// jitter returns a random part of a span, at least half of it.
func (c *Controller) jitter(span time.Duration) time.Duration {
	c.randomMu.Lock()
	defer c.randomMu.Unlock()
	return span/2 + time.Duration(c.random.Int64N(int64(span)))
}
